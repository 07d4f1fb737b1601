import type { ServiceRoute } from "./route.ts";

/** What the time follows from for which a call waits for a permit. Times are in milliseconds. */
export interface PermitWaitBasis {
    readonly route: Pick<ServiceRoute, "streamed" | "callerPatience" | "priority">;
    /** Turns of the program that came before. */
    readonly precedingTurns: number;
    /** Latency that few recent calls of the service have exceeded. */
    readonly highLatency: number;
    readonly timeLeft: number;
}

/** Share of its time for which a first turn waits. Each preceding turn adds as much. */
const turnWaitShare = 1 / 16;
const maxTurnWaitShare = 1 / 4;
/** A call that is not streamed waits as long as it can still be answered in time, but at most for this share of its time. */
const maxCallWaitShare = 1 / 2;
/** Permits are not granted further ahead, as limits change and callers leave. */
const maxCallWaitMs = 1_000;

/**
 * How long a call waits for a permit if its upstream has a rate limit. Permits that are free later are granted only to
 * calls that wait that long, so that turns of programs under way, and of urgent routes, go before first turns, which are
 * refused at once while the others wait.
 */
export function maxPermitDelay({ route, precedingTurns, highLatency, timeLeft }: PermitWaitBasis): number {
    if (!route.streamed) {
        return Math.max(0, Math.min(maxCallWaitMs, timeLeft - highLatency, timeLeft * maxCallWaitShare));
    }
    const share = Math.min(maxTurnWaitShare, (precedingTurns + 1) * turnWaitShare) / (1 + Math.max(0, route.priority));
    return Math.max(0, Math.min(timeLeft, route.callerPatience) * share);
}
