import type { Beat, Random } from "@tamarackgauge/core";
import type { News, VersionHolder } from "./heartbeat.ts";

/** What was heard before anything was heard. */
export const noNews: News = {
    configuration: { version: 0, holder: "" },
    ownership: { version: 0, holder: "" },
};

/** The news after a heartbeat of `peer` with what it relays. The same object if nothing is new. */
export function learn(known: News, peer: string, beat: Beat, relayed: News | undefined): News {
    const configuration = newest(
        known.configuration,
        { version: beat.configurationVersion, holder: peer },
        relayed?.configuration,
    );
    const ownership = newest(
        known.ownership,
        { version: beat.ownershipVersion, holder: peer },
        relayed?.ownership,
    );
    return configuration === known.configuration && ownership === known.ownership
        ? known
        : { configuration, ownership };
}

/** The highest version; the first of several equal ones. */
function newest(...candidates: readonly (VersionHolder | undefined)[]): VersionHolder {
    return candidates.reduce<VersionHolder>(
        (best, next) => next !== undefined && next.version > best.version ? next : best,
        candidates[0] ?? noNews.configuration,
    );
}

/** Peers that still get a heartbeat in this round; a round visits every peer once in random order. */
export type Round = readonly string[];

/** Takes the next `count` of `peers`. Peers that are gone are left out; a round that is used up is followed by a new one. */
export function takeTurn(
    round: Round,
    peers: readonly string[],
    count: number,
    random: Random,
): { readonly chosen: readonly string[]; readonly round: Round; } {
    const present = new Set(peers);
    let rest = round.filter(peer => present.has(peer));
    if (rest.length === 0) {
        rest = shuffle(peers, random);
    }
    return { chosen: rest.slice(0, count), round: rest.slice(count) };
}

function shuffle(peers: readonly string[], random: Random): string[] {
    return peers
        .map(peer => ({ peer, rank: random() }))
        .sort((left, right) => left.rank - right.rank)
        .map(({ peer }) => peer);
}
