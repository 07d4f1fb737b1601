import type { Outcome } from "./file.ts";

/** Describes the first difference between expected and actual outcomes; undefined if there is none. */
export function firstDifference(expected: readonly Outcome[], actual: readonly Outcome[]): string | undefined {
    for (let index = 0; index < Math.max(expected.length, actual.length); index += 1) {
        const [expectedText, actualText] = [formatOutcome(expected[index]), formatOutcome(actual[index])];
        if (expectedText !== actualText) {
            return `outcome ${index + 1}: expected ${expectedText}, but was ${actualText}`;
        }
    }
    return undefined;
}

function formatOutcome(outcome: Outcome | undefined): string {
    return outcome === undefined ? "nothing" : `${outcome.call} ${outcome.outcome} at ${outcome.atMs} ms`;
}
