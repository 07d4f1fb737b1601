import { type LogLine, parseLogLine } from "@tamarackgauge/gateway";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/** A line that no gateway wrote. */
export interface BadLine {
    readonly source: string;
    readonly number: number;
}

/** What was read besides log lines. */
export interface ReadSummary {
    readonly badLines: number;
    /** The first of them. */
    readonly examples: readonly BadLine[];
    /** Files that could not be read, or not to their end, with the reason. */
    readonly unreadable: readonly { readonly source: string; readonly reason: string; }[];
}

const maxExamples = 5;

/**
 * Reads log files and passes their lines on in the order of time, with one line of each file in memory. Lines within a
 * file are expected to be in order already. Lines that cannot be parsed are counted and skipped.
 */
export async function readLogs(sources: readonly (string | number)[],
    receive: (line: LogLine) => void): Promise<ReadSummary> {
    let badLines = 0;
    const examples: BadLine[] = [];
    const unreadable: { source: string; reason: string; }[] = [];

    async function* linesOf(source: string | number): AsyncGenerator<LogLine> {
        const name = source === standardInput ? "standard input" : String(source);
        const input = typeof source === "number"
            ? createReadStream("", { fd: source, autoClose: false })
            : createReadStream(source);
        let number = 0;
        try {
            for await (const text of createInterface({ input, crlfDelay: Infinity })) {
                number += 1;
                const line = parseLogLine(text);
                if (line !== undefined) {
                    yield line;
                }
                else if (text.trim() !== "") {
                    badLines += 1;
                    examples.push(...examples.length < maxExamples ? [{ source: name, number }] : []);
                }
            }
        }
        catch (error) {
            unreadable.push({ source: name, reason: (error as Error).message });
        }
    }

    await mergeByTime(sources.map(linesOf), receive);
    return { badLines, examples, unreadable };
}

/** File descriptor of the standard input. */
export const standardInput = 0;

async function mergeByTime(streams: readonly AsyncGenerator<LogLine>[],
    receive: (line: LogLine) => void): Promise<void> {
    const heads = (await Promise.all(streams.map(async stream => ({ stream, next: await stream.next() }))))
        .filter(({ next }) => next.done !== true);
    while (heads.length > 0) {
        const earliest = heads.reduce((best, head) => timeOf(head.next) < timeOf(best.next) ? head : best);
        receive(earliest.next.value as LogLine);
        earliest.next = await earliest.stream.next();
        if (earliest.next.done === true) {
            heads.splice(heads.indexOf(earliest), 1);
        }
    }
}

function timeOf({ value }: IteratorResult<LogLine>): number {
    return (value as LogLine).time;
}
