import type { Random } from "../clock.ts";

/** Mean interval between probes of an unavailable store, and the same while calls wait for it. */
const probeIntervalMs = 250;
const urgentProbeIntervalMs = 100;

/** Milliseconds until the next probe. The jitter keeps gateways that lost the store together from probing together. */
export function probeDelay(callsWait: boolean, random: Random): number {
    return (callsWait ? urgentProbeIntervalMs : probeIntervalMs) * (0.5 + random());
}

/** Whether an outage is expected to end within `time`: it is expected to last as long again as it has lasted so far. */
export function outageEndsWithin(time: number, outageAge: number): boolean {
    return outageAge <= time;
}

/** Share of the caller's patience after which a waiting call is refused; the rest is for serving it. */
const patienceShare = 0.85;
/** Share of the time left that a call may wait. Its caller then has time for another attempt elsewhere. */
const timeLeftShare = 0.45;

/** How long the caller of a call will wait for the first byte of its answer, in ms from now. */
export interface CallerTime {
    /** Until the caller's deadline or the route's timeout. */
    readonly timeLeft: number;
    /** How long a caller of the route waits without an answer before it abandons the attempt. */
    readonly patience: number;
}

/**
 * How long a call waits for something that it cannot run without and that is expected back, such as the store. Callers
 * try only a few times; a refused try is used up within milliseconds, whereas a waiting call is served as soon as the
 * cause has ended. The wait ends before the caller gives up, so that the caller learns that the call has not run.
 */
export function maxWait({ timeLeft, patience }: CallerTime): number {
    return Math.max(0, Math.min(patience * patienceShare, timeLeft * timeLeftShare));
}
