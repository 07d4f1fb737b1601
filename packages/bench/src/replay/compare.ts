import type { Outcome } from "./file.ts";

/** The first difference between stated and actual outcomes as a line of text; undefined when they are the same. */
export function firstDifference(expected: readonly Outcome[], actual: readonly Outcome[]): string | undefined {
    for (let index = 0; index < Math.max(expected.length, actual.length); index += 1) {
        const [expectedText, actualText] = [formatOutcome(expected[index]), formatOutcome(actual[index])];
        if (expectedText !== actualText) {
            return `outcome ${index + 1}: stated ${expectedText}, but was ${actualText}`;
        }
    }
    return undefined;
}

function formatOutcome(outcome: Outcome | undefined): string {
    return outcome === undefined ? "nothing" : `${outcome.call} ${outcome.outcome} at ${outcome.atMs} ms`;
}
