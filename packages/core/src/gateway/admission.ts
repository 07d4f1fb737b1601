import type { Random } from "../clock.ts";
import type { RefusalCause } from "./retryDelay.ts";

/** Inputs to the admission decision for a program's first turn. Times are in milliseconds. */
export interface AdmissionRequest {
    /** Calls per slot of the service, including waiting calls; undefined if its upstreams do not report their load. */
    readonly occupancy: number | undefined;
    /** How far the recent latency of calls exceeds the baseline. */
    readonly excessLatency: number;
    /** Latency of a call without load. */
    readonly baselineLatency: number;
    /** The smallest target latency among the routes of the service. */
    readonly targetLatency: number;
    /** Priority of the route; 0 is the most urgent. */
    readonly priority: number;
}

/** A load range: below it all programs are admitted, above it none, and within it the refused share grows linearly. */
interface LoadRange {
    readonly from: number;
    readonly to: number;
}

/** Calls per slot. Limits engines whose capacity is bounded by their number of slots. */
const occupancyRange: LoadRange = { from: 1, to: 1.4 };
/**
 * Excess latency relative to the larger of baseline and target latency. Limits engines that slow down long before all
 * slots are in use.
 */
const excessLatencyRange: LoadRange = { from: 0.5, to: 1.5 };
/**
 * Excess latency counts only from this occupancy. Below it, the latency has other causes than the engines' load, such
 * as a busy gateway, new connections or a slow engine, and refusing programs would not shorten it.
 */
const minOccupancyForLatency = 0.5;
/** Each priority step raises the effective load by this share, so that less urgent programs are refused first. */
const loadFactorPerPriority = 0.05;
const maxPrioritySteps = 2;
/**
 * Decides whether a new program is admitted: returns undefined if it is, otherwise why it is refused. Without admission
 * control, a burst starts more programs than the engines can serve: every turn queues, callers time out and retry, and
 * the engines stay full after the burst has ended. Only first turns are checked, so that running programs finish and
 * free capacity.
 */
export function decideAdmission(request: AdmissionRequest, random: Random): RefusalCause | undefined {
    const { occupancy, excessLatency, baselineLatency, targetLatency, priority } = request;
    const loadFactor = 1 + loadFactorPerPriority * Math.min(maxPrioritySteps, priority);
    const relativeExcess = occupancy !== undefined && occupancy < minOccupancyForLatency
        ? 0
        : excessLatency / Math.max(baselineLatency, targetLatency);
    const refusalProbability = Math.max(positionInRange(occupancyRange, occupancy ?? 0, loadFactor),
        positionInRange(excessLatencyRange, relativeExcess, loadFactor));
    return random() < refusalProbability
        ? { kind: "enginesFull", expectedWait: excessLatency + baselineLatency }
        : undefined;
}

function positionInRange({ from, to }: LoadRange, load: number, loadFactor: number): number {
    return (load * loadFactor - from) / (to - from);
}
