import type { UpstreamEntry, UpstreamLoad } from "./call.ts";
import { PrefixCache } from "./prefixCache.ts";
import { ServiceEstimate } from "./serviceEstimate.ts";

/** A failed upstream gets no calls for this long, in ms; each further failure in a row doubles the time. */
const firstSuspension = 250;
const longestSuspension = 2_000;

/** What this process knows of one upstream. Times are monotonic milliseconds. */
export class UpstreamState {
    /** Own calls that have been sent and have not ended. */
    inFlight = 0;
    readonly cache: PrefixCache;
    private load: UpstreamLoad | undefined;
    private loadAt = -Infinity;
    private inFlightAtLoad = 0;
    private failures = 0;
    private suspendedUntil = -Infinity;

    constructor(
        public entry: UpstreamEntry,
        cacheTokens: number,
        /** What all upstreams of the service are usually like. */
        readonly service = new ServiceEstimate(),
    ) {
        this.cache = new PrefixCache(cacheTokens);
    }

    /** Takes the load that an answer told. */
    report(load: UpstreamLoad, now: number): void {
        this.load = load;
        this.loadAt = now;
        this.inFlightAtLoad = this.inFlight;
        this.service.takeLoad(load, now);
    }

    /**
     * Calls at the upstream: the last report, corrected by the own calls sent and ended since. Of the calls of others, an
     * old report says less than what the upstreams of the service have on average now.
     */
    calls(now: number): number {
        const usual = Math.max(0, (this.service.occupancy(now) ?? 0) * this.entry.slots - this.inFlight);
        if (this.load === undefined) {
            return this.inFlight + usual;
        }
        const others = Math.max(0, this.load.running + this.load.waiting - this.inFlightAtLoad);
        return this.inFlight + usual + (others - usual) * 0.5 ** ((now - this.loadAt) / loadHalfLife);
    }

    /** How much longer than usual work takes; a report is soon out of date. */
    slowness(now: number): number {
        const excess = (this.load?.slowness ?? 1) - 1;
        return 1 + excess * 0.5 ** ((now - this.loadAt) / slownessHalfLife);
    }

    /** An answer came: the upstream works. */
    succeeded(): void {
        this.failures = 0;
        this.suspendedUntil = -Infinity;
    }

    /** The upstream did not answer or broke off. */
    failed(now: number): void {
        const suspension = Math.min(longestSuspension, firstSuspension * 2 ** this.failures);
        this.failures += 1;
        this.suspendedUntil = now + suspension;
    }

    isSuspended(now: number): boolean {
        return now < this.suspendedUntil;
    }
}

/** Half-lives of what a report says, in ms: of the calls of others, and of the speed of the upstream's VM. */
const loadHalfLife = 1_500;
const slownessHalfLife = 300;
