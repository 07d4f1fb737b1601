import type { CallHead } from "./call.ts";

/** Number of prompt parts of a first turn: the part shared between programs, and the program's own input. */
const firstTurnParts = 2;

/** Whether a turn is the first of its program. If callers send the whole history, later turns have more parts. */
export function isFirstTurn({ previousTurn, parts }: Pick<CallHead, "previousTurn" | "parts">): boolean {
    return previousTurn === undefined && parts.length <= firstTurnParts;
}

/** Number of earlier turns of the program, as far as known. */
export function countPrecedingTurns(head: Pick<CallHead, "previousTurn" | "parts">, knownTurns: number): number {
    const turnsByParts = Math.max(0, head.parts.length - firstTurnParts);
    return Math.max(knownTurns, turnsByParts, isFirstTurn(head) ? 0 : 1);
}

/** Engine priorities (0 is the most urgent) of first turns, by route priority: 0, 1, and all others. */
const firstTurnPriorities = [3, 6, 9];
/** Number of engine priorities per route class. Each later turn is one level more urgent, up to that number. */
const priorityLevels = [4, 3, 3];

/**
 * Priority of a turn in an engine's queue. The more turns a program has completed, the sooner its next turn runs: in a
 * burst all turns queue, and nearly finished programs would otherwise end too late behind new ones, which wastes the
 * prefill and generation already done for them. Turns of a more urgent route always run first.
 */
export function turnPriority(routePriority: number, precedingTurns: number): number {
    const routeClass = Math.floor(Math.min(firstTurnPriorities.length - 1, Math.max(0, routePriority)));
    return firstTurnPriorities[routeClass]! - Math.min(priorityLevels[routeClass]! - 1, precedingTurns);
}
