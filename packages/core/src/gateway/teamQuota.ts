import type { Quota } from "./route.ts";
import type { QuotaSettings } from "./settings.ts";

/** Requests that a bucket lets through: `capacity` at once, `ratePerSecond` in the long run. */
export interface BucketShape {
    readonly ratePerSecond: number;
    readonly capacity: number;
}

/** What the gateways that decide about a team may hand out. */
export interface QuotaLimits {
    /** Divided between the home and its deputy, in halves while they are not in touch. */
    readonly shared: BucketShape;
    /** Handed out by each of the two in addition. */
    readonly reserve: BucketShape;
}

/** Time between a credit and its use that the limits allow for. It includes the time until the request has been written. */
export const maxCreditDelayMs = 250;
/** A gateway uses a credit no later than this after it has asked for it. */
export const creditLifetimeMs = 220;

/**
 * Gateways that may hand out a reserve at the same time: the first two of the ranking, and one that ranked before and does
 * not know it yet.
 */
const reserveHolders = 3;
/** Share of the excess (overage and slack) for the reserves; the rest allows for the delay of credits. */
const reserveShare = 0.5;
const msPerSecond = 1_000;

/** Whether the quota limits a team. */
export function isLimited({ ratePerSecond, burst }: Quota): boolean {
    return ratePerSecond > 0 || burst > 0;
}

/** Requests that may be sent in a window (the rule): those of the quota, with overage and slack. */
export function maxInWindow({ ratePerSecond, burst }: Quota, { window, overage, slack }: QuotaSettings): number {
    return (ratePerSecond * window / msPerSecond + burst) * (1 + overage) + slack;
}

/** Divides what a quota allows, so that all requests together stay within the rule. */
export function quotaLimits(quota: Quota, settings: QuotaSettings): QuotaLimits {
    const allowed = quota.ratePerSecond * settings.window / msPerSecond + quota.burst;
    const excess = maxInWindow(quota, settings) - allowed;
    // The requests of a window may use credits of the window and of the time by which they are delayed.
    const issuingSeconds = (settings.window + maxCreditDelayMs) / msPerSecond;
    const sharedInWindow = allowed + excess * (1 - reserveShare);
    // Without a rate, the burst comes back once a window.
    const ratePerSecond = quota.ratePerSecond > 0 ? quota.ratePerSecond : sharedInWindow / 2 / issuingSeconds;
    const capacity = Math.max(1, sharedInWindow - ratePerSecond * issuingSeconds);
    return {
        shared: { capacity,
            ratePerSecond: Math.min(ratePerSecond, Math.max(0, sharedInWindow - capacity) / issuingSeconds) },
        reserve: reserveShape(excess * reserveShare / reserveHolders, issuingSeconds),
    };
}

function reserveShape(inWindow: number, issuingSeconds: number): BucketShape {
    const capacity = inWindow < 1 ? 0 : Math.max(1, inWindow / 2);
    return { capacity, ratePerSecond: Math.max(0, inWindow - capacity) / issuingSeconds };
}
