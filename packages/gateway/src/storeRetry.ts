import { type Store, StoreError } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";

/** A store that knows its pace. */
export interface PacedStore extends Store {
    /** An answer that does not come for this long, in ms, is asked for once more on another connection. */
    hedgeDelay(): number;
}

/** How a call of the store is repeated. Times are in milliseconds. */
export interface Persistence {
    readonly callTimeout: number;
    /** No further call begins after this time. */
    readonly giveUpAfter: number;
    /** Pause after a refusal; it grows with each one. */
    readonly pause: number;
    /** Asks again also while no way to the store is open. */
    readonly waitsForReturn: boolean;
}

const longestPause = 120;
/** Calls that are made at a time. Where every other answer is lost, one write in 16 has none with four. */
const mostCalls = 4;

/** For the calls that a caller waits for. */
export const urgentPersistence: Persistence = { callTimeout: 1_500, giveUpAfter: 900, pause: 30,
    waitsForReturn: false };

/** For what ends a turn, which has run: it waits for the store's return, for as long as its caller may wait. */
export const patientPersistence: Persistence = { ...urgentPersistence, waitsForReturn: true };

/**
 * Repeats a call of the store until it is answered; `attempt` numbers the calls from 0. Only for calls that may be applied
 * twice: an answer can be lost, and the first call may still be applied after the second.
 */
export async function persist<Value>(
    store: PacedStore,
    call: (timeout: number, attempt: number) => Promise<Value>,
    { callTimeout, giveUpAfter, pause, waitsForReturn }: Persistence,
): Promise<Value> {
    const started = performance.now();
    let attempts = 0;
    for (let round = 1;; round += 1) {
        try {
            return await hedge(() => call(callTimeout, attempts++), store.hedgeDelay() * round);
        }
        catch (error) {
            const hopeless = !(error instanceof StoreError) || (error.failure === "away" && !waitsForReturn);
            const delay = Math.min(longestPause, pause * round);
            if (hopeless || performance.now() - started + delay > giveUpAfter) {
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
        const begin = () => {
            pending += 1;
            calls += 1;
            timer = calls < mostCalls ? setTimeout(begin, delay) : undefined;
            call().then(answered, failed);
        };
        const answered = (value: Value) => {
            clearTimeout(timer);
            resolve(value);
        };
        const failed = (error: Error) => {
            pending -= 1;
            if (pending === 0) {
                clearTimeout(timer);
                reject(error);
            }
        };
        begin();
    });
}
