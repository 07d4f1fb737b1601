import { systemClock } from "@tamarackgauge/core";

/** Runs the steps of an engine in real time, with one timer for all sequences. */
export interface Pacer extends Disposable {
    /** Starts stepping when idle. */
    wake(): void;
    /** Makes steps `factor` times as long for `ms` milliseconds. */
    slow(factor: number, ms: number): void;
    /** Stops or resumes stepping. */
    hang(on: boolean): void;
}

/** The steps that a pacer runs. */
export interface PacedSteps {
    /** Starts a step and returns its duration in milliseconds; undefined when there is nothing to do. */
    start(): number | undefined;
    finish(): void;
    /** Called after all due steps, so that several tokens are sent in one write. */
    flush(): void;
}

// When the process gets no processor time for longer than this, the remaining time is lost, as when an engine stalls.
const maxCatchUpMs = 250;

/** Creates an idle pacer; `scale` divides the durations of steps. */
export function createPacer(steps: PacedSteps, scale: number): Pacer {
    const now = () => systemClock.monotonic();
    let timer: NodeJS.Timeout | undefined;
    let dueAt: number | undefined;
    let hung = false;
    let slowFactor = 1;
    let slowUntil = 0;

    function startStep(at: number): void {
        const stepMs = steps.start();
        const factor = at < slowUntil ? slowFactor : 1;
        dueAt = stepMs === undefined ? undefined : at + stepMs * factor / scale;
    }

    function scheduleTimer(): void {
        if (dueAt !== undefined && !hung) {
            timer = setTimeout(runDueSteps, Math.max(0, dueAt - now()));
        }
    }

    function runDueSteps(): void {
        timer = undefined;
        const current = now();
        while (dueAt !== undefined && dueAt <= current) {
            const at = Math.max(dueAt, current - maxCatchUpMs);
            steps.finish();
            startStep(at);
        }
        steps.flush();
        scheduleTimer();
    }

    return {
        wake() {
            if (dueAt === undefined && !hung) {
                startStep(now());
                scheduleTimer();
            }
        },
        slow(factor, ms) {
            slowFactor = factor;
            slowUntil = now() + ms;
        },
        hang(on) {
            hung = on;
            clearTimeout(timer);
            timer = undefined;
            if (!on) {
                startStep(now());
                scheduleTimer();
            }
        },
        [Symbol.dispose]() {
            hung = true;
            clearTimeout(timer);
        },
    };
}
