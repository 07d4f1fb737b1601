import { createStoreLatency, probeDelay, type RowRange, type Store, type StoreChange, StoreError,
    type StoreHealth } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { Metrics, StoreCallKind, StoreWay } from "./metrics.ts";
import type { PeerStore } from "./peerStore.ts";
import type { HedgeableStore } from "./storeRetry.ts";

/** The store by whatever way is open. */
export interface RoutedStore extends HedgeableStore, Disposable {
    /** Milliseconds for which no way to the store has been open; 0 while there is one. */
    unavailableFor(): number;
}

/** Parts of a routed store. */
export interface RoutedStoreParts {
    readonly direct: Store;
    readonly peers: PeerStore;
    readonly health: StoreHealth;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
    /** What is read to learn whether the store answers; each time of another part. */
    readonly probeRange: () => RowRange;
}

/** A probe that is not answered for this long is given up, in ms; the next ones do not wait for it. */
const probeTimeoutMs = 900;
/** Probes that begin at once when a call has failed. */
const probesPerFailure = 2;
/** Probes without an answer at a time: a silent store leaves each of them open until it is given up. */
const maxPendingProbes = 4;

/**
 * Creates a store whose calls go directly while it answers, else through another gateway. Without any way a call fails at
 * once, and so does a call of a part that is away by itself. While calls fail the store is probed, whichever calls are
 * made meanwhile.
 */
export function createRoutedStore(parts: RoutedStoreParts): RoutedStore {
    const { direct, peers, health, metrics, log, now, probeRange } = parts;
    const latency = createStoreLatency();
    let lastWay: StoreWay | "none" = "direct";
    let wayChangedAt = 0;
    /** From when on a part that is away may be called again. */
    const nextCallAtByPart = new Map<string, number>();
    let pendingProbes = 0;
    let probeTimer = scheduleProbe();

    function currentWay(): StoreWay | "none" {
        const way = !health.isUnavailable(now()) ? "direct" : peers.reachesStore() ? "peer" : "none";
        if (way !== lastWay) {
            log.warn("store.way", { way, before: lastWay });
            lastWay = way;
            wayChangedAt = now();
        }
        return way;
    }

    function scheduleProbe(): NodeJS.Timeout {
        return setTimeout(() => {
            probeTimer = scheduleProbe();
            if (currentWay() !== "direct" || health.isSuspected(now())) {
                void probe();
            }
        }, probeDelay(Math.random)).unref();
    }

    async function probe(): Promise<void> {
        if (pendingProbes >= maxPendingProbes) {
            return;
        }
        pendingProbes += 1;
        const range = probeRange();
        try {
            await observe("read", range.part, () => direct.read(range, { timeout: probeTimeoutMs }));
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                log.warn("store.probe.failed", { reason: String(error) });
            }
            // The health has taken note of a failure of the store.
        }
        finally {
            pendingProbes -= 1;
        }
    }

    async function observe<Value>(kind: StoreCallKind, part: string, call: () => Promise<Value>): Promise<Value> {
        const startedAt = now();
        const observation = health.begin(startedAt, part, kind === "feed");
        try {
            const value = await countOutcome(kind, "direct", call());
            if (kind !== "feed") {
                latency.record(now() - startedAt);
            }
            observation.answered();
            return value;
        }
        catch (error) {
            observation.failed();
            throw error;
        }
    }

    async function countOutcome<Value>(kind: StoreCallKind, way: StoreWay, call: Promise<Value>): Promise<Value> {
        try {
            const value = await call;
            metrics.storeCall(kind, way, "answered");
            return value;
        }
        catch (error) {
            metrics.storeCall(kind, way, "failed");
            throw error;
        }
    }

    async function route<Value>(kind: StoreCallKind, part: string, call: (store: Store) => Promise<Value>) {
        if (currentWay() === "direct") {
            return callDirectly(kind, part, call);
        }
        if (!peers.isUsable()) {
            throw new StoreError("away", "the store does not answer");
        }
        return countOutcome(kind, "peer", call(peers));
    }

    async function callDirectly<Value>(kind: StoreCallKind, part: string, call: (store: Store) => Promise<Value>) {
        if (!mayCallPart(part)) {
            throw new StoreError("away", "this part of the store does not answer");
        }
        try {
            return await observe(kind, part, () => call(direct));
        }
        catch (error) {
            for (let started = 0; started < probesPerFailure; started += 1) {
                void probe();
            }
            throw error;
        }
    }

    /** A part that is away is asked now and then by one of its calls. */
    function mayCallPart(part: string): boolean {
        if (!health.isPartUnavailable(part, now())) {
            return true;
        }
        if (now() < (nextCallAtByPart.get(part) ?? -Infinity)) {
            return false;
        }
        nextCallAtByPart.set(part, now() + probeDelay(Math.random));
        return true;
    }

    return {
        read: (range, options) => route("read", range.part, store => store.read(range, options)),
        change: (change, options) => route("change", partOf(change), store => store.change(change, options)),
        feed: (table, after, wait) =>
            route("feed", "", store =>
                store.feed(table, after, store === direct ? wait : Math.min(wait, maxRelayedFeedWaitMs))),
        hedgeDelay: () => latency.hedgeDelay(),
        unavailableFor: () => currentWay() === "none" ? now() - wayChangedAt : 0,
        [Symbol.dispose]: () => clearTimeout(probeTimer),
    };
}

/** A feed by way of a peer waits this long, in ms: it holds one of the calls that the peer makes for others. */
const maxRelayedFeedWaitMs = 500;

/** All rows of a change are of one part. */
function partOf({ conditions, puts, removals }: StoreChange): string {
    return (puts?.[0] ?? conditions?.[0] ?? removals?.[0])?.part ?? "";
}
