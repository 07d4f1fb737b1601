import { type Store, StoreError } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";

/** A store that knows its pace. */
export interface HedgeableStore extends Store {
    /** An answer that does not come for this long, in ms, is asked for once more on another connection. */
    hedgeDelay(): number;
}

/** How a call of the store is repeated. Times are in milliseconds. */
export interface RetryPolicy {
    readonly callTimeout: number;
    /** No further call begins after this time. */
    readonly giveUpAfter: number;
    /** Pause after a refusal; it grows with each one. */
    readonly retryDelay: number;
    /** Asks again also while no way to the store is open. */
    readonly retriesWhileAway: boolean;
}

const maxRetryDelayMs = 120;
/** Calls that are made at a time. Where every other answer is lost, one write in 16 has none with four. */
const maxConcurrentCalls = 4;

/** For the calls that a caller waits for. */
export const urgentRetryPolicy: RetryPolicy = { callTimeout: 1_500, giveUpAfter: 900, retryDelay: 30,
    retriesWhileAway: false };

/** For what ends a turn, which has run: it waits for the store's return, for as long as its caller may wait. */
export const patientRetryPolicy: RetryPolicy = { ...urgentRetryPolicy, retriesWhileAway: true };

/**
 * Repeats a call of the store until it is answered; `attempt` numbers the calls from 0. Only for calls that may be applied
 * twice: an answer can be lost, and the first call may still be applied after the second.
 */
export async function callWithRetries<Value>(
    store: HedgeableStore,
    call: (timeout: number, attempt: number) => Promise<Value>,
    { callTimeout, giveUpAfter, retryDelay, retriesWhileAway }: RetryPolicy,
): Promise<Value> {
    const startedAt = performance.now();
    let attempts = 0;
    for (let round = 1;; round += 1) {
        try {
            return await hedge(() => call(callTimeout, attempts++), store.hedgeDelay() * round);
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

/** Makes one more call after each delay without an answer; the first answer counts, and the last failure. */
function hedge<Value>(call: () => Promise<Value>, delay: number): Promise<Value> {
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
