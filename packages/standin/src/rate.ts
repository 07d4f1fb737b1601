import { HttpError } from "./listener.ts";

/** A token bucket. */
export interface RateLimit {
    /** Takes one token; false when the rate is exceeded. `now` is in milliseconds. */
    take(now: number): boolean;
}

/**
 * Creates a limit of `perSecond` with bursts of up to the requests of one second. Without a rate nothing is limited.
 */
export function createRateLimit(perSecond: number | undefined): RateLimit {
    if (perSecond === undefined) {
        return { take: () => true };
    }
    const capacity = Math.max(1, perSecond);
    let tokens = capacity;
    let lastTakenAt: number | undefined;
    return {
        take(now) {
            tokens = Math.min(capacity, tokens + (now - (lastTakenAt ?? now)) * perSecond / 1000);
            lastTakenAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
    };
}

/** The answer to a request above the rate. */
export function throttledError(): HttpError {
    const message = "too many requests";
    return new HttpError(429, message, { error: message, code: 8, message });
}
