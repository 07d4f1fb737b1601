/** How long the store usually takes. Times are in milliseconds. */
export interface StoreLatency {
    /** Takes the time of a call that was answered and did not wait for changes. */
    record(time: number): void;
    /** A call without an answer for this long is made once more. */
    hedgeDelay(): number;
}

/** Share of the newest answer in the usual time. */
const smoothingFactor = 0.2;
/**
 * A call that takes this many times the usual time has probably lost its answer. While the store is slow, a second call
 * would only wait behind the first.
 */
const hedgeFactor = 3;
const minHedgeDelayMs = 150;

/** Follows the times of the store's answers. */
export function createStoreLatency(): StoreLatency {
    let meanLatency = 0;
    return {
        record(time) {
            meanLatency += (time - meanLatency) * smoothingFactor;
        },
        hedgeDelay: () => Math.max(minHedgeDelayMs, meanLatency * hedgeFactor),
    };
}
