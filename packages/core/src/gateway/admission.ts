import type { Random } from "../clock.ts";

/** What is known when a program's first turn asks for admission. Times are in milliseconds. */
export interface AdmissionRequest {
    /** Calls for each place of the service, waiting ones included; undefined if unknown. */
    readonly occupancy: number | undefined;
    /** How much longer calls take now than those that nothing holds up. */
    readonly delay: number;
    /** Time of a call that nothing holds up. */
    readonly callTime: number;
    /** The time within which an answer of the service's most demanding route earns its full value. */
    readonly target: number;
    /** Priority of the route; 0 is the most urgent. */
    readonly priority: number;
}

/** A range of load: below it every program begins, above it none does, and within it a growing share is refused. */
interface Range {
    readonly from: number;
    readonly to: number;
}

/** Calls for each place: engines whose places decide. */
const occupancyRange: Range = { from: 1, to: 1.4 };
/** Delay as a share of what callers expect of a call: engines that slow down long before their places are taken. */
const delayRange: Range = { from: 0.5, to: 1.5 };
/** By each step of priority a range ends at a smaller load, so that less urgent programs are refused first. */
const priorityStep = 0.05;
const mostSteps = 2;
/** Bounds of the time after which a refused program comes back, in ms. */
const shortestReturn = 250;
const longestReturn = 1_000;

/**
 * Decides whether a program may begin. The load pattern it answers: a burst puts more programs into the engines than they
 * can carry, every turn waits, callers give up and ask again, and the engines stay full after the burst has ended. Programs
 * under way are not asked, so that they end and make room. Undefined if the program may begin, else the milliseconds after
 * which it should come back.
 */
export function refuseBeginning(request: AdmissionRequest, random: Random): number | undefined {
    const { occupancy = 0, delay, callTime, target, priority } = request;
    const strictness = 1 + priorityStep * Math.min(mostSteps, priority);
    const excess = Math.max(shareOf(occupancyRange, occupancy, strictness),
        shareOf(delayRange, delay / Math.max(callTime, target), strictness));
    if (random() >= excess) {
        return undefined;
    }
    // What waits now is expected to have begun by then; returns are spread so that they do not come together.
    const expected = Math.min(longestReturn, Math.max(shortestReturn, delay + callTime));
    return expected * (0.75 + random() * 0.5);
}

function shareOf({ from, to }: Range, load: number, strictness: number): number {
    return (load * strictness - from) / (to - from);
}
