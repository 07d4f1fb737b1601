import type { Random } from "../clock.ts";

/** This many upstreams in a row have to be out of reach, as a single one may have ended. */
const minFailedUpstreams = 2;
/** A gateway with calls under way that hears of no upstream for this long checks whether it still reaches them. */
const silenceMs = 400;
/** Minimum time between two checks, as many slow calls are silent for longer while their upstreams are overloaded. */
const minCheckIntervalMs = 2_000;

/**
 * Judges whether a gateway still reaches upstreams over connections of its own. Contact with any of them shows that it does;
 * failures with several, and no contact in between, that it does not. Times are monotonic milliseconds.
 */
export class UpstreamReach {
    /** Upstreams to which no connection could be opened since the last contact. */
    private readonly failed = new Set<string>();
    private lastContactAt = -Infinity;
    private checkedAt = -Infinity;

    /** Records that a connection to an upstream was opened, or that bytes of one have come. */
    recordContact(now: number): void {
        this.lastContactAt = now;
        this.failed.clear();
    }

    /** Records that a connection that was begun at `startedAt` could not be opened, or not yet. */
    recordFailure(upstream: string, startedAt: number): void {
        if (startedAt > this.lastContactAt) {
            this.failed.add(upstream);
        }
    }

    /** Whether none of the `known` upstreams is reached, as far as can be told. */
    isCutOff(known: number): boolean {
        return this.failed.size > 0 && this.failed.size >= Math.min(minFailedUpstreams, known);
    }

    /** Milliseconds until the gateway is to check its reach if the silent calls under way began at `silentSince`. */
    timeUntilCheck(silentSince: number, now: number): number {
        return Math.max(this.lastContactAt + silenceMs, silentSince + silenceMs, this.checkedAt + minCheckIntervalMs) -
            now;
    }

    /** Records that the gateway checks its reach. */
    recordCheck(now: number): void {
        this.checkedAt = now;
    }
}

/** A gateway that may open connections for others. */
export interface RelayCandidate {
    readonly name: string;
    readonly dataCentre: string;
}

/**
 * Orders the gateways through which an upstream may be reached. Traffic leaves a data centre as few times as possible:
 * first come those in the data centre of the gateway itself, then those in that of the upstream, each in random order.
 */
export function rankRelays<Candidate extends RelayCandidate>(candidates: readonly Candidate[], dataCentre: string,
    upstreamDataCentre: string, random: Random): readonly Candidate[] {
    const distance = (candidate: Candidate) =>
        candidate.dataCentre === dataCentre ? 0 : candidate.dataCentre === upstreamDataCentre ? 1 : 2;
    return candidates
        .map(candidate => ({ candidate, rank: distance(candidate) + random() }))
        .sort((left, right) => left.rank - right.rank)
        .map(({ candidate }) => candidate);
}
