/** Whether a request may be sent to an upstream with a rate limit. Times are in milliseconds. */
export type PermitDecision =
    /** The request may be sent after `delay`. */
    | { readonly kind: "granted"; readonly delay: number; }
    /** No permit is free within the time that the request can wait; the next one is free after `delay`. */
    | { readonly kind: "denied"; readonly delay: number; };

/** A request for a permit. */
export interface PermitRequest {
    readonly requestsPerSecond: number;
    /** Requests that may follow each other at once after a time without any. */
    readonly burst: number;
    /** How long the request can wait, in ms. */
    readonly maxDelay: number;
}

/**
 * An upstream that takes nothing is still asked this often, as only its answers tell that its limit has ended.
 */
const minRequestsPerSecond = 0.2;
const msPerSecond = 1_000;

/** Spaces the requests to one upstream evenly (generic cell rate algorithm). Times are monotonic milliseconds. */
export class PermitSchedule {
    /** Time of the last permit. */
    private lastAt = -Infinity;

    /** Takes the next permit if it is free soon enough. */
    take({ requestsPerSecond, burst, maxDelay }: PermitRequest, now: number): PermitDecision {
        const interval = msPerSecond / Math.max(minRequestsPerSecond, requestsPerSecond);
        const permitAt = Math.max(this.lastAt + interval, now - (burst - 1) * interval);
        const delay = Math.max(0, permitAt - now);
        if (delay > maxDelay) {
            return { kind: "denied", delay };
        }
        this.lastAt = permitAt;
        return { kind: "granted", delay };
    }
}
