import type { UpstreamEntry, UpstreamLoad } from "./call.ts";
import { PrefixCache } from "./prefixCache.ts";
import { RateLimit } from "./rateLimit.ts";
import { type CompletedCall, type FirstByteSample, ServiceEstimate } from "./serviceEstimate.ts";

/** Time for which a failed upstream is suspended; it doubles with each consecutive failure. */
const initialSuspensionMs = 250;
const maxSuspensionMs = 2_000;

/** State of one upstream as seen by this process. Times are monotonic milliseconds. */
export class UpstreamState {
    /** Calls of this process that are in flight. */
    inFlight = 0;
    readonly cache: PrefixCache;
    private load: UpstreamLoad | undefined;
    private loadAt = -Infinity;
    private inFlightAtLoad = 0;
    private consecutiveFailures = 0;
    private suspendedUntil = -Infinity;
    private leaving = false;
    private permitExpectedAt = -Infinity;
    private permitRecordedAt = -Infinity;

    constructor(
        public entry: UpstreamEntry,
        cacheTokens: number,
        /** Estimates shared by all upstreams of the service. */
        readonly estimate = new ServiceEstimate(),
        readonly rateLimit = new RateLimit(),
    ) {
        this.cache = new PrefixCache(cacheTokens);
    }

    /**
     * Records the load that the upstream reported with an answer. That of an upstream with a rate limit tells nothing of how full
     * the others are, to which further calls go.
     */
    recordLoad(load: UpstreamLoad, now: number): void {
        this.load = load;
        this.loadAt = now;
        this.inFlightAtLoad = this.inFlight;
        if (!this.rateLimit.isInForce()) {
            this.estimate.recordLoad(load, now);
        }
    }

    /** Records the start of an answer; see `recordLoad` for upstreams with a rate limit. */
    recordFirstByte(sample: FirstByteSample, now: number): void {
        if (!this.rateLimit.isInForce()) {
            this.estimate.recordFirstByte(sample, now);
        }
    }

    /** Records a call whose answer is complete; see `recordLoad` for upstreams with a rate limit. */
    recordCompletedCall(call: CompletedCall, now: number): void {
        if (this.rateLimit.isInForce()) {
            this.estimate.recordLatency(call.latency);
        }
        else {
            this.estimate.recordCompletedCall(call, now);
        }
    }

    /**
     * Estimated number of calls at the upstream: the calls of this process in flight, plus those of other gateways. The
     * latter come from the last report; as it ages, they approach the current average of the service, which does not
     * count upstreams with a rate limit.
     */
    estimatedCalls(now: number): number {
        const expectedOthers = Math.max(0, (this.estimate.occupancy(now) ?? 0) * this.entry.slots - this.inFlight);
        if (this.load === undefined) {
            return this.inFlight + expectedOthers;
        }
        const reportedOthers = Math.max(0, this.load.running + this.load.waiting - this.inFlightAtLoad);
        if (this.rateLimit.isInForce()) {
            return this.inFlight + reportedOthers;
        }
        return this.inFlight + expectedOthers +
            (reportedOthers - expectedOthers) * 0.5 ** ((now - this.loadAt) / loadHalfLifeMs);
    }

    /** Processing time relative to normal. The reported value decays quickly towards 1, as it is soon out of date. */
    slowness(now: number): number {
        const excess = (this.load?.slowness ?? 1) - 1;
        return 1 + excess * 0.5 ** ((now - this.loadAt) / slownessHalfLifeMs);
    }

    /** Records an answer; ends a suspension. */
    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.suspendedUntil = -Infinity;
    }

    /** Records that the upstream did not answer or broke off its answer; suspends it. */
    recordFailure(now: number): void {
        const suspension = Math.min(maxSuspensionMs, initialSuspensionMs * 2 ** this.consecutiveFailures);
        this.consecutiveFailures += 1;
        this.suspendedUntil = now + suspension;
    }

    /** Records that the upstream announced in an answer that it leaves. It does not come back in this incarnation. */
    recordLeaving(): void {
        this.leaving = true;
    }

    /** Records that the next permit for a request is free after `delay` ms. */
    recordPermit(delay: number, now: number): void {
        this.permitExpectedAt = now + delay;
        this.permitRecordedAt = now;
    }

    /**
     * Time until a permit for a request is expected to be free, in ms; 0 without a rate limit, and if the issuer is to be
     * asked again.
     */
    permitDelay(now: number): number {
        const isKnown = this.rateLimit.isInForce() && now < this.permitRecordedAt + permitKnownMs;
        return isKnown ? Math.max(0, this.permitExpectedAt - now) : 0;
    }

    /** Whether the upstream has no rate limit, or is expected to have a permit within `maxDelay` ms. */
    takesRequestWithin(maxDelay: number, now: number): boolean {
        return !this.rateLimit.isInForce() || this.permitDelay(now) <= maxDelay;
    }

    hasAnnouncedLeaving(): boolean {
        return this.leaving;
    }

    /** Whether the upstream gets no new calls, by its entry or by its answers. */
    isLeaving(): boolean {
        return this.leaving || this.entry.draining;
    }

    isSuspended(now: number): boolean {
        return now < this.suspendedUntil;
    }
}

/** Half-lives of a load report: of the calls of other gateways, and of the slowness of the upstream's VM. */
const loadHalfLifeMs = 1_500;
const slownessHalfLifeMs = 300;
/** An issuer is asked again after this time, as it may have learned meanwhile that the limit was raised or has ended. */
const permitKnownMs = 1_000;
