import type { Random } from "../clock.ts";

/** What is known when a program's first turn asks for admission. Times are in milliseconds. */
export interface AdmissionRequest {
    /** Calls for each place of the service, waiting ones included; undefined if unknown. */
    readonly occupancy: number | undefined;
    /** How much longer calls take now than those that nothing holds up. */
    readonly excessLatency: number;
    /** Time of a call that nothing holds up. */
    readonly baselineLatency: number;
    /** The time within which an answer of the service's most demanding route earns its full value. */
    readonly targetLatency: number;
    /** Priority of the route; 0 is the most urgent. */
    readonly priority: number;
}

/** A range of load: below it every program begins, above it none does, and within it a growing share is refused. */
interface LoadRange {
    readonly from: number;
    readonly to: number;
}

/** Calls for each place: engines whose places decide. */
const occupancyRange: LoadRange = { from: 1, to: 1.4 };
/** Delay as a share of what callers expect of a call: engines that slow down long before their places are taken. */
const excessLatencyRange: LoadRange = { from: 0.5, to: 1.5 };
/** By each step of priority a range ends at a smaller load, so that less urgent programs are refused first. */
const loadFactorPerPriority = 0.05;
const maxPrioritySteps = 2;
/** Bounds of the time after which a refused program comes back, in ms. */
const minRetryDelayMs = 250;
const maxRetryDelayMs = 1_000;

/**
 * Decides whether a program may begin. The load pattern it answers: a burst puts more programs into the engines than they
 * can carry, every turn waits, callers give up and ask again, and the engines stay full after the burst has ended. Programs
 * under way are not asked, so that they end and make room. Undefined if the program may begin, else the milliseconds after
 * which it should come back.
 */
export function decideAdmission(request: AdmissionRequest, random: Random): number | undefined {
    const { occupancy = 0, excessLatency, baselineLatency, targetLatency, priority } = request;
    const loadFactor = 1 + loadFactorPerPriority * Math.min(maxPrioritySteps, priority);
    const refusalProbability = Math.max(positionInRange(occupancyRange, occupancy, loadFactor),
        positionInRange(excessLatencyRange, excessLatency / Math.max(baselineLatency, targetLatency), loadFactor));
    if (random() >= refusalProbability) {
        return undefined;
    }
    // What waits now is expected to have begun by then; returns are spread so that they do not come together.
    const retryDelay = Math.min(maxRetryDelayMs, Math.max(minRetryDelayMs, excessLatency + baselineLatency));
    return retryDelay * (0.75 + random() * 0.5);
}

function positionInRange({ from, to }: LoadRange, load: number, loadFactor: number): number {
    return (load * loadFactor - from) / (to - from);
}
