import type { Random } from "../clock.ts";
import type { DispatchRefusalReason } from "./dispatchQueue.ts";

/** Why a call is refused that has not run and will not run. Times are in milliseconds. */
export type RefusalCause =
    /**
     * The store could not be reached, or the declaration was not known, for as long as the call could wait. `isolated`:
     * no other gateway can be reached either, so the cause probably concerns this gateway only.
     */
    | { readonly kind: "storeAway"; readonly isolated: boolean; }
    /** The engines are overloaded; by the end of `expectedWait` the calls that wait now should have started. */
    | { readonly kind: "enginesFull"; readonly expectedWait: number; }
    /** The dispatcher has no place for the call; it tells each caller its own time to come back. */
    | { readonly kind: "noPlace"; readonly refusal: DispatchRefusalReason; readonly retryAfter: number;
        readonly expectedWait: number; readonly ahead: number; }
    /** The upstreams refused the call, or no connection to them was free. */
    | { readonly kind: "upstreamsFull"; }
    /** The gateway reaches no upstream, directly or through another gateway; a further gateway may reach some. */
    | { readonly kind: "upstreamsUnreachable"; }
    /** The upstreams take no more requests a second; by the end of `expectedWait` one of them may take another one. */
    | { readonly kind: "rateLimited"; readonly expectedWait: number; }
    /** The team has used up its quota; by the end of `expectedWait` it may send another request. */
    | { readonly kind: "quotaExceeded"; readonly expectedWait: number; }
    /** None of the gateways that know how much of the team's quota is used can be reached from this one. */
    | { readonly kind: "quotaUnknown"; }
    /** The gateway holds as many bodies as its memory allows. */
    | { readonly kind: "memoryFull"; }
    /** The process is about to end; another gateway can serve the call. */
    | { readonly kind: "stopping"; }
    /** The call's time has ended, so no further attempt can be in time. */
    | { readonly kind: "outOfTime"; };

/** Bounds of the delay after a refusal because the engines are overloaded. */
const minOverloadDelayMs = 250;
const maxOverloadDelayMs = 1_000;
/** Delay after a call has already waited here for the store: the next gateway lets it wait again. */
const storeAwayDelayMs = 100;
const upstreamsFullDelayMs = 100;
const upstreamsUnreachableDelayMs = 100;
const memoryFullDelayMs = 300;
/** Bounds of the delay after a refusal because the rate limits of the upstreams are reached. */
const minRateLimitedDelayMs = 100;
const maxRateLimitedDelayMs = 2_000;
/** Bounds of the delay after a refusal because the quota of the team is used up. */
const minQuotaDelayMs = 50;
const maxQuotaDelayMs = 5_000;
const quotaUnknownDelayMs = 100;

/**
 * Milliseconds after which the caller of a refused call should try again; undefined if it should not. Callers try a few times only, so the delay is
 * long where an early attempt would be refused as well, and short where the next gateway can serve the call or lets it
 * wait. The jitter of a quarter keeps callers that were refused together from returning together. A caller whose team has
 * used up its quota does not return before there is credit, so that the jitter only adds to the delay.
 */
export function retryDelay(cause: RefusalCause, random: Random): number | undefined {
    switch (cause.kind) {
        case "outOfTime":
            return undefined;
        case "noPlace":
            return cause.retryAfter;
        case "quotaExceeded":
            return baseDelay(cause) * (1 + random() * 0.5);
        default:
            return baseDelay(cause) * (0.75 + random() * 0.5);
    }
}

function baseDelay(cause: Exclude<RefusalCause, { kind: "outOfTime" | "noPlace"; }>): number {
    switch (cause.kind) {
        case "storeAway":
            return cause.isolated ? 0 : storeAwayDelayMs;
        case "enginesFull":
            return Math.min(maxOverloadDelayMs, Math.max(minOverloadDelayMs, cause.expectedWait));
        case "upstreamsFull":
            return upstreamsFullDelayMs;
        case "upstreamsUnreachable":
            return upstreamsUnreachableDelayMs;
        case "rateLimited":
            return Math.min(maxRateLimitedDelayMs, Math.max(minRateLimitedDelayMs, cause.expectedWait));
        case "quotaExceeded":
            return Math.min(maxQuotaDelayMs, Math.max(minQuotaDelayMs, cause.expectedWait));
        case "quotaUnknown":
            return quotaUnknownDelayMs;
        case "memoryFull":
            return memoryFullDelayMs;
        case "stopping":
            return 0;
    }
}
