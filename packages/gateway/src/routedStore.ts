import { createStorePace, probeDelay, type RowRange, type Store, StoreError,
    type StoreHealth } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { Metrics, StoreCallKind, StoreWay } from "./metrics.ts";
import type { PeerStore } from "./peerStore.ts";
import type { PacedStore } from "./persist.ts";

/** The store by whatever way is open. */
export interface RoutedStore extends PacedStore, Disposable {
    /** No way to the store is open now. */
    isAway(): boolean;
}

/** Parts of a routed store. */
export interface RoutedStoreParts {
    readonly direct: Store;
    readonly peers: PeerStore;
    readonly health: StoreHealth;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
    /** What is read to learn whether the store answers again. */
    readonly probeRange: RowRange;
}

/** A probe that is not answered for this long is given up, in ms; the next ones do not wait for it. */
const probeTimeout = 900;
/** Probes without an answer at a time: a silent store leaves each of them open until it is given up. */
const mostProbes = 4;

/**
 * Creates a store whose calls go directly while it answers, else through another gateway. Without any way a call fails at
 * once. While the direct way is away it is probed, whichever calls are made meanwhile.
 */
export function createRoutedStore(parts: RoutedStoreParts): RoutedStore {
    const { direct, peers, health, metrics, log, now, probeRange } = parts;
    const pace = createStorePace();
    let lastWay: StoreWay | "none" = "direct";
    let probes = 0;
    let probeTimer = scheduleProbe();

    function currentWay(): StoreWay | "none" {
        const way = !health.isAway(now()) ? "direct" : peers.hasWay() ? "peer" : "none";
        if (way !== lastWay) {
            log.warn("store.way", { way, before: lastWay });
            lastWay = way;
        }
        return way;
    }

    function scheduleProbe(): NodeJS.Timeout {
        return setTimeout(() => {
            probeTimer = scheduleProbe();
            if (currentWay() !== "direct" && probes < mostProbes) {
                void probe();
            }
        }, probeDelay(Math.random)).unref();
    }

    async function probe(): Promise<void> {
        probes += 1;
        try {
            await observed("read", () => direct.read(probeRange, { timeout: probeTimeout }));
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                log.warn("store.probe.failed", { reason: String(error) });
            }
            // The health has taken note of a failure of the store.
        }
        finally {
            probes -= 1;
        }
    }

    async function observed<Value>(kind: StoreCallKind, call: () => Promise<Value>): Promise<Value> {
        const startedAt = now();
        const observation = health.begin(startedAt, kind === "feed");
        try {
            const value = await counted(kind, "direct", call());
            if (kind !== "feed") {
                pace.answered(now() - startedAt);
            }
            observation.answered();
            return value;
        }
        catch (error) {
            observation.failed();
            throw error;
        }
    }

    async function counted<Value>(kind: StoreCallKind, way: StoreWay, call: Promise<Value>): Promise<Value> {
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

    function route<Value>(kind: StoreCallKind, call: (store: Store) => Promise<Value>): Promise<Value> {
        if (currentWay() === "direct") {
            return observed(kind, () => call(direct));
        }
        if (!peers.mayTry()) {
            return Promise.reject(new StoreError("away", "the store does not answer"));
        }
        return counted(kind, "peer", call(peers));
    }

    return {
        read: (range, options) => route("read", store => store.read(range, options)),
        change: (change, options) => route("change", store => store.change(change, options)),
        feed: (table, after, wait) =>
            route("feed", store => store.feed(table, after, store === direct ? wait : Math.min(wait, relayedFeedWait))),
        hedgeDelay: () => pace.hedgeDelay(),
        isAway: () => currentWay() === "none",
        [Symbol.dispose]: () => clearTimeout(probeTimer),
    };
}

/** A feed by way of a peer waits this long, in ms: it holds one of the calls that the peer makes for others. */
const relayedFeedWait = 500;
