import type { Execution, ServiceRoute } from "./route.ts";

/** Why an attempt to send a call to an upstream gave no answer for the caller. */
export type AttemptFailure =
    /** The upstream was not reached, or it reported that it did not run the call. */
    | "notRun"
    /** The call was sent, and it is unknown whether it ran. */
    | "unknown"
    /** The upstream answered with a failure. */
    | "failed";

/** What to do after a failed attempt. */
export type NextStep = "sendAgain" | "giveUp";

/** Decides whether a call is sent again. A call that may run at most once is sent again only if it did not run. */
export function nextStep(execution: Execution, failure: AttemptFailure, sends: number, maxSends: number): NextStep {
    const allowed = failure === "notRun" || execution === "repeatable";
    return allowed && sends < maxSends ? "sendAgain" : "giveUp";
}

/** What the timeout of an attempt to get an answer follows from. Times are in milliseconds. */
export interface AnswerTimeoutBasis {
    readonly targetLatency: number;
    /** Latency that few recent calls of the service have exceeded. */
    readonly highLatency: number;
    /** Processing time at the upstream now, relative to normal. */
    readonly slowness: number;
    /** Earlier attempts of the call that ended without an answer in time. */
    readonly timeouts: number;
    readonly timeLeft: number;
}

const minAnswerTimeoutMs = 150;
/** An attempt lasts at least this multiple of the route's target latency. */
const targetLatencyFactor = 4;
/** An attempt lasts at least this multiple of the service's high latency. */
const highLatencyFactor = 1.5;

/**
 * Time after which a repeatable call without an answer is sent to another upstream; undefined if the attempt keeps all
 * the time that is left. The first attempt leaves half of the time for a further one, unless the service is seen to need
 * more. Each further attempt lasts twice as long, and the last one as long as there is time: a stalled upstream is left
 * early, and one that is slow but sound is not given up for another one that is as slow.
 */
export function answerTimeout(basis: AnswerTimeoutBasis): number | undefined {
    const { targetLatency, highLatency, slowness, timeouts, timeLeft } = basis;
    const neededTime = highLatency * highLatencyFactor * slowness;
    const first = Math.max(minAnswerTimeoutMs, targetLatency * targetLatencyFactor, neededTime);
    const timeout = timeouts === 0
        ? Math.max(neededTime, Math.min(first, timeLeft / 2))
        : first * 2 ** timeouts;
    return timeLeft < timeout * 2 ? undefined : timeout;
}

/** Timeout of a call at its arrival, in ms: the smaller of the caller's deadline and the route's timeout. */
export function effectiveTimeout(route: ServiceRoute, deadline: number | undefined): number {
    return Math.min(route.timeout, deadline ?? Infinity);
}
