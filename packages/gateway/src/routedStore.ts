import { createStoreLatency, probeDelay, type RowRange, type Store, type StoreChange, StoreError,
    type StoreHealth } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { Metrics, StoreCallKind, StoreWay } from "./metrics.ts";
import type { PeerStore } from "./peerStore.ts";
import type { HedgeableStore } from "./storeRetry.ts";

/** Store that is called directly or, if that is not possible, through another gateway. */
export interface RoutedStore extends HedgeableStore, Disposable {
    /** Milliseconds for which the store has been reachable neither directly nor through a peer; 0 while it is. */
    unavailableFor(): number;
    /** Whether the store cannot be reached, and no other gateway either. */
    isIsolated(): boolean;
    /** Resolves after `maxMs`, or earlier if an outage ends meanwhile. For retries that no caller waits for. */
    pause(maxMs: number): Promise<void>;
    /** Resolves when the store can be reached again, after `maxMs`, or when the signal is aborted. */
    whenReachable(maxMs: number, signal: AbortSignal): Promise<void>;
}

/** Dependencies of a routed store. */
export interface RoutedStoreParts {
    readonly direct: Store;
    readonly peers: PeerStore;
    readonly health: StoreHealth;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
    /** Returns the range that a probe reads, of a different part each time. */
    readonly probeRange: () => RowRange;
}

/** What a store call concerns. */
interface CallTarget {
    readonly kind: StoreCallKind;
    readonly table: string;
    readonly part: string;
}

/** Stands for the table in the metrics of probes. */
const probeLabel = "probe";
/** Timeout of a probe. Further probes do not wait for it. */
const probeTimeoutMs = 900;
/** While a call that started this recently was answered, a failure concerns a single part, and no probe is needed. */
const recentAnswerMs = 100;
/** Number of probes that start immediately after a failed call. */
const probesPerFailure = 2;
/** Maximum number of concurrent probes. If the store is silent, each stays open until its timeout. */
const maxPendingProbes = 12;

/**
 * Creates a store that is called directly while it answers, and otherwise through another gateway. A call fails
 * immediately if the store cannot be reached either way, or if only the part that it concerns is unavailable. While
 * calls fail, the store is probed independently of the calls that are made.
 */
export function createRoutedStore(parts: RoutedStoreParts): RoutedStore {
    const { direct, peers, health, metrics, log, now, probeRange } = parts;
    const latency = createStoreLatency();
    let lastWay: StoreWay | "none" = "direct";
    let wayChangedAt = 0;
    /** Time of the next call that is allowed to an unavailable part. */
    const nextCallAtByPart = new Map<string, number>();
    /** Called when the store can be reached again. */
    const recoveryListeners = new Set<() => void>();
    /** Callers' calls that wait for the end of an outage. */
    let waitingCalls = 0;
    /** Start time of the last call that the store answered directly. */
    let lastAnsweredStart = -Infinity;
    let pendingProbes = 0;
    let probeTimer = scheduleProbe();

    function currentWay(): StoreWay | "none" {
        const way = !health.isUnavailable(now()) ? "direct" : peers.reachesStore() ? "peer" : "none";
        if (way !== lastWay) {
            log.warn("store.way", { way, before: lastWay, after: Math.round(now() - wayChangedAt) });
            lastWay = way;
            wayChangedAt = now();
            if (way !== "none") {
                recoveryListeners.forEach(listener => listener());
            }
        }
        return way;
    }

    function pause(maxMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                recoveryListeners.delete(finish);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, maxMs);
            recoveryListeners.add(finish);
            signal?.addEventListener("abort", finish);
        });
    }

    async function whenReachable(maxMs: number, signal: AbortSignal): Promise<void> {
        if (currentWay() !== "none" || signal.aborted) {
            return;
        }
        waitingCalls += 1;
        await pause(maxMs, signal);
        waitingCalls -= 1;
    }

    function scheduleProbe(): NodeJS.Timeout {
        return setTimeout(() => {
            probeTimer = scheduleProbe();
            const answeredRecently = now() - lastAnsweredStart < recentAnswerMs;
            if (currentWay() !== "direct" || (health.isSuspected(now()) && !answeredRecently)) {
                void probe();
            }
        }, probeDelay(waitingCalls > 0, Math.random)).unref();
    }

    async function probe(): Promise<void> {
        if (pendingProbes >= maxPendingProbes) {
            return;
        }
        pendingProbes += 1;
        const range = probeRange();
        try {
            await observe({ kind: "read", table: probeLabel, part: range.part }, () =>
                direct.read(range, { timeout: probeTimeoutMs }));
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                log.warn("store.probe.failed", { reason: String(error) });
            }
            // Failures of the store are already recorded by `health`.
        }
        finally {
            pendingProbes -= 1;
            currentWay();
        }
    }

    async function observe<Value>(target: CallTarget, call: () => Promise<Value>): Promise<Value> {
        const startedAt = now();
        const observation = health.begin(startedAt, target.part, target.kind === "feed");
        try {
            const value = await countOutcome(target, "direct", call());
            if (target.kind !== "feed") {
                latency.record(now() - startedAt);
            }
            lastAnsweredStart = Math.max(lastAnsweredStart, startedAt);
            observation.answered();
            return value;
        }
        catch (error) {
            observation.failed();
            throw error;
        }
    }

    async function countOutcome<Value>({ kind, table }: CallTarget, way: StoreWay, call: Promise<Value>) {
        try {
            const value = await call;
            metrics.recordStoreCall({ kind, table, way, outcome: "answered" });
            return value;
        }
        catch (error) {
            metrics.recordStoreCall({ kind, table, way, outcome: "failed" });
            throw error;
        }
    }

    async function route<Value>(target: CallTarget, call: (store: Store) => Promise<Value>) {
        if (currentWay() === "direct") {
            return callDirectly(target, call);
        }
        if (!peers.isUsable()) {
            throw new StoreError("away", "the store does not answer");
        }
        return countOutcome(target, "peer", call(peers));
    }

    async function callDirectly<Value>(target: CallTarget, call: (store: Store) => Promise<Value>) {
        if (!mayCallPart(target.part)) {
            throw new StoreError("away", "this part of the store does not answer");
        }
        try {
            return await observe(target, () => call(direct));
        }
        catch (error) {
            probeAfterFailure();
            throw error;
        }
    }

    /** Other parts need no probes if one of them has just answered. */
    function probeAfterFailure(): void {
        if (now() - lastAnsweredStart < recentAnswerMs) {
            return;
        }
        for (let started = 0; started < probesPerFailure; started += 1) {
            void probe();
        }
    }

    /** Whether a part may be called. While it is unavailable, single calls are let through to probe it. */
    function mayCallPart(part: string): boolean {
        if (!health.isPartUnavailable(part, now())) {
            return true;
        }
        if (now() < (nextCallAtByPart.get(part) ?? -Infinity)) {
            return false;
        }
        nextCallAtByPart.set(part, now() + probeDelay(false, Math.random));
        return true;
    }

    return {
        read: (range, options) => route({ kind: "read", ...range }, store => store.read(range, options)),
        change: (change, options) => route(targetOf(change), store => store.change(change, options)),
        feed: (table, after, wait) =>
            route({ kind: "feed", table, part: "" }, store =>
                store.feed(table, after, store === direct ? wait : Math.min(wait, maxRelayedFeedWaitMs))),
        hedgeDelay: () => latency.hedgeDelay(),
        unavailableFor: () => currentWay() === "none" ? now() - wayChangedAt : 0,
        isIsolated: () => currentWay() === "none" && peers.isUnreachable(),
        whenReachable,
        pause: maxMs => pause(maxMs),
        [Symbol.dispose]: () => clearTimeout(probeTimer),
    };
}

/**
 * Maximum wait of a feed through a peer. It is short, as it occupies one of the calls that the peer makes for others.
 */
const maxRelayedFeedWaitMs = 500;

/** Returns what a change concerns; all its rows belong to the same part. */
function targetOf({ conditions, puts, removals }: StoreChange): CallTarget {
    const { table, part } = puts?.[0] ?? conditions?.[0] ?? removals?.[0] ?? { table: "", part: "" };
    return { kind: "change", table, part };
}
