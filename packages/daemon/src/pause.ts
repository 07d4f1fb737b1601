import type { Clock } from "@tamarackgauge/core";

/** Tells when the process did not run for a while, so that what it reads next may be old. */
export interface PauseWatch {
    /** Whether the process was stopped until a moment ago. */
    resumedLately(): boolean;
    [Symbol.dispose](): void;
}

const tick = 100;
/** A longer time between two ticks counts as a pause, in milliseconds. */
const pauseLimit = 500;
/** Messages that arrived during a pause have been read this long after it, also on a busy VM, in milliseconds. */
const settleTime = 3_000;

/** Starts watching. */
export function createPauseWatch(clock: Clock): PauseWatch {
    let seen = clock.monotonic();
    let resumed = -Infinity;
    const timer = setInterval(look, tick);

    function look(): void {
        const now = clock.monotonic();
        if (now - seen > pauseLimit) {
            resumed = now;
        }
        seen = now;
    }

    return {
        resumedLately: () => {
            look();
            return clock.monotonic() - resumed < settleTime;
        },
        [Symbol.dispose]: () => clearInterval(timer),
    };
}
