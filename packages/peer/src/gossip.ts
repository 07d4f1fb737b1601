import type { Heartbeat, Random } from "@tamarackgauge/core";
import type { KnownVersions, VersionHolder } from "./heartbeat.ts";

/** Initial value, before the first heartbeat was received. */
export const noKnownVersions: KnownVersions = {
    configuration: { version: 0, holder: "" },
    ownership: { version: 0, holder: "" },
};

/**
 * Merges the versions of a heartbeat from `peer`, and those that it relays, into the known ones. Returns the same
 * object if no version is higher.
 */
export function mergeVersions(known: KnownVersions, peer: string, beat: Heartbeat,
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

/** The candidate with the highest version; of several with the same version, the first. */
function highestVersion(...candidates: readonly (VersionHolder | undefined)[]): VersionHolder {
    return candidates.reduce<VersionHolder>(
        (best, next) => next !== undefined && next.version > best.version ? next : best,
        candidates[0] ?? noKnownVersions.configuration,
    );
}

/** Peers that have not been sent a heartbeat in this round. Each round covers every peer once, in random order. */
export type GossipRound = readonly string[];

/**
 * Takes up to `count` peers from the round and returns them with the remaining round. Peers that are not in `peers` any
 * more are skipped; when the round is empty, a new one starts.
 */
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
