import type { Random } from "../clock.ts";

/** Time constant of the learned rates of programs served first and ended, in ms. */
const rateTimeConstantMs = 3_000;

/** New programs are refused when the wait exceeds this share of the patience, as the estimate errs by some. */
const maxEstimatedWaitShare = 0.8;

/** Calls under way are to wait for this share of the patience at most. */
const targetWaitShare = 0.4;

/** The limit of programs falls by this factor, at most once per interval in ms, so that a fall can take effect. */
const decreaseFactor = 0.9;
const minDecreaseIntervalMs = 1_000;

/** Openings queued for less than this say nothing of capacity: the rates of an idle daemon are low, in ms. */
const minBacklogMs = 1_000;

/** The limit is dropped after this time without a wait that says anything of it, in ms. */
const limitExpiryMs = 5_000;

/** Retries allowed per request, and the most that can be saved up. */
const retriesPerRequest = 0.1;
const maxSavedRetries = 10;

/** Shortest time after which a refused caller is asked to come back, in ms. */
const minRetryAfterMs = 500;

/** Events per second, averaged over the window; exponentially weighted. */
class EventRate {
    private value = 0;
    private updatedAt = 0;

    recordEvent(now: number): void {
        this.value = this.perSecond(now) + 1_000 / rateTimeConstantMs;
        this.updatedAt = now;
    }

    perSecond(now: number): number {
        return this.value * Math.exp((this.updatedAt - now) / rateTimeConstantMs);
    }
}

/**
 * Capacity learned from completions: how many programs may be under way, and how many are served first and end per second.
 * Programs under way go before new ones: a new one waits until the limit has room, or is refused at once.
 */
export class Admission {
    private readonly startRate = new EventRate();
    private readonly endRate = new EventRate();
    private programLimit = Infinity;
    private decreasedAt = -Infinity;
    private lastWaitAt = -Infinity;
    private activePrograms = 0;
    private savedRetries = maxSavedRetries;

    constructor(private readonly patienceMs: number, private readonly random: Random) {}

    /** A program's first call was dispatched. */
    recordProgramDispatched(): void {
        this.activePrograms += 1;
    }

    /** A program's first call got its first token. */
    recordProgramStarted(now: number): void {
        this.startRate.recordEvent(now);
    }

    recordProgramEnded(now: number): void {
        this.activePrograms -= 1;
        this.endRate.recordEvent(now);
    }

    /** Whether one more program may begin. */
    hasCapacity(): boolean {
        return this.activePrograms < this.programLimit;
    }

    /** A call under way waited this long for its first token, its prefill not counted; adapts the limit. */
    recordWait(waitMs: number, now: number): void {
        const targetWaitMs = targetWaitShare * this.patienceMs;
        this.lastWaitAt = now;
        if (waitMs <= targetWaitMs) {
            const isLimitReached = this.activePrograms > this.programLimit - 2;
            this.programLimit += isLimitReached ? (waitMs < targetWaitMs / 4 ? 4 : 1) / this.programLimit : 0;
        }
        else if (now - this.decreasedAt >= minDecreaseIntervalMs) {
            this.programLimit = Math.max(1, Math.min(this.programLimit, this.activePrograms) * decreaseFactor);
            this.decreasedAt = now;
        }
    }

    /**
     * Whether a new program is refused at once behind the openings without a first token, of which there has been one
     * for `queuedMs`; returns after how many ms to come back.
     */
    retryAfterMs(pendingFirstCalls: number, backlogMs: number, now: number): number | undefined {
        if (now - this.lastWaitAt > limitExpiryMs) {
            this.programLimit = Infinity;
        }
        if (pendingFirstCalls === 0 || (this.hasCapacity() && backlogMs < minBacklogMs)) {
            return undefined;
        }
        const ratePerSecond = Math.max(0.1, this.startRate.perSecond(now), this.endRate.perSecond(now));
        const estimatedWaitMs = 1_000 * (pendingFirstCalls + 1) / ratePerSecond;
        if (estimatedWaitMs <= maxEstimatedWaitShare * this.patienceMs) {
            return undefined;
        }
        return Math.round(Math.max(minRetryAfterMs, estimatedWaitMs) * (1 + this.random()));
    }

    /** A request that is no retry earns a share of one. */
    earnRetry(): void {
        this.savedRetries = Math.min(maxSavedRetries, this.savedRetries + retriesPerRequest);
    }

    /** Whether the budget covers one more retry; counts it. */
    spendRetry(): boolean {
        if (this.savedRetries < 1) {
            return false;
        }
        this.savedRetries -= 1;
        return true;
    }
}
