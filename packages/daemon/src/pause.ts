import type { Clock } from "@tamarackgauge/core";

/** Tells when the process did not run for a while, so that what it reads next may be old. */
export interface PauseDetector {
    /** Whether the process was stopped until a moment ago. */
    resumedRecently(): boolean;
    [Symbol.dispose](): void;
}

const tickIntervalMs = 100;
/** A longer time between two ticks counts as a pause, in milliseconds. */
const pauseThresholdMs = 500;
/** Messages that arrived during a pause have been read this long after it, also on a busy VM, in milliseconds. */
const settleTimeMs = 3_000;

/** Starts watching. */
export function createPauseDetector(clock: Clock): PauseDetector {
    let lastTickAt = clock.monotonic();
    let resumedAt = -Infinity;
    const timer = setInterval(check, tickIntervalMs);

    function check(): void {
        const now = clock.monotonic();
        if (now - lastTickAt > pauseThresholdMs) {
            resumedAt = now;
        }
        lastTickAt = now;
    }

    return {
        resumedRecently: () => {
            check();
            return clock.monotonic() - resumedAt < settleTimeMs;
        },
        [Symbol.dispose]: () => clearInterval(timer),
    };
}
