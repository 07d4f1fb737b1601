import type { Random } from "../clock.ts";

/** Time constant of the rates at which programs start and end. */
const rateTimeConstantMs = 3_000;

/** New programs are refused when the estimated wait exceeds this share of the patience; the rest is an error margin. */
const maxEstimatedWaitShare = 0.8;

/** Target for the wait of active programs' calls, as a share of the patience. */
const targetWaitShare = 0.4;

/** Factor of a decrease of the program limit, and the interval in which one decrease takes effect before the next. */
const decreaseFactor = 0.9;
const minDecreaseIntervalMs = 1_000;

/** A shorter backlog of first calls does not indicate overload: an idle daemon has measured only low rates. */
const minBacklogMs = 1_000;

/** The program limit is lifted when no wait has been recorded for this long. */
const limitExpiryMs = 5_000;

/** Retries earned per request, and how many can be saved up. */
const retriesPerRequest = 0.1;
const maxSavedRetries = 10;

/** Minimum retry delay for a refused caller. */
const minRetryAfterMs = 500;

/** Exponentially weighted average of events per second. */
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
 * Admission control for new programs. Adapts a limit of active programs to the waits of their calls, and measures the
 * rates at which programs start and end. Active programs go first: a new one waits until the limit allows it, or is
 * refused at once.
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

    /** The first call of a program was dispatched; the program is active from here. */
    recordProgramDispatched(): void {
        this.activePrograms += 1;
    }

    /** The first call of a program received its first token. */
    recordProgramStarted(now: number): void {
        this.startRate.recordEvent(now);
    }

    recordProgramEnded(now: number): void {
        this.activePrograms -= 1;
        this.endRate.recordEvent(now);
    }

    /** Whether the limit allows one more active program. */
    hasCapacity(): boolean {
        return this.activePrograms < this.programLimit;
    }

    /**
     * Adapts the limit to the time that a call of an active program waited for its first token, prefill excluded:
     * additive increase while the limit is nearly used, multiplicative decrease when the wait exceeds the target.
     */
    recordWait(waitMs: number, now: number): void {
        const targetWaitMs = targetWaitShare * this.patienceMs;
        this.lastWaitAt = now;
        if (waitMs <= targetWaitMs) {
            const isNearLimit = this.activePrograms > this.programLimit - 2;
            this.programLimit += isNearLimit ? (waitMs < targetWaitMs / 4 ? 4 : 1) / this.programLimit : 0;
        }
        else if (now - this.decreasedAt >= minDecreaseIntervalMs) {
            this.programLimit = Math.max(1, Math.min(this.programLimit, this.activePrograms) * decreaseFactor);
            this.decreasedAt = now;
        }
    }

    /**
     * Decides whether a new program is refused; returns the retry delay in ms, or undefined when it may wait.
     * `pendingFirstCalls` programs have no first token yet, and there has been at least one of them for `backlogMs`.
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

    /** Adds the share of a retry that each first attempt earns. */
    earnRetry(): void {
        this.savedRetries = Math.min(maxSavedRetries, this.savedRetries + retriesPerRequest);
    }

    /** Takes one retry from the budget; false when less than one is left. */
    spendRetry(): boolean {
        if (this.savedRetries < 1) {
            return false;
        }
        this.savedRetries -= 1;
        return true;
    }
}
