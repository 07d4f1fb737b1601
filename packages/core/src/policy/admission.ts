import type { Random } from "../clock.ts";

/** Time constant of the learned rates of programs served first and ended, in ms. */
const rateWindowMs = 3_000;

/** New programs are refused when the wait exceeds this share of the patience, as the estimate errs by some. */
const admittedShare = 0.8;

/** Calls under way are to wait for this share of the patience at most. */
const waitShare = 0.4;

/** The limit of programs falls by this factor, at most once per interval in ms, so that a fall can take effect. */
const decrease = 0.9;
const decreaseMs = 1_000;

/** Openings queued for less than this say nothing of capacity: the rates of an idle daemon are low, in ms. */
const startMs = 1_000;

/** The limit is dropped after this time without a wait that says anything of it, in ms. */
const forgetMs = 5_000;

/** Retries allowed per request, and the most that can be saved up. */
const retryShare = 0.1;
const mostRetries = 10;

/** Shortest time after which a refused caller is asked to come back, in ms. */
const shortestRetryMs = 500;

/** Events per second, averaged over the window; exponentially weighted. */
class Rate {
    private value = 0;
    private at = 0;

    count(now: number): void {
        this.value = this.perSecond(now) + 1_000 / rateWindowMs;
        this.at = now;
    }

    perSecond(now: number): number {
        return this.value * Math.exp((this.at - now) / rateWindowMs);
    }
}

/**
 * Capacity learned from completions: how many programs may be under way, and how many are served first and end per second.
 * Programs under way go before new ones: a new one waits until the limit has room, or is refused at once.
 */
export class Admission {
    private readonly served = new Rate();
    private readonly ended = new Rate();
    private limit = Infinity;
    private decreasedAt = -Infinity;
    private waitedAt = -Infinity;
    private programs = 0;
    private retries = mostRetries;

    constructor(private readonly patienceMs: number, private readonly random: Random) {}

    /** A program's first call was dispatched. */
    begin(): void {
        this.programs += 1;
    }

    /** A program's first call got its first token. */
    serve(now: number): void {
        this.served.count(now);
    }

    end(now: number): void {
        this.programs -= 1;
        this.ended.count(now);
    }

    /** Whether one more program may begin. */
    hasRoom(): boolean {
        return this.programs < this.limit;
    }

    /** A call under way waited this long for its first token, its prefill not counted; adapts the limit. */
    waited(ms: number, now: number): void {
        const bound = waitShare * this.patienceMs;
        this.waitedAt = now;
        if (ms <= bound) {
            const inUse = this.programs > this.limit - 2;
            this.limit += inUse ? (ms < bound / 4 ? 4 : 1) / this.limit : 0;
        }
        else if (now - this.decreasedAt >= decreaseMs) {
            this.limit = Math.max(1, Math.min(this.limit, this.programs) * decrease);
            this.decreasedAt = now;
        }
    }

    /**
     * Whether a new program is refused at once behind the openings without a first token, of which there has been one
     * for `queuedMs`; returns after how many ms to come back.
     */
    refuses(openings: number, queuedMs: number, now: number): number | undefined {
        if (now - this.waitedAt > forgetMs) {
            this.limit = Infinity;
        }
        if (openings === 0 || (this.hasRoom() && queuedMs < startMs)) {
            return undefined;
        }
        const rate = Math.max(0.1, this.served.perSecond(now), this.ended.perSecond(now));
        const wait = 1_000 * (openings + 1) / rate;
        if (wait <= admittedShare * this.patienceMs) {
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
