import type { CallHead } from "./call.ts";

/** Parts of the prompt of a program's first turn: what programs share, and its own input. */
const firstTurnParts = 2;

/** Whether a turn is the first of its program. Where callers send the whole history, later turns have more parts. */
export function isFirstTurn({ previousTurn, parts }: Pick<CallHead, "previousTurn" | "parts">): boolean {
    return previousTurn === undefined && parts.length <= firstTurnParts;
}

/** How many turns of its program a turn follows, as far as can be told. */
export function countPrecedingTurns(head: Pick<CallHead, "previousTurn" | "parts">, knownTurns: number): number {
    const turnsByParts = Math.max(0, head.parts.length - firstTurnParts);
    return Math.max(knownTurns, turnsByParts, isFirstTurn(head) ? 0 : 1);
}

/** Engine priorities, from 0, the most urgent, of the first turns of the routes by their own priority, 0, 1, and any other. */
const firstTurnPriorities = [3, 6, 9];
/** Engine priorities of a route: the first turn, the second, and so on; the last one is that of all later turns. */
const priorityLevels = [4, 3, 3];

/**
 * The priority of a turn in an engine's queue. The load pattern it answers: in a burst all turns wait, and programs that are
 * nearly done end too late behind those that have just begun, so that what they had read and generated is lost. The more
 * turns a program has behind it, the sooner its next one runs. A turn of a more urgent route always goes first.
 */
export function turnPriority(routePriority: number, precedingTurns: number): number {
    const routeClass = Math.floor(Math.min(firstTurnPriorities.length - 1, Math.max(0, routePriority)));
    return firstTurnPriorities[routeClass]! - Math.min(priorityLevels[routeClass]! - 1, precedingTurns);
}
