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

/** Timeout of a call at its arrival, in ms: the smaller of the caller's deadline and the route's timeout. */
export function effectiveTimeout(route: ServiceRoute, deadline: number | undefined): number {
    return Math.min(route.timeout, deadline ?? Infinity);
}
