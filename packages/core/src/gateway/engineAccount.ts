import type { PromptPart, UpstreamEntry, UpstreamLoad } from "./call.ts";
import { incarnationOf } from "./incarnation.ts";
import { PrefixCache } from "./prefixCache.ts";

/** What a call takes up at an engine. */
export interface EngineDemand {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Maximum number of tokens that the call generates. */
    readonly maxTokens: number;
}

/** A call that an engine is to run. Times are in monotonic milliseconds. */
export interface PlacedCall extends EngineDemand {
    /** Identifies the placement. */
    readonly key: number;
    /** Tokens of the prompt that the engine has to read. */
    readonly uncachedTokens: number;
    readonly prefillMs: number;
    /** When the call has ended at the latest. */
    readonly expiresAt: number;
}

/** How an attempt at an engine ended, as far as it tells something about the engine. */
export type EngineOutcome =
    | "answered"
    /** The engine is full: it did not run the call. */
    | "rejected"
    /** The engine was not reached, broke off, or failed the call. */
    | "failed"
    /** The placement was not used, or its caller has left. */
    | "unused"
    /** The engine's rate limit allows no request now. */
    | "limited"
    /** The engine takes no new calls. */
    | "leaving";

/** A load report and its age in ms. */
export interface AgedLoad extends UpstreamLoad {
    readonly age: number;
}

/** Share of an engine's memory that calls in progress may take. An engine may crash when its memory runs out. */
export const usableMemoryShare = 0.9;
/** An engine without room for calls is not used for this long if it does not report its load. */
const rejectionPauseMs = 100;
/** An engine whose rate limit is reached is asked for again after this time. */
const limitedPauseMs = 100;
/** Number of recent failures from which an engine is suspended for all gateways. */
const suspendingFailures = 3;
const failureMemoryMs = 2_000;
/** Time for which a failed engine is suspended; it doubles with each further suspension. */
const initialSuspensionMs = 250;
const maxSuspensionMs = 2_000;
/** Half-lives of what an engine reported: of calls that this account does not contain, and of its slowness. */
const unaccountedHalfLifeMs = 1_500;
const slownessHalfLifeMs = 300;
/** Half-life of the measured pace. It lets a slow engine be measured anew. */
const paceHalfLifeMs = 3_000;
const paceWeight = 0.25;
const maxPace = 4;
/** Number of changes of the call count that are remembered, to compare a report with the count at its time. */
const countHistoryLength = 64;

/**
 * What the dispatcher knows of one engine: the calls in progress and their tokens, the cached prompt parts, failures and
 * measured speed. Times are monotonic milliseconds.
 */
export class EngineAccount {
    readonly cache: PrefixCache;
    /** Time at which the engine will have read the prompts of the calls placed so far. */
    private prefillUntil = -Infinity;
    private readonly calls = new Map<number, PlacedCall>();
    private readonly partsInUse = new Map<string, { uses: number; tokens: number; }>();
    private usedTokens = 0;
    private earliestExpiry = Infinity;
    private readonly countTimes: number[] = [];
    private readonly counts: number[] = [];
    private unaccounted = 0;
    private reportedSlowness = 1;
    private loadAt = -Infinity;
    private pace = 1;
    private paceAt = -Infinity;
    private failureTimes: readonly number[] = [];
    private suspensions = 0;
    private suspendedUntil = -Infinity;
    private pausedUntil = -Infinity;
    private leaving = false;
    private lastPlacedAt: number;
    /** Number of calls placed so far. */
    placedCalls = 0;

    constructor(public entry: UpstreamEntry, private readonly memoryTokens: number, now: number) {
        this.cache = new PrefixCache(this.maxTokens);
        this.lastPlacedAt = now;
    }

    /** Whether an entry describes the same process. */
    isSameProcess(entry: UpstreamEntry): boolean {
        return incarnationOf(entry) === incarnationOf(this.entry);
    }

    /** Tokens that calls in progress may take; unlimited if the size of the memory is not known. */
    get maxTokens(): number {
        return this.memoryTokens > 0 ? this.memoryTokens * usableMemoryShare : Infinity;
    }

    /** Tokens of the calls in progress; parts that several calls share are counted once. */
    get tokens(): number {
        return this.usedTokens;
    }

    /** Number of calls placed here that have not ended. */
    get ownCalls(): number {
        return this.calls.size;
    }

    /** Estimated number of calls at the engine: those placed here, and those that only its reports show. */
    estimatedCalls(now: number): number {
        return this.unaccounted === 0
            ? this.calls.size
            : this.calls.size + Math.round(this.unaccounted * 0.5 ** ((now - this.loadAt) / unaccountedHalfLifeMs));
    }

    /** Whether the engine has memory for the call. One that exceeds the limit by itself runs alone. */
    hasMemoryFor(call: EngineDemand): boolean {
        return this.calls.size === 0 || this.usedTokens + this.additionalTokens(call) <= this.maxTokens;
    }

    /** Time until the engine has read the prompts of the calls placed so far, in ms. */
    prefillBacklog(now: number): number {
        return Math.max(0, this.prefillUntil - now);
    }

    /** Processing time relative to that of the service's other engines; at least 1. */
    slowness(now: number): number {
        if (this.reportedSlowness === 1 && this.pace <= 1) {
            return 1;
        }
        const reported = 1 + (this.reportedSlowness - 1) * 0.5 ** ((now - this.loadAt) / slownessHalfLifeMs);
        const measured = 1 + (this.pace - 1) * 0.5 ** ((now - this.paceAt) / paceHalfLifeMs);
        return Math.max(1, reported, measured);
    }

    /** Time since the last call was placed, or since the engine is known, in ms. */
    idleTime(now: number): number {
        return now - this.lastPlacedAt;
    }

    /** Whether the engine gets no new calls, by its entry or by its answers. */
    isLeaving(): boolean {
        return this.leaving || this.entry.draining;
    }

    isPaused(now: number): boolean {
        return now < this.pausedUntil;
    }

    /** Whether the engine has failed often and is not tried now. After the suspension a single call tries it. */
    isSuspended(now: number): boolean {
        return now < this.suspendedUntil || (this.suspensions > 0 && this.calls.size > 0);
    }

    /** Adds a call. */
    add(call: PlacedCall, now: number): void {
        this.usedTokens += privateTokens(call);
        for (const { id, tokens } of call.parts) {
            const part = this.partsInUse.get(id) ?? { uses: 0, tokens: 0 };
            this.partsInUse.set(id, part);
            part.uses += 1;
            this.usedTokens += Math.max(0, tokens - part.tokens);
            part.tokens = Math.max(tokens, part.tokens);
        }
        this.calls.set(call.key, call);
        this.cache.record(call.parts);
        this.prefillUntil = Math.max(now, this.prefillUntil) + call.prefillMs;
        this.earliestExpiry = Math.min(this.earliestExpiry, call.expiresAt);
        this.lastPlacedAt = now;
        this.placedCalls += 1;
        this.recordCount(now);
    }

    /** Removes a call that has ended; undefined if it is not known. */
    remove(key: number, now: number): PlacedCall | undefined {
        const call = this.calls.get(key);
        if (call === undefined) {
            return undefined;
        }
        this.calls.delete(key);
        this.usedTokens -= privateTokens(call);
        for (const { id } of call.parts) {
            const part = this.partsInUse.get(id);
            if (part !== undefined) {
                part.uses -= 1;
                if (part.uses === 0) {
                    this.partsInUse.delete(id);
                    this.usedTokens -= part.tokens;
                }
            }
        }
        if (this.calls.size === 0) {
            // Token counts may be fractions, whose sums are not exact.
            this.usedTokens = 0;
        }
        this.recordCount(now);
        return call;
    }

    /** Removes calls whose time has ended, as their gateways may never report their end; returns their keys. */
    removeExpired(now: number): readonly number[] {
        if (now < this.earliestExpiry) {
            return [];
        }
        const expired = [...this.calls.values()].filter(({ expiresAt }) => expiresAt <= now).map(({ key }) => key);
        expired.forEach(key => this.remove(key, now));
        this.earliestExpiry = Math.min(Infinity, ...[...this.calls.values()].map(({ expiresAt }) => expiresAt));
        return expired;
    }

    /** Records how an attempt ended. */
    recordOutcome(outcome: EngineOutcome, now: number): void {
        switch (outcome) {
            case "answered":
                this.failureTimes = [];
                this.suspensions = 0;
                this.suspendedUntil = -Infinity;
                break;
            case "failed":
                this.recordFailure(now);
                break;
            case "rejected":
                this.pausedUntil = now + rejectionPauseMs;
                break;
            case "limited":
                this.pausedUntil = now + limitedPauseMs;
                break;
            case "leaving":
                this.leaving = true;
                break;
            case "unused":
                break;
        }
    }

    /** Records a load report, unless a later one is known. */
    recordLoad({ running, waiting, slowness, age }: AgedLoad, now: number): void {
        const reportedAt = now - age;
        if (reportedAt < this.loadAt) {
            return;
        }
        this.unaccounted = Math.max(0, running + waiting - this.countAt(reportedAt));
        this.reportedSlowness = slowness;
        this.loadAt = reportedAt;
    }

    /** Records the time between two events of an answer, relative to the service's average. */
    recordPace(relativeInterval: number, now: number): void {
        const before = 1 + (this.pace - 1) * 0.5 ** ((now - this.paceAt) / paceHalfLifeMs);
        this.pace = Math.min(maxPace, before + (relativeInterval - before) * paceWeight);
        this.paceAt = now;
    }

    private recordFailure(now: number): void {
        this.failureTimes = [...this.failureTimes.filter(at => now - at < failureMemoryMs), now];
        const isProbe = this.suspensions > 0 && now >= this.suspendedUntil;
        if (isProbe || (this.suspensions === 0 && this.failureTimes.length >= suspendingFailures)) {
            this.suspendedUntil = now + Math.min(maxSuspensionMs, initialSuspensionMs * 2 ** this.suspensions);
            this.suspensions += 1;
            // A process that failed may have been restarted, which empties its cache.
            this.cache.clear();
        }
    }

    private additionalTokens(call: EngineDemand): number {
        let tokens = privateTokens(call);
        for (const part of call.parts) {
            tokens += Math.max(0, part.tokens - (this.partsInUse.get(part.id)?.tokens ?? 0));
        }
        return tokens;
    }

    private recordCount(now: number): void {
        this.countTimes.push(now);
        this.counts.push(this.calls.size);
        if (this.counts.length > countHistoryLength * 2) {
            this.countTimes.splice(0, countHistoryLength);
            this.counts.splice(0, countHistoryLength);
        }
    }

    /** Number of calls at an earlier time. */
    private countAt(time: number): number {
        for (let index = this.countTimes.length - 1; index >= 0; index -= 1) {
            if (this.countTimes[index]! <= time) {
                return this.counts[index]!;
            }
        }
        return this.counts[0] ?? 0;
    }
}

/** Tokens that a call shares with no other one. */
function privateTokens({ parts, promptTokens, maxTokens }: EngineDemand): number {
    let inParts = 0;
    for (const { tokens } of parts) {
        inParts += tokens;
    }
    return Math.max(0, promptTokens - inParts) + maxTokens;
}
