/** Estimate of the store's latency. Times are in milliseconds. */
export interface StoreLatency {
    /** Records the latency of an answered call. Long polls are not recorded. */
    record(time: number): void;
    /** Time after which an unanswered call is hedged, that is, sent a second time. */
    hedgeDelay(): number;
}

/** Weight of the newest sample in the moving average. */
const smoothingFactor = 0.2;
/**
 * Multiple of the average latency after which the answer has probably been lost. Hedging earlier is useless: while the
 * store is slow, the second call would only queue behind the first.
 */
const hedgeFactor = 3;
const minHedgeDelayMs = 150;

/** Creates an estimate from the moving average of the latencies. */
export function createStoreLatency(): StoreLatency {
    let meanLatency = 0;
    return {
        record(time) {
            meanLatency += (time - meanLatency) * smoothingFactor;
        },
        hedgeDelay: () => Math.max(minHedgeDelayMs, meanLatency * hedgeFactor),
    };
}
