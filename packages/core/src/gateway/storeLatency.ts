/** How long the store usually takes. Times are in milliseconds. */
export interface StorePace {
    /** Takes the time of a call that was answered and did not wait for changes. */
    answered(time: number): void;
    /** A call without an answer for this long is made once more. */
    hedgeDelay(): number;
}

/** Share of the newest answer in the usual time. */
const newestShare = 0.2;
/**
 * A call that takes this many times the usual time has probably lost its answer. While the store is slow, a second call
 * would only wait behind the first.
 */
const unusual = 3;
const shortestDelay = 150;

/** Follows the times of the store's answers. */
export function createStorePace(): StorePace {
    let usual = 0;
    return {
        answered(time) {
            usual += (time - usual) * newestShare;
        },
        hedgeDelay: () => Math.max(shortestDelay, usual * unusual),
    };
}
