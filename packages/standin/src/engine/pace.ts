import { systemClock } from "@tamarackgauge/core";

/** Runs the steps of an engine in real time, with one timer however many sequences run. */
export interface Pace extends Disposable {
    /** Starts stepping when idle. */
    wake(): void;
    /** Makes steps `factor` times as long for `ms` milliseconds. */
    slow(factor: number, ms: number): void;
    /** Stops or resumes stepping. */
    hang(on: boolean): void;
}

/** What is paced. */
export interface Stepped {
    /** Starts a step and returns its length in milliseconds; undefined when there is nothing to do. */
    start(): number | undefined;
    finish(): void;
    /** Called after the steps that were due, so that several tokens leave in one write. */
    flush(): void;
}

// A process that gets no processor time for longer than this loses the time, like an engine that stalls.
const maxDebtMs = 250;

/** Paces steps; `scale` divides their lengths. */
export function createPace(stepped: Stepped, scale: number): Pace {
    const now = () => systemClock.monotonic();
    let timer: NodeJS.Timeout | undefined;
    let due: number | undefined;
    let hung = false;
    let slowFactor = 1;
    let slowUntil = 0;

    function begin(at: number): void {
        const length = stepped.start();
        const factor = at < slowUntil ? slowFactor : 1;
        due = length === undefined ? undefined : at + length * factor / scale;
    }

    function arm(): void {
        if (due !== undefined && !hung) {
            timer = setTimeout(run, Math.max(0, due - now()));
        }
    }

    function run(): void {
        timer = undefined;
        const current = now();
        while (due !== undefined && due <= current) {
            const at = Math.max(due, current - maxDebtMs);
            stepped.finish();
            begin(at);
        }
        stepped.flush();
        arm();
    }

    return {
        wake() {
            if (due === undefined && !hung) {
                begin(now());
                arm();
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
                begin(now());
                arm();
            }
        },
        [Symbol.dispose]() {
            hung = true;
            clearTimeout(timer);
        },
    };
}
