import type { UpstreamLoad } from "./call.ts";
import { HighQuantile, LowQuantile, RecentMean, RecentMedian } from "./statistics.ts";

/** Measurements of a call, taken when its answer begins. Times are in milliseconds. */
export interface FirstByteSample {
    /** From the send to the first byte of the answer. */
    readonly timeToFirstByte: number;
    /** Prompt tokens that the upstream had to prefill; undefined if the state of its cache is unknown. */
    readonly prefillTokens: number | undefined;
    readonly load: UpstreamLoad | undefined;
}

/** Measurements of a call, taken when its answer is complete. Times are in milliseconds. */
export interface CompletedCall {
    readonly latency: number;
    /** From the send to the first byte of the answer. */
    readonly timeToFirstByte: number;
    /** Number of events of a streamed answer. */
    readonly events: number;
    /** Processing time at the upstream relative to normal, reported when the answer began; 1 is normal. */
    readonly slowness: number;
}

/** Estimates for a service before its first answers. */
const defaultBaselineLatencyMs = 100;
const defaultPrefillTokensPerMs = 128;
/** Minimum number of events from which the interval between events is derived. */
const minEvents = 3;
/** Factor applied to the weight of the earlier prefill samples with each new one. */
const prefillSampleDecay = 0.99;
/** Below this total weight or standard deviation of the token counts, the default prefill rate is used. */
const minPrefillSampleWeight = 20;
const minTokenDeviation = 300;
const minPrefillTokensPerMs = 5;
/**
 * Upper bound of the estimated prefill rate. A regression through few, scattered samples can be too flat; the rate
 * would be overestimated and calls with shared prompt parts would be distributed over many engines.
 */
const maxPrefillTokensPerMs = 256;
/** Calls to upstreams with a higher occupancy are not used for the prefill rate. */
const maxPrefillSampleOccupancy = 0.25;
/** Answers that report a higher slowness are not used for any latency estimate. */
const maxNormalSlowness = 1.2;

/**
 * Performance estimates for the upstreams of one service, learned from the calls of this process, so that no constants
 * for specific engine types are needed. Times are in milliseconds.
 */
export class ServiceEstimate {
    private readonly baselineCallLatency = new LowQuantile(defaultBaselineLatencyMs);
    private readonly highCallLatency = new HighQuantile();
    private readonly baselineTimeToFirstByte = new LowQuantile(0);
    /** Baseline of the time between two events of a stream. */
    private readonly baselineEventInterval = new LowQuantile(0);
    private readonly recentTimeToFirstByte = new RecentMedian();
    private readonly recentExcessLatency = new RecentMedian();
    private readonly recentOccupancy = new RecentMean();
    /** Weighted sums for the linear regression of time to first byte over prefill tokens. */
    private prefillSums = { weight: 0, tokens: 0, time: 0, tokensSquared: 0, product: 0 };

    /** Latency of a call without load. */
    get baselineLatency(): number {
        return this.baselineCallLatency.value;
    }

    /** Latency that few recent calls have exceeded; 0 before the first one. */
    get highLatency(): number {
        return this.highCallLatency.value ?? 0;
    }

    /** Prefill rate of an upstream: prompt tokens per millisecond. */
    get prefillTokensPerMs(): number {
        const { weight, tokens, time, tokensSquared, product } = this.prefillSums;
        const variance = weight === 0 ? 0 : tokensSquared / weight - (tokens / weight) ** 2;
        if (weight < minPrefillSampleWeight || variance < minTokenDeviation ** 2) {
            return defaultPrefillTokensPerMs;
        }
        const msPerToken = (product / weight - (tokens / weight) * (time / weight)) / variance;
        return 1 / Math.min(1 / minPrefillTokensPerMs, Math.max(1 / maxPrefillTokensPerMs, msPerToken));
    }

    /** Calls per slot over all upstreams, including waiting calls; undefined if there is no recent load report. */
    occupancy(now: number): number | undefined {
        return this.recentOccupancy.value(now);
    }

    /** How far the recent latency of calls exceeds the baseline. */
    excessLatency(now: number): number {
        const excessTimeToFirstByte = (this.recentTimeToFirstByte.value(now) ?? 0) - this.baselineTimeToFirstByte.value;
        return Math.max(0, excessTimeToFirstByte, this.recentExcessLatency.value(now) ?? 0);
    }

    /** Records the load that an upstream reported. */
    recordLoad({ running, waiting, slots }: UpstreamLoad, now: number): void {
        this.recentOccupancy.add((running + waiting) / slots, now);
    }

    /** Records that a call was abandoned after waiting this long for its answer. */
    recordAbandonedCall(waited: number, now: number): void {
        if (waited > (this.recentTimeToFirstByte.value(now) ?? 0)) {
            this.recentTimeToFirstByte.add(waited, now);
        }
    }

    /** Records the start of an answer. Only calls to lightly loaded upstreams are used for the prefill rate. */
    recordFirstByte({ timeToFirstByte, prefillTokens, load }: FirstByteSample, now: number): void {
        if (load !== undefined && isSlowedDown(load)) {
            return;
        }
        this.baselineTimeToFirstByte.add(timeToFirstByte);
        this.recentTimeToFirstByte.add(timeToFirstByte, now);
        if (prefillTokens === undefined || !isLightlyLoaded(load)) {
            return;
        }
        const { weight, tokens, tokensSquared, product } = this.prefillSums;
        this.prefillSums = {
            weight: weight * prefillSampleDecay + 1,
            tokens: tokens * prefillSampleDecay + prefillTokens,
            time: this.prefillSums.time * prefillSampleDecay + timeToFirstByte,
            tokensSquared: tokensSquared * prefillSampleDecay + prefillTokens * prefillTokens,
            product: product * prefillSampleDecay + prefillTokens * timeToFirstByte,
        };
    }

    /** Records how long a call took, but not what that tells of the load. */
    recordLatency(latency: number): void {
        this.highCallLatency.add(latency);
    }

    /** Records a call whose answer is complete. */
    recordCompletedCall({ latency, timeToFirstByte, events, slowness }: CompletedCall, now: number): void {
        this.recordLatency(latency);
        if (isSlowedDown({ slowness })) {
            return;
        }
        this.baselineCallLatency.add(latency);
        if (events < minEvents) {
            this.recentExcessLatency.add(Math.max(0, latency - this.baselineCallLatency.value), now);
            return;
        }
        const intervals = events - 1;
        this.baselineEventInterval.add((latency - timeToFirstByte) / intervals);
        const baseline = this.baselineTimeToFirstByte.value + this.baselineEventInterval.value * intervals;
        this.recentExcessLatency.add(Math.max(0, latency - baseline), now);
    }
}

function isLightlyLoaded(load: UpstreamLoad | undefined): boolean {
    return load === undefined || (load.waiting === 0 && load.running <= load.slots * maxPrefillSampleOccupancy);
}

/** Whether the upstream is temporarily slow for other reasons than our load, as it shares its VM with others. */
function isSlowedDown({ slowness }: Pick<UpstreamLoad, "slowness">): boolean {
    return slowness > maxNormalSlowness;
}
