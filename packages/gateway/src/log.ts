import pino from "pino";

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Structured log of one process: JSON lines, each with the name of an event. */
export interface Log {
    info(event: string, fields: LogFields): void;
    /** For refusals and failures; they are kept before other lines. */
    warn(event: string, fields: LogFields): void;
}

/** Where log lines go; `false` means that the reader does not keep up. */
export type LogSink = (line: string) => boolean;

/** Lines a second before the less important ones are left out, and before all are. */
const usualBudget = 40;
const fullBudget = 120;
const second = 1_000;

/** Creates a log. What exceeds its budget or finds a slow reader is left out, counted and told once a second. */
export function createLog(name: string, sink: LogSink, now: () => number, level = "info"): Log {
    let windowStart = now();
    let written = 0;
    let omitted = 0;
    let blocked = false;
    const logger = pino({ level, base: { vm: name }, timestamp: pino.stdTimeFunctions.epochTime }, {
        write: line => {
            blocked = !sink(line);
        },
    });

    function admit(budget: number): boolean {
        if (now() - windowStart >= second) {
            windowStart = now();
            written = 0;
            blocked = false;
            if (omitted > 0) {
                logger.warn({ event: "log.omitted", lines: omitted });
                omitted = 0;
            }
        }
        if (blocked || written >= budget) {
            omitted += 1;
            return false;
        }
        written += 1;
        return true;
    }

    return {
        info: (event, fields) => {
            if (admit(usualBudget)) {
                logger.info({ event, ...fields });
            }
        },
        warn: (event, fields) => {
            if (admit(fullBudget)) {
                logger.warn({ event, ...fields });
            }
        },
    };
}
