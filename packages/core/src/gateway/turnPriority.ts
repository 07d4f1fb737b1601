import type { CallHead } from "./call.ts";

/** Parts of the prompt of a program's first turn: what programs share, and its own input. */
const partsOfFirstTurn = 2;

/** Whether a turn is the first of its program. Where callers send the whole history, later turns have more parts. */
export function beginsProgram({ previousTurn, parts }: Pick<CallHead, "previousTurn" | "parts">): boolean {
    return previousTurn === undefined && parts.length <= partsOfFirstTurn;
}

/** How many turns of its program a turn follows, as far as can be told. */
export function turnsBefore(head: Pick<CallHead, "previousTurn" | "parts">, knownTurns: number): number {
    const told = Math.max(0, head.parts.length - partsOfFirstTurn);
    return Math.max(knownTurns, told, beginsProgram(head) ? 0 : 1);
}

/** Engine priorities, from 0, the most urgent, of the first turns of the routes by their own priority, 0, 1, and any other. */
const firstTurns = [3, 6, 9];
/** Engine priorities of a route: the first turn, the second, and so on; the last one is that of all later turns. */
const stepsOfRoute = [4, 3, 3];

/**
 * The priority of a turn in an engine's queue. The load pattern it answers: in a burst all turns wait, and programs that are
 * nearly done end too late behind those that have just begun, so that what they had read and generated is lost. The more
 * turns a program has behind it, the sooner its next one runs. A turn of a more urgent route always goes first.
 */
export function turnPriority(routePriority: number, turns: number): number {
    const route = Math.floor(Math.min(firstTurns.length - 1, Math.max(0, routePriority)));
    return firstTurns[route]! - Math.min(stepsOfRoute[route]! - 1, turns);
}
