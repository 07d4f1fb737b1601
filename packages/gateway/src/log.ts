import type { Writable } from "node:stream";
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

/** Collects lines, so that many go out with one write. */
export interface LineBuffer {
    readonly write: LogSink;
    flush(): void;
}

/** Lines a second before those of successes are left out, and before all are. */
const infoLineLimit = 40;
const lineLimit = 120;
const windowMs = 1_000;
const flushIntervalMs = 100;
/** A reader with this much still to read does not keep up, in bytes. */
const maxBacklogBytes = 256 * 1024;

/** Creates a buffer before a stream. Writing never waits for the stream's reader. */
export function createLineBuffer(stream: Writable): LineBuffer {
    let lines: string[] = [];
    let timer: NodeJS.Timeout | undefined;

    function flush(): void {
        clearTimeout(timer);
        timer = undefined;
        if (lines.length > 0) {
            stream.write(lines.join(""));
            lines = [];
        }
    }

    return {
        write(line) {
            if (stream.writableLength > maxBacklogBytes) {
                return false;
            }
            lines.push(line);
            timer ??= setTimeout(flush, flushIntervalMs);
            return true;
        },
        flush,
    };
}

/** Creates a log. What exceeds its budget or finds a slow reader is left out, counted and told once a second. */
export function createLog(name: string, sink: LogSink, now: () => number): Log {
    let windowStart = now();
    let written = 0;
    let omitted = 0;
    const logger = pino({ base: { vm: name }, timestamp: pino.stdTimeFunctions.epochTime }, {
        write(line) {
            omitted += sink(line) ? 0 : 1;
        },
    });

    function admit(limit: number): boolean {
        if (now() - windowStart >= windowMs) {
            windowStart = now();
            written = 0;
            logOmitted();
        }
        if (written >= limit) {
            omitted += 1;
            return false;
        }
        written += 1;
        return true;
    }

    function logOmitted(): void {
        const lines = omitted;
        omitted = 0;
        if (lines > 0) {
            logger.warn({ event: "log.omitted", lines });
        }
    }

    return {
        info(event, fields) {
            if (admit(infoLineLimit)) {
                logger.info({ event, ...fields });
            }
        },
        warn(event, fields) {
            if (admit(lineLimit)) {
                logger.warn({ event, ...fields });
            }
        },
    };
}
