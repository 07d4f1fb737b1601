import { type Store, StoreError } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";

/** A store with an estimate of its latency. */
export interface HedgeableStore extends Store {
    /** Time in ms after which an unanswered call is hedged, that is, sent again over another connection. */
    hedgeDelay(): number;
}

/** How a store call is retried. Times are in milliseconds. */
export interface RetryPolicy {
    readonly callTimeout: number;
    /** No further retry starts after this time. */
    readonly giveUpAfter: number;
    /** Delay before the first retry after a failure; it grows linearly with each retry. */
    readonly retryDelay: number;
    /** Whether calls are also retried while the store is unavailable. */
    readonly retriesWhileAway: boolean;
    /** Number of calls that may be under way at once; 1 if the call is not hedged. */
    readonly maxConcurrentCalls: number;
}

const maxRetryDelayMs = 120;
/** Maximum number of hedged calls. With four, one write in 16 has no answer if every other answer is lost. */
const maxHedgedCalls = 4;

/** For calls that a caller waits for. */
export const urgentRetryPolicy: RetryPolicy = { callTimeout: 1_500, giveUpAfter: 900, retryDelay: 30,
    retriesWhileAway: false, maxConcurrentCalls: maxHedgedCalls };

/** For the write that stores a completed turn. It is retried during an outage, until the caller's time limit. */
export const patientRetryPolicy: RetryPolicy = { ...urgentRetryPolicy, retriesWhileAway: true };

/** For the writes that store a large completed turn. Hedging would multiply the bytes that are sent. */
export const largeWriteRetryPolicy: RetryPolicy = { ...patientRetryPolicy, maxConcurrentCalls: 1 };

/**
 * Hedges and retries a store call until it is answered; `attempt` is the number of calls made before. Only for calls
 * that may be applied twice: an answer can be lost, and the first call may be applied after the second.
 */
export async function callWithRetries<Value>(
    store: HedgeableStore,
    call: (timeout: number, attempt: number) => Promise<Value>,
    { callTimeout, giveUpAfter, retryDelay, retriesWhileAway, maxConcurrentCalls }: RetryPolicy,
): Promise<Value> {
    const startedAt = performance.now();
    let attempts = 0;
    for (let round = 1;; round += 1) {
        try {
            return await hedge(() => call(callTimeout, attempts++), store.hedgeDelay() * round, maxConcurrentCalls);
        }
        catch (error) {
            const isPermanent = !(error instanceof StoreError) || (error.failure === "away" && !retriesWhileAway);
            const delay = Math.min(maxRetryDelayMs, retryDelay * round);
            if (isPermanent || performance.now() - startedAt + delay > giveUpAfter) {
                throw error;
            }
            await sleep(delay);
        }
    }
}

/**
 * Makes a further call after each delay without an answer. Resolves with the first answer; rejects if all calls fail.
 */
function hedge<Value>(call: () => Promise<Value>, delay: number, maxConcurrentCalls: number): Promise<Value> {
    return new Promise((resolve, reject) => {
        let pending = 0;
        let calls = 0;
        let timer: NodeJS.Timeout | undefined;
        const startCall = () => {
            pending += 1;
            calls += 1;
            timer = calls < maxConcurrentCalls ? setTimeout(startCall, delay) : undefined;
            call().then(onAnswer, onFailure);
        };
        const onAnswer = (value: Value) => {
            clearTimeout(timer);
            resolve(value);
        };
        const onFailure = (error: Error) => {
            pending -= 1;
            if (pending === 0) {
                clearTimeout(timer);
                reject(error);
            }
        };
        startCall();
    });
}
