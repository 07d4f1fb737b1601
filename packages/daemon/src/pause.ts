import type { Clock } from "@tamarackgauge/core";

/** Detects that the process was paused, after which the messages that it reads may be outdated. */
export interface PauseDetector {
    /** Whether the process resumed from a pause within the last few seconds. */
    resumedRecently(): boolean;
    [Symbol.dispose](): void;
}

const tickIntervalMs = 100;
/** A longer time between two ticks counts as a pause. */
const pauseThresholdMs = 500;
/** Time after a pause within which all messages that arrived during it have been read, even on a busy VM. */
const settleTimeMs = 3_000;

/** Creates the detector and starts its timer. */
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
