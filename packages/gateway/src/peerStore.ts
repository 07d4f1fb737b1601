import { type SocketAddress, type Store, StoreError } from "@tamarackgauge/core/gateway";
import { openPeerLink, type PeerLink } from "./peerLink.ts";
import type { PeerResult, RelayedCall } from "./peerMessage.ts";

/** Store that is called through other gateways. */
export interface PeerStore extends Store, AsyncDisposable {
    /** False for a while after no peer was able to reach the store. */
    isUsable(): boolean;
    /** Whether a peer was able to reach the store at the last call. */
    reachesStore(): boolean;
    /** Whether none of the peers that were asked lately answered at all. */
    isUnreachable(): boolean;
}

/** Dependencies of a peer store. */
export interface PeerStoreParts {
    /** Addresses of other gateways, in any order. They may be out of date. */
    readonly peers: () => readonly SocketAddress[];
    readonly now: () => number;
}

const maxAttempts = 3;
/** Time for which a peer that cannot reach the store is not asked again. */
const peerBackoffMs = 1_000;
/** Time for which no peer is asked after no peer was able to reach the store. */
const allPeersBackoffMs = 500;
/** Number of peers in a row that must be unreachable before this gateway counts as cut off from all of them. */
const minUnreachablePeers = 3;
/** Additional time allowed for an answer through a peer. */
const relayMarginMs = 100;

/** Creates a store whose calls are made by other gateways. */
export function createPeerStore({ peers, now }: PeerStoreParts): PeerStore {
    const backoffUntil = new Map<string, number>();
    let allPeersBackoffUntil = -Infinity;
    let storeReached = false;
    /** Peers that could not be reached since one of them last answered. */
    const unreachablePeers = new Set<string>();
    let link: PeerLink | undefined;

    async function ask<const Call extends RelayedCall>(call: Call, timeout: number): Promise<PeerResult<Call["kind"]>> {
        for (let attempts = 1; attempts <= maxAttempts; attempts += 1) {
            const current = await connect();
            if (current === undefined) {
                break;
            }
            try {
                const result = await current.request(call, { timeout: timeout + relayMarginMs });
                storeReached = true;
                unreachablePeers.clear();
                return result;
            }
            catch (error) {
                const { failure } = error as StoreError;
                if (failure !== "unknown") {
                    unreachablePeers.clear();
                }
                if (failure !== "away") {
                    throw error;
                }
                backOff(current);
            }
        }
        storeReached = false;
        allPeersBackoffUntil = now() + allPeersBackoffMs;
        throw new StoreError("away", "no other gateway reaches the store");
    }

    async function connect(): Promise<PeerLink | undefined> {
        for (let attempts = 1; attempts <= maxAttempts; attempts += 1) {
            if (link === undefined || link.closed) {
                link = nextLink();
            }
            if (link === undefined) {
                return undefined;
            }
            const current = link;
            try {
                await current.opened;
                return current;
            }
            catch {
                // The peer has ended or is unreachable, so another one is tried.
                unreachablePeers.add(keyOf(current.address));
                backOff(current);
            }
        }
        return undefined;
    }

    function nextLink(): PeerLink | undefined {
        const usable = peers().filter(address => (backoffUntil.get(keyOf(address)) ?? -Infinity) <= now());
        const address = usable[Math.floor(Math.random() * usable.length)];
        return address === undefined ? undefined : openPeerLink(address);
    }

    function backOff(failedLink: PeerLink): void {
        backoffUntil.set(keyOf(failedLink.address), now() + peerBackoffMs);
        if (link === failedLink) {
            link = undefined;
        }
        failedLink.close();
    }

    return {
        read: (range, { timeout }) => ask({ kind: "read", range, timeout }, timeout),
        change: (change, { timeout }) => ask({ kind: "change", change, timeout }, timeout),
        feed: (table, after, wait) => ask({ kind: "feed", table, after, wait }, wait + relayMarginMs * 8),
        isUsable: () => now() >= allPeersBackoffUntil,
        reachesStore: () => storeReached,
        isUnreachable: () => unreachablePeers.size >= minUnreachablePeers,
        async [Symbol.asyncDispose]() {
            link?.terminate();
        },
    };
}

function keyOf({ host, port }: SocketAddress): string {
    return `${host}:${port}`;
}
