import type { Outcome } from "./file.ts";

/** The first difference between stated and actual outcomes as a line of text; undefined when they are the same. */
export function firstDifference(stated: readonly Outcome[], actual: readonly Outcome[]): string | undefined {
    for (let index = 0; index < Math.max(stated.length, actual.length); index += 1) {
        const [expected, found] = [textOf(stated[index]), textOf(actual[index])];
        if (expected !== found) {
            return `outcome ${index + 1}: stated ${expected}, but was ${found}`;
        }
    }
    return undefined;
}

function textOf(outcome: Outcome | undefined): string {
    return outcome === undefined ? "nothing" : `${outcome.call} ${outcome.outcome} at ${outcome.atMs} ms`;
}
