import type { UpstreamLoad } from "./call.ts";
import { LowQuantile, RecentMean, RecentMedian } from "./statistics.ts";

/** How a call at an upstream went, told when its answer began. Times are in milliseconds. */
export interface BeginningOfAnswer {
    /** From the send to the first byte of the answer. */
    readonly time: number;
    /** Prompt tokens that the upstream had to read; undefined if nothing is known of what it kept. */
    readonly read: number | undefined;
    readonly load: UpstreamLoad | undefined;
}

/** How a call went, told when its answer had ended. Times are in milliseconds. */
export interface AnsweredCall {
    readonly time: number;
    /** From the send to the first byte of the answer. */
    readonly beginning: number;
    /** Events of a stream. */
    readonly events: number;
    /** How long work took at the upstream as the answer began; 1 is usual. */
    readonly slowness: number;
}

/** The usual figures of a service before its first answers. */
const firstCallTime = 100;
const firstTokensPerMs = 128;
/** Events of a stream from which its pace can be told. */
const fewestEvents = 3;
/** What an answer says of the reading of prompts counts for this share after the next one. */
const readingMemory = 0.99;
/** Weight of answers and spread of their tokens below which the reading is not known. */
const fewestReadings = 20;
const leastTokenSpread = 300;
const slowestReading = 5;
/** Reading is never held to be faster, as a line through few and scattered answers is too flat: shared parts would be spread. */
const fastestReading = 256;
/** An upstream that is busier, or works at more than this times its usual time, does not tell how long reading takes. */
const mostOccupancy = 0.25;
const usualSlowness = 1.2;

/**
 * What the upstreams of one service are usually like, learned from the calls that this process sent, so that no figure of
 * one type of engine is needed. Times are in milliseconds.
 */
export class ServiceEstimate {
    private readonly undisturbedCalls = new LowQuantile(firstCallTime);
    private readonly undisturbedBeginnings = new LowQuantile(0);
    /** Time between two events of a stream. */
    private readonly undisturbedPace = new LowQuantile(0);
    private readonly recentBeginnings = new RecentMedian();
    private readonly recentExcess = new RecentMedian();
    private readonly recentOccupancy = new RecentMean();
    /** Weighted sums of a line through the answers: time over tokens read. */
    private sums = { weight: 0, tokens: 0, time: 0, tokensSquared: 0, product: 0 };

    /** The time of a call that nothing holds up. */
    get callTime(): number {
        return this.undisturbedCalls.value;
    }

    /** Prompt tokens that an upstream reads in a millisecond. */
    get tokensPerMs(): number {
        const { weight, tokens, time, tokensSquared, product } = this.sums;
        const spread = weight === 0 ? 0 : tokensSquared / weight - (tokens / weight) ** 2;
        if (weight < fewestReadings || spread < leastTokenSpread ** 2) {
            return firstTokensPerMs;
        }
        const perToken = (product / weight - (tokens / weight) * (time / weight)) / spread;
        return 1 / Math.min(1 / slowestReading, Math.max(1 / fastestReading, perToken));
    }

    /** Calls for each place, waiting ones included, over all upstreams; undefined if none has told its load lately. */
    occupancy(now: number): number | undefined {
        return this.recentOccupancy.value(now);
    }

    /** How much longer calls take now than those that nothing holds up. */
    delay(now: number): number {
        const beginning = (this.recentBeginnings.value(now) ?? 0) - this.undisturbedBeginnings.value;
        return Math.max(0, beginning, this.recentExcess.value(now) ?? 0);
    }

    /** Takes the load that an upstream told. */
    takeLoad({ running, waiting, slots }: UpstreamLoad, now: number): void {
        this.recentOccupancy.take((running + waiting) / slots, now);
    }

    /** Takes that a call has waited for its answer and was given up. */
    takeWait(time: number, now: number): void {
        if (time > (this.recentBeginnings.value(now) ?? 0)) {
            this.recentBeginnings.take(time, now);
        }
    }

    /** Takes how an answer began; only one that did not wait for a place says how long reading takes. */
    takeBeginning({ time, read, load }: BeginningOfAnswer, now: number): void {
        if (load !== undefined && isHeldUp(load)) {
            return;
        }
        this.undisturbedBeginnings.take(time);
        this.recentBeginnings.take(time, now);
        if (read === undefined || !isUndisturbed(load)) {
            return;
        }
        const { weight, tokens, tokensSquared, product } = this.sums;
        this.sums = {
            weight: weight * readingMemory + 1,
            tokens: tokens * readingMemory + read,
            time: this.sums.time * readingMemory + time,
            tokensSquared: tokensSquared * readingMemory + read * read,
            product: product * readingMemory + read * time,
        };
    }

    /** Takes how a call went that was answered. */
    takeCall({ time, beginning, events, slowness }: AnsweredCall, now: number): void {
        if (isHeldUp({ slowness })) {
            return;
        }
        this.undisturbedCalls.take(time);
        if (events < fewestEvents) {
            this.recentExcess.take(Math.max(0, time - this.undisturbedCalls.value), now);
            return;
        }
        const gaps = events - 1;
        this.undisturbedPace.take((time - beginning) / gaps);
        const usual = this.undisturbedBeginnings.value + this.undisturbedPace.value * gaps;
        this.recentExcess.take(Math.max(0, time - usual), now);
    }
}

function isUndisturbed(load: UpstreamLoad | undefined): boolean {
    return load === undefined || (load.waiting === 0 && load.running <= load.slots * mostOccupancy);
}

/** An upstream shares its VM with others: it may be slow for a moment without any load of ours. */
function isHeldUp({ slowness }: Pick<UpstreamLoad, "slowness">): boolean {
    return slowness > usualSlowness;
}
