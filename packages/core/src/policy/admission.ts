import type { Random } from "../clock.ts";

/** Time constant of the learned rate of completions, in ms. */
const rateWindowMs = 2_000;

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

    constructor(private readonly patienceMs: number, private readonly random: Random) {}

    /** A call was completed; `busy` says that calls waited, so that the rate of completions is the capacity. */
    completed(busy: boolean, now: number): void {
        const elapsed = now - (this.countedAt ?? now);
        this.countedAt = now;
        const decayed = this.rate * Math.exp(-elapsed / rateWindowMs) + 1_000 / rateWindowMs;
        this.rate = busy ? decayed : Math.max(this.rate, decayed);
    }

    /** Estimated wait of a new program behind calls that wait, in ms. */
    estimatedWait(waiting: number): number {
        return this.rate === 0 ? 0 : 1_000 * waiting / this.rate;
    }

    /** Whether a new program is refused at once; returns after how many ms to come back. */
    refuses(waiting: number, engineWaitMs: number): number | undefined {
        const wait = this.estimatedWait(waiting) + engineWaitMs;
        if (wait <= this.patienceMs) {
            return undefined;
        }
        return Math.round(Math.max(shortestRetryMs, wait) * (1 + this.random()));
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
