import { createStorePace, type Store, StoreError, type StoreHealth } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { Metrics, StoreCallKind, StoreWay } from "./metrics.ts";
import type { PeerStore } from "./peerStore.ts";
import type { PacedStore } from "./persist.ts";

/** The store by whatever way is open. */
export interface RoutedStore extends PacedStore {
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
}

/**
 * Creates a store whose calls go directly while it answers, else through another gateway. Without any way a call fails at
 * once.
 */
export function createRoutedStore({ direct, peers, health, metrics, log, now }: RoutedStoreParts): RoutedStore {
    const pace = createStorePace();
    let lastWay: StoreWay | "none" = "direct";

    function currentWay(): StoreWay | "none" {
        const way = !health.isAway(now()) ? "direct" : peers.hasWay() ? "peer" : "none";
        if (way !== lastWay) {
            log.warn("store.way", { way, before: lastWay });
            lastWay = way;
        }
        return way;
    }

    async function probed<Value>(kind: StoreCallKind, call: () => Promise<Value>): Promise<Value> {
        const startedAt = now();
        const probe = health.begin(startedAt, kind === "feed");
        try {
            const value = await counted(kind, "direct", call());
            if (kind !== "feed") {
                pace.answered(now() - startedAt);
            }
            probe.answered();
            return value;
        }
        catch (error) {
            probe.failed();
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
            return probed(kind, () => call(direct));
        }
        if (!peers.mayTry()) {
            return Promise.reject(new StoreError("away", "the store does not answer"));
        }
        return counted(kind, "peer", call(peers));
    }

    return {
        read: (range, options) => route("read", store => store.read(range, options)),
        change: (change, options) => route("change", store => store.change(change, options)),
        feed(table, after, wait) {
            if (currentWay() === "direct") {
                return probed("feed", () => direct.feed(table, after, wait));
            }
            // The direct way is asked meanwhile, so that its return is noticed.
            const probe = probed("feed", () => direct.feed(table, after, probeWait));
            if (!peers.mayTry()) {
                return probe;
            }
            probe.catch(() => undefined);
            return counted("feed", "peer", peers.feed(table, after, Math.min(wait, relayedFeedWait)));
        },
        hedgeDelay: () => pace.hedgeDelay(),
        isAway: () => currentWay() === "none",
    };
}

const relayedFeedWait = 500;
const probeWait = 100;
