import type { UpstreamEntry, UpstreamLoad } from "./call.ts";
import { PrefixCache } from "./prefixCache.ts";
import { ServiceEstimate } from "./serviceEstimate.ts";

/** A failed upstream gets no calls for this long, in ms; each further failure in a row doubles the time. */
const initialSuspensionMs = 250;
const maxSuspensionMs = 2_000;

/** What this process knows of one upstream. Times are monotonic milliseconds. */
export class UpstreamState {
    /** Own calls that have been sent and have not ended. */
    inFlight = 0;
    readonly cache: PrefixCache;
    private load: UpstreamLoad | undefined;
    private loadAt = -Infinity;
    private inFlightAtLoad = 0;
    private consecutiveFailures = 0;
    private suspendedUntil = -Infinity;

    constructor(
        public entry: UpstreamEntry,
        cacheTokens: number,
        /** What all upstreams of the service are usually like. */
        readonly estimate = new ServiceEstimate(),
    ) {
        this.cache = new PrefixCache(cacheTokens);
    }

    /** Takes the load that an answer told. */
    recordLoad(load: UpstreamLoad, now: number): void {
        this.load = load;
        this.loadAt = now;
        this.inFlightAtLoad = this.inFlight;
        this.estimate.recordLoad(load, now);
    }

    /**
     * Calls at the upstream: the last report, corrected by the own calls sent and ended since. Of the calls of others, an
     * old report says less than what the upstreams of the service have on average now.
     */
    estimatedCalls(now: number): number {
        const expectedOthers = Math.max(0, (this.estimate.occupancy(now) ?? 0) * this.entry.slots - this.inFlight);
        if (this.load === undefined) {
            return this.inFlight + expectedOthers;
        }
        const reportedOthers = Math.max(0, this.load.running + this.load.waiting - this.inFlightAtLoad);
        return this.inFlight + expectedOthers +
            (reportedOthers - expectedOthers) * 0.5 ** ((now - this.loadAt) / loadHalfLifeMs);
    }

    /** How much longer than usual work takes; a report is soon out of date. */
    slowness(now: number): number {
        const excess = (this.load?.slowness ?? 1) - 1;
        return 1 + excess * 0.5 ** ((now - this.loadAt) / slownessHalfLifeMs);
    }

    /** An answer came: the upstream works. */
    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.suspendedUntil = -Infinity;
    }

    /** The upstream did not answer or broke off. */
    recordFailure(now: number): void {
        const suspension = Math.min(maxSuspensionMs, initialSuspensionMs * 2 ** this.consecutiveFailures);
        this.consecutiveFailures += 1;
        this.suspendedUntil = now + suspension;
    }

    isSuspended(now: number): boolean {
        return now < this.suspendedUntil;
    }
}

/** Half-lives of what a report says, in ms: of the calls of others, and of the speed of the upstream's VM. */
const loadHalfLifeMs = 1_500;
const slownessHalfLifeMs = 300;
