import type { UpstreamLoad } from "./call.ts";
import { LowQuantile, RecentMean, RecentMedian } from "./statistics.ts";

/** How a call at an upstream went, told when its answer began. Times are in milliseconds. */
export interface FirstByteSample {
    /** From the send to the first byte of the answer. */
    readonly timeToFirstByte: number;
    /** Prompt tokens that the upstream had to read; undefined if nothing is known of what it kept. */
    readonly prefillTokens: number | undefined;
    readonly load: UpstreamLoad | undefined;
}

/** How a call went, told when its answer had ended. Times are in milliseconds. */
export interface CompletedCall {
    readonly latency: number;
    /** From the send to the first byte of the answer. */
    readonly timeToFirstByte: number;
    /** Events of a stream. */
    readonly events: number;
    /** How long work took at the upstream as the answer began; 1 is usual. */
    readonly slowness: number;
}

/** The usual figures of a service before its first answers. */
const defaultBaselineLatencyMs = 100;
const defaultPrefillTokensPerMs = 128;
/** Events of a stream from which its pace can be told. */
const minEvents = 3;
/** What an answer says of the reading of prompts counts for this share after the next one. */
const prefillSampleDecay = 0.99;
/** Weight of answers and spread of their tokens below which the reading is not known. */
const minPrefillSampleWeight = 20;
const minTokenDeviation = 300;
const minPrefillTokensPerMs = 5;
/** Reading is never held to be faster, as a line through few and scattered answers is too flat: shared parts would be spread. */
const maxPrefillTokensPerMs = 256;
/** An upstream that is busier, or works at more than this times its usual time, does not tell how long reading takes. */
const maxPrefillSampleOccupancy = 0.25;
const maxNormalSlowness = 1.2;

/**
 * What the upstreams of one service are usually like, learned from the calls that this process sent, so that no figure of
 * one type of engine is needed. Times are in milliseconds.
 */
export class ServiceEstimate {
    private readonly baselineCallLatency = new LowQuantile(defaultBaselineLatencyMs);
    private readonly baselineTimeToFirstByte = new LowQuantile(0);
    /** Time between two events of a stream. */
    private readonly baselineEventInterval = new LowQuantile(0);
    private readonly recentTimeToFirstByte = new RecentMedian();
    private readonly recentExcessLatency = new RecentMedian();
    private readonly recentOccupancy = new RecentMean();
    /** Weighted sums of a line through the answers: time over tokens read. */
    private prefillSums = { weight: 0, tokens: 0, time: 0, tokensSquared: 0, product: 0 };

    /** The time of a call that nothing holds up. */
    get baselineLatency(): number {
        return this.baselineCallLatency.value;
    }

    /** Prompt tokens that an upstream reads in a millisecond. */
    get prefillTokensPerMs(): number {
        const { weight, tokens, time, tokensSquared, product } = this.prefillSums;
        const variance = weight === 0 ? 0 : tokensSquared / weight - (tokens / weight) ** 2;
        if (weight < minPrefillSampleWeight || variance < minTokenDeviation ** 2) {
            return defaultPrefillTokensPerMs;
        }
        const msPerToken = (product / weight - (tokens / weight) * (time / weight)) / variance;
        return 1 / Math.min(1 / minPrefillTokensPerMs, Math.max(1 / maxPrefillTokensPerMs, msPerToken));
    }

    /** Calls for each place, waiting ones included, over all upstreams; undefined if none has told its load lately. */
    occupancy(now: number): number | undefined {
        return this.recentOccupancy.value(now);
    }

    /** How much longer calls take now than those that nothing holds up. */
    excessLatency(now: number): number {
        const excessTimeToFirstByte = (this.recentTimeToFirstByte.value(now) ?? 0) - this.baselineTimeToFirstByte.value;
        return Math.max(0, excessTimeToFirstByte, this.recentExcessLatency.value(now) ?? 0);
    }

    /** Takes the load that an upstream told. */
    recordLoad({ running, waiting, slots }: UpstreamLoad, now: number): void {
        this.recentOccupancy.add((running + waiting) / slots, now);
    }

    /** Takes that a call has waited for its answer and was given up. */
    recordAbandonedCall(waited: number, now: number): void {
        if (waited > (this.recentTimeToFirstByte.value(now) ?? 0)) {
            this.recentTimeToFirstByte.add(waited, now);
        }
    }

    /** Takes how an answer began; only one that did not wait for a place says how long reading takes. */
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

    /** Takes how a call went that was answered. */
    recordCompletedCall({ latency, timeToFirstByte, events, slowness }: CompletedCall, now: number): void {
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

/** An upstream shares its VM with others: it may be slow for a moment without any load of ours. */
function isSlowedDown({ slowness }: Pick<UpstreamLoad, "slowness">): boolean {
    return slowness > maxNormalSlowness;
}
