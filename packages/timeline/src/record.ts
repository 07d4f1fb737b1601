import { z } from "zod";
import { event, type TimelineEvent } from "./event.ts";
import type { Excerpt } from "./timeline.ts";

/** Header line of an excerpt: its process and the range of events in memory. */
const header = z.object({
    timeline: z.literal(1),
    process: z.string().min(1).max(128),
    incarnation: z.string().max(128),
    after: z.int().nonnegative(),
    first: z.int().positive(),
    next: z.int().positive(),
    filtered: z.boolean(),
});

/** Thrown for a line of a record that is neither a header nor an event. */
export class RecordError extends Error {}

/** Writes an excerpt as lines of JSON: a header, then one line for each event. */
export function* writeRecord(excerpt: Excerpt): Generator<string> {
    const { events, ...rest } = excerpt;
    yield JSON.stringify({ timeline: 1, ...rest }) + "\n";
    for (const recorded of events) {
        yield JSON.stringify(recorded) + "\n";
    }
}

/**
 * Reads newline-delimited JSON, with or without headers and of any number of processes. A record without a header is
 * assumed to start at its first event. A truncated last line is ignored; any other malformed line throws
 * RecordError.
 */
export function readRecord(text: string): Excerpt[] {
    const lines = text.split("\n");
    const headers: z.infer<typeof header>[] = [];
    const events: TimelineEvent[] = [];
    lines.forEach((line, index) => {
        if (line.trim() === "") {
            return;
        }
        const value = parseLine(line, index, index === lines.length - 1);
        if (value === undefined) {
            return;
        }
        if (typeof value === "object" && value !== null && "timeline" in value) {
            headers.push(validate(header, value, index));
        }
        else {
            events.push(validate(event, value, index));
        }
    });
    return toExcerpts(headers, events);
}

function parseLine(line: string, index: number, last: boolean): unknown {
    try {
        return JSON.parse(line);
    }
    catch {
        if (last) {
            return undefined;
        }
        throw new RecordError(`line ${index + 1} is not JSON`);
    }
}

function validate<T>(schema: z.ZodType<T>, value: unknown, index: number): T {
    const result = schema.safeParse(value);
    if (!result.success) {
        throw new RecordError(`line ${index + 1}: ${z.prettifyError(result.error)}`);
    }
    return result.data;
}

function toExcerpts(headers: readonly z.infer<typeof header>[], events: readonly TimelineEvent[]): Excerpt[] {
    const groups = new Map<string, TimelineEvent[]>();
    const keyOf = (of: { process: string; incarnation: string; }) => `${of.process}/${of.incarnation}`;
    for (const recorded of events) {
        const group = groups.get(keyOf(recorded));
        if (group === undefined) {
            groups.set(keyOf(recorded), [recorded]);
        }
        else {
            group.push(recorded);
        }
    }
    const excerpts = headers.map(({ timeline: _, ...rest }) => {
        const processEvents = groups.get(keyOf(rest)) ?? [];
        groups.delete(keyOf(rest));
        return { ...rest, events: processEvents };
    });
    return [...excerpts, ...[...groups.values()].map(excerptWithoutHeader)];
}

function excerptWithoutHeader(events: readonly TimelineEvent[]): Excerpt {
    const numbers = events.map(recorded => recorded.sequence);
    const first = numbers.reduce((a, b) => Math.min(a, b));
    const next = numbers.reduce((a, b) => Math.max(a, b)) + 1;
    const { process, incarnation } = events[0]!;
    return { process, incarnation, after: first - 1, first, next, filtered: false, events };
}
