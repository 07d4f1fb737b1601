import type { ServiceRoute } from "./route.ts";

/** What the time follows from for which a call waits for a place at an engine. Times are in milliseconds. */
export interface DispatchWaitBasis {
    readonly route: Pick<ServiceRoute, "streamed" | "targetLatency" | "callerPatience">;
    /** Turns of the program that came before. */
    readonly precedingTurns: number;
    /** Whether the call has been sent before. */
    readonly wasSent: boolean;
    readonly timeLeft: number;
}

/** Share of its target latency for which a first turn waits. The rest is for its prompt to be read. */
const firstTurnShare = 0.5;
/** Multiple of its target latency for which a later turn waits: refusing it would delay its whole program. */
const laterTurnFactor = 1.5;
/** A later turn waits at least for this share of its caller's patience. */
const patienceShare = 1 / 8;
const maxWaitShare = 1 / 2;
const maxWaitMs = 1_000;

/**
 * How long a call may wait for a place. A first turn that could not begin in time is better refused at once, as a later
 * attempt is worth more than a late answer.
 */
export function maxDispatchWait({ route, precedingTurns, wasSent, timeLeft }: DispatchWaitBasis): number {
    const longest = Math.max(0, Math.min(maxWaitMs, timeLeft * maxWaitShare));
    if (!route.streamed) {
        return longest;
    }
    return precedingTurns === 0 && !wasSent
        ? Math.min(longest, route.targetLatency * firstTurnShare)
        : Math.min(longest, Math.max(route.targetLatency * laterTurnFactor, route.callerPatience * patienceShare));
}
