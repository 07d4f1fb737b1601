import { type Store, StoreError, type StoreHealth } from "@tamarackgauge/core/gateway";
import type { PeerStore } from "./peerStore.ts";

/** The store by whatever way is open. */
export interface RoutedStore extends Store {
    /** No way to the store is open now. */
    isAway(): boolean;
}

/** Parts of a routed store. */
export interface RoutedStoreParts {
    readonly direct: Store;
    readonly peers: PeerStore;
    readonly health: StoreHealth;
    readonly now: () => number;
}

/**
 * Creates a store whose calls go directly while it answers, else through another gateway. Without any way a call fails at
 * once.
 */
export function createRoutedStore({ direct, peers, health, now }: RoutedStoreParts): RoutedStore {
    async function probed<Value>(call: () => Promise<Value>, mayWait: boolean): Promise<Value> {
        const probe = health.begin(now(), mayWait);
        try {
            const value = await call();
            probe.answered();
            return value;
        }
        catch (error) {
            probe.failed();
            throw error;
        }
    }

    function route<Value>(call: (store: Store) => Promise<Value>): Promise<Value> {
        if (!health.isAway(now())) {
            return probed(() => call(direct), false);
        }
        if (!peers.mayTry()) {
            return Promise.reject(new StoreError("away", "the store does not answer"));
        }
        return call(peers);
    }

    return {
        read: (range, options) => route(store => store.read(range, options)),
        change: (change, options) => route(store => store.change(change, options)),
        feed(table, after, wait) {
            if (!health.isAway(now())) {
                return probed(() => direct.feed(table, after, wait), true);
            }
            // The direct way is asked meanwhile, so that its return is noticed.
            const probe = probed(() => direct.feed(table, after, probeWait), true);
            if (!peers.mayTry()) {
                return probe;
            }
            probe.catch(() => undefined);
            return peers.feed(table, after, Math.min(wait, relayedFeedWait));
        },
        isAway: () => health.isAway(now()) && !peers.hasWay(),
    };
}

const relayedFeedWait = 500;
const probeWait = 100;
