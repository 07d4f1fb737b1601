import type { Random } from "../clock.ts";

/** Time constant of the learned rate of completions, in ms. */
const rateWindowMs = 2_000;

/** Weight of the wait of one call in the average, and the half-life of the average without calls, in ms. */
const waitGain = 0.1;
const waitHalfLifeMs = 1_000;

/** New programs are refused when the wait exceeds this share of the patience: their later calls wait as well. */
const admittedShare = 0.7;

/** Calls under way that wait longer than this share of the patience go before all new programs. */
const pressedShare = 0.05;

/** Retries allowed per request, and the most that can be saved up. */
const retryShare = 0.1;
const mostRetries = 10;

/** Shortest time after which a refused caller is asked to come back, in ms. */
const shortestRetryMs = 500;

/** Capacity learned from completions, and the decisions that depend on it. */
export class Admission {
    private rate = 0;
    private countedAt: number | undefined;
    private retries = mostRetries;
    private waitMs = 0;
    private waitAt = 0;

    constructor(private readonly patienceMs: number, private readonly random: Random) {}

    /** The first call of a program was served; `busy` says that others waited, so that the rate is the capacity. */
    opened(busy: boolean, now: number): void {
        const elapsed = now - (this.countedAt ?? now);
        this.countedAt = now;
        const decayed = this.rate * Math.exp(-elapsed / rateWindowMs) + 1_000 / rateWindowMs;
        this.rate = busy ? decayed : Math.max(this.rate, decayed);
    }

    /** A call under way got its first token this long after it was submitted, its prefill not counted. */
    waited(waitMs: number, now: number): void {
        const current = this.recentWait(now);
        this.waitMs = current + waitGain * (waitMs - current);
        this.waitAt = now;
    }

    /** Whether calls under way wait so long that new programs are to come after all of them. */
    isPressed(now: number): boolean {
        return this.recentWait(now) > pressedShare * this.patienceMs;
    }

    /** Whether a new program is refused at once behind those that wait; returns after how many ms to come back. */
    refuses(openings: number, now: number): number | undefined {
        const backlogMs = this.rate === 0 ? 0 : 1_000 * openings / this.rate;
        const wait = backlogMs + this.recentWait(now);
        if (wait <= this.patienceMs * admittedShare) {
            return undefined;
        }
        return Math.round(Math.max(shortestRetryMs, wait) * (1 + this.random()));
    }

    private recentWait(now: number): number {
        return this.waitMs * 0.5 ** ((now - this.waitAt) / waitHalfLifeMs);
    }

    /** A request that is no retry earns a share of one. */
    countRequest(): void {
        this.retries = Math.min(mostRetries, this.retries + retryShare);
    }

    /** Whether the budget covers one more retry; counts it. */
    takeRetry(): boolean {
        if (this.retries < 1) {
            return false;
        }
        this.retries -= 1;
        return true;
    }
}
