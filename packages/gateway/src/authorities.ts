import { Membership } from "@tamarackgauge/core/gateway";
import type { PeerContacts } from "./peerContacts.ts";
import type { RequestTimeouts } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";
import type { PeerCall, PeerResult } from "./peerMessage.ts";

/** A gateway that may decide about a subject; undefined stands for this one. */
export type Authority = Peer | undefined;

/** An answer of a peer, and which one gave it. */
export interface AuthorityAnswer<Call extends PeerCall> {
    readonly result: PeerResult<Call["kind"]>;
    readonly from: Peer;
}

/** Which gateways decide about subjects that all gateways share, such as a team's quota or the calls of a service. */
export interface Authorities {
    /** Applies a list of gateways as read from the store. */
    record(peers: readonly Peer[], storeTime: number | undefined): void;
    /** The first `count` gateways that are to be asked about a subject, in this order. */
    rank(subject: string, count: number): readonly Authority[];
    /** The same among the gateways with the greatest processor capacity. */
    rankCapable(subject: string, count: number): readonly Authority[];
    /** Whether this gateway is the first one of `rank`, and no other gateway can take itself for it. */
    isSettled(subject: string): boolean;
    /** Whether this gateway has that place in `rank`, counted from 0, and no other gateway can take it for its own. */
    holdsPlace(subject: string, place: number): boolean;
    /** Since when, in monotonic milliseconds, no ranking has changed. */
    unchangedSince(): number;
    /** Number of gateways that take part in decisions. */
    establishedCount(): number;
    /** Asks the peers one after the other; undefined if none of them can be reached. */
    ask<const Call extends PeerCall>(ranked: readonly Peer[], call: Call,
        limits: RequestTimeouts): Promise<AuthorityAnswer<Call> | undefined>;
}

/** Dependencies of authorities. */
export interface AuthoritiesParts {
    /** Name of this gateway. */
    readonly name: string;
    /** Whether there can be other gateways; if not, this one decides everything. */
    readonly hasPeers: boolean;
    /** Time after which every gateway that reaches the store has read a new row, in ms. */
    readonly settlingTime: number;
    readonly contacts: PeerContacts;
    readonly now: () => number;
}

/** Creates authorities. Until a list is recorded, no gateway decides, unless there can be no others. */
export function createAuthorities({ name, hasPeers, settlingTime, contacts, now }: AuthoritiesParts): Authorities {
    const membership = new Membership(name, settlingTime);
    const createdAt = now();
    let peersByName: ReadonlyMap<string, Peer> = new Map();

    function record(peers: readonly Peer[], storeTime: number | undefined): void {
        peersByName = new Map(peers.map(peer => [peer.name, peer]));
        membership.record(peers, storeTime, now());
    }

    function authoritiesOf(ranking: readonly string[], count: number): readonly Authority[] {
        return hasPeers
            ? ranking.slice(0, count).map(each => each === name ? undefined : peersByName.get(each))
            : [undefined];
    }

    async function ask<const Call extends PeerCall>(ranked: readonly Peer[], call: Call, limits: RequestTimeouts) {
        for (const peer of ranked) {
            // The link to a peer that has failed is opened in the background, as the peer may still be frozen.
            if (contacts.isBackingOff(peer.name) || (contacts.isFailing(peer.name) && !contacts.isReady(peer))) {
                continue;
            }
            try {
                return { result: await contacts.ask(peer, call, limits), from: peer };
            }
            catch {
                // Already logged by the contacts, which leave the peer out for a while.
            }
        }
        return undefined;
    }

    return {
        record,
        rank: (subject, count) => authoritiesOf(membership.rank(subject, now()), count),
        rankCapable: (subject, count) => authoritiesOf(membership.rankCapable(subject, now()), count),
        isSettled: subject => !hasPeers || membership.isSettled(membership.rank(subject, now()), now()),
        holdsPlace: (subject, place) =>
            !hasPeers || membership.isSettled(membership.rank(subject, now()), now(), place),
        unchangedSince: () => hasPeers ? membership.unchangedSince(now()) : createdAt,
        establishedCount: () => hasPeers ? membership.establishedCount(now()) : 1,
        ask,
    };
}
