import { type SocketAddress, type Store, StoreError } from "@tamarackgauge/core/gateway";
import { openPeerLink, type PeerLink } from "./peerLink.ts";
import type { PeerResult, RelayedCall } from "./peerMessage.ts";

/** The store as other gateways reach it. */
export interface PeerStore extends Store, AsyncDisposable {
    /** False for a while after no peer had a way to the store. */
    mayTry(): boolean;
    /** A peer had a way to the store when one was asked last. */
    hasWay(): boolean;
}

/** Parts of a peer store. */
export interface PeerStoreParts {
    /** Addresses of other gateways, in any order; they may be out of date. */
    readonly peers: () => readonly SocketAddress[];
    readonly now: () => number;
}

const mostTries = 3;
/** A peer that had no way to the store is not asked again for this long, and all peers if none had one; in ms. */
const peerRest = 1_000;
const allRest = 500;
/** A peer's answer takes this much longer than the store's, in ms. */
const relayMargin = 100;

/** Creates a store that asks other gateways to make its calls. */
export function createPeerStore({ peers, now }: PeerStoreParts): PeerStore {
    const restingUntil = new Map<string, number>();
    let unusableUntil = -Infinity;
    let way = false;
    let link: PeerLink | undefined;

    async function ask<const Call extends RelayedCall>(call: Call, timeout: number): Promise<PeerResult<Call["kind"]>> {
        for (let tries = 1; tries <= mostTries; tries += 1) {
            const current = await connect();
            if (current === undefined) {
                break;
            }
            try {
                const result = await current.ask(call, { timeout: timeout + relayMargin });
                way = true;
                return result;
            }
            catch (error) {
                const { failure } = error as StoreError;
                if (failure !== "away") {
                    throw error;
                }
                rest(current);
            }
        }
        way = false;
        unusableUntil = now() + allRest;
        throw new StoreError("away", "no other gateway reaches the store");
    }

    async function connect(): Promise<PeerLink | undefined> {
        for (let tries = 1; tries <= mostTries; tries += 1) {
            if (link === undefined || link.closed) {
                link = nextLink();
            }
            if (link === undefined) {
                return undefined;
            }
            const current = link;
            try {
                await current.open;
                return current;
            }
            catch {
                // The peer is gone or cut off; another one is asked.
                rest(current);
            }
        }
        return undefined;
    }

    function nextLink(): PeerLink | undefined {
        const usable = peers().filter(address => (restingUntil.get(keyOf(address)) ?? -Infinity) <= now());
        const address = usable[Math.floor(Math.random() * usable.length)];
        return address === undefined ? undefined : openPeerLink(address);
    }

    function rest(resting: PeerLink): void {
        restingUntil.set(keyOf(resting.address), now() + peerRest);
        if (link === resting) {
            link = undefined;
        }
        resting.close();
    }

    return {
        read: (range, { timeout }) => ask({ kind: "read", range, timeout }, timeout),
        change: (change, { timeout }) => ask({ kind: "change", change, timeout }, timeout),
        feed: (table, after, wait) => ask({ kind: "feed", table, after, wait }, wait + relayMargin * 8),
        mayTry: () => now() >= unusableUntil,
        hasWay: () => way,
        async [Symbol.asyncDispose]() {
            link?.terminate();
        },
    };
}

function keyOf({ host, port }: SocketAddress): string {
    return `${host}:${port}`;
}
