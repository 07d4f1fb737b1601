import type { Writable } from "node:stream";
import { type LogLevel, renderJsonLine } from "./jsonLine.ts";

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Structured log of one process: JSON lines, each with an event name. */
export interface Log {
    info(event: string, fields: LogFields): void;
    /** For refusals and failures. Above the rate limit, info lines are dropped before warnings. */
    warn(event: string, fields: LogFields): void;
}

/** Writes a log line; returns false if the line was dropped because the reader is too slow. */
export type LogSink = (line: string) => boolean;

/** Batches lines into fewer writes. */
export interface LineBuffer {
    readonly write: LogSink;
    flush(): void;
}

/** Lines per second after which info lines are dropped, and after which all lines are dropped. */
const infoLineLimit = 40;
const lineLimit = 120;
const windowMs = 1_000;
const flushIntervalMs = 100;
/** Lines are dropped while more than this many bytes are waiting for the stream's reader. */
const maxBacklogBytes = 256 * 1024;

/** Creates a buffer in front of a stream. Writing never waits for the stream's reader. */
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

/**
 * Creates a rate-limited log. Lines above the limit or in front of a slow reader are dropped; the number of dropped lines
 * is logged at most once a second.
 */
export function createLog(name: string, sink: LogSink, now: () => number): Log {
    let windowStart = now();
    let written = 0;
    let omitted = 0;

    function write(level: LogLevel, event: string, fields: LogFields): void {
        omitted += sink(renderJsonLine(level, name, event, fields)) ? 0 : 1;
    }

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
            write("warn", "log.omitted", { lines });
        }
    }

    return {
        info(event, fields) {
            if (admit(infoLineLimit)) {
                write("info", event, fields);
            }
        },
        warn(event, fields) {
            if (admit(lineLimit)) {
                write("warn", event, fields);
            }
        },
    };
}
