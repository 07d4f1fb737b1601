import type { Beat, Random } from "@tamarackgauge/core";
import type { KnownVersions, VersionHolder } from "./heartbeat.ts";

/** What was heard before anything was heard. */
export const noKnownVersions: KnownVersions = {
    configuration: { version: 0, holder: "" },
    ownership: { version: 0, holder: "" },
};

/** The news after a heartbeat of `peer` with what it relays. The same object if nothing is new. */
export function mergeVersions(known: KnownVersions, peer: string, beat: Beat,
    relayed: KnownVersions | undefined): KnownVersions {
    const configuration = highestVersion(
        known.configuration,
        { version: beat.configurationVersion, holder: peer },
        relayed?.configuration,
    );
    const ownership = highestVersion(
        known.ownership,
        { version: beat.ownershipVersion, holder: peer },
        relayed?.ownership,
    );
    return configuration === known.configuration && ownership === known.ownership
        ? known
        : { configuration, ownership };
}

/** The highest version; the first of several equal ones. */
function highestVersion(...candidates: readonly (VersionHolder | undefined)[]): VersionHolder {
    return candidates.reduce<VersionHolder>(
        (best, next) => next !== undefined && next.version > best.version ? next : best,
        candidates[0] ?? noKnownVersions.configuration,
    );
}

/** Peers that still get a heartbeat in this round; a round visits every peer once in random order. */
export type GossipRound = readonly string[];

/** Takes the next `count` of `peers`. Peers that are gone are left out; a round that is used up is followed by a new one. */
export function nextTargets(
    round: GossipRound,
    peers: readonly string[],
    count: number,
    random: Random,
): { readonly targets: readonly string[]; readonly round: GossipRound; } {
    const present = new Set(peers);
    let remaining = round.filter(peer => present.has(peer));
    if (remaining.length === 0) {
        remaining = shuffle(peers, random);
    }
    return { targets: remaining.slice(0, count), round: remaining.slice(count) };
}

function shuffle(peers: readonly string[], random: Random): string[] {
    return peers
        .map(peer => ({ peer, rank: random() }))
        .sort((left, right) => left.rank - right.rank)
        .map(({ peer }) => peer);
}
