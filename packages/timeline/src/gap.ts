import type { Excerpt } from "./timeline.ts";

/** A range of sequence numbers, both ends included. */
export interface Range {
    readonly from: number;
    readonly to: number;
}

/**
 * The events of one process that were requested but are missing, as ranges of sequence numbers. In an excerpt of one
 * program only the overwritten events count; how many of them belonged to the program is not known.
 */
export function lostRanges(excerpts: readonly Excerpt[], present: readonly number[]): Range[] {
    const requested = mergeRanges(excerpts.map(({ after, first, next, filtered }) => ({
        from: after + 1,
        to: filtered ? first - 1 : next - 1,
    })));
    return requested.flatMap(range => subtractNumbers(range, present));
}

function mergeRanges(ranges: readonly Range[]): Range[] {
    const result: Range[] = [];
    for (const range of ranges.filter(({ from, to }) => from <= to).sort((a, b) => a.from - b.from)) {
        const last = result.at(-1);
        if (last !== undefined && range.from <= last.to + 1) {
            result[result.length - 1] = { from: last.from, to: Math.max(last.to, range.to) };
        }
        else {
            result.push(range);
        }
    }
    return result;
}

/** The parts of a range that remain without the given ascending numbers. */
function subtractNumbers(range: Range, present: readonly number[]): Range[] {
    const result: Range[] = [];
    let from = range.from;
    for (const number of present) {
        if (number < from) {
            continue;
        }
        if (number > range.to) {
            break;
        }
        if (number > from) {
            result.push({ from, to: number - 1 });
        }
        from = number + 1;
    }
    if (from <= range.to) {
        result.push({ from, to: range.to });
    }
    return result;
}
