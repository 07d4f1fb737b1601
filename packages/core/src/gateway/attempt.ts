import type { Execution, ServiceRoute } from "./route.ts";

/** How sending a call to an upstream ended without an answer for the caller. */
export type AttemptFailure =
    /** The upstream was never reached, or said that it did not run the call. */
    | "notRun"
    /** The call was sent and its fate is unknown. */
    | "unknown"
    /** The upstream answered that it failed. */
    | "failed";

/** What is done after a failed attempt. */
export type NextStep = "sendAgain" | "giveUp";

/** Decides whether a call may be sent again. A call that runs at most once is sent again only if it has not run. */
export function nextStep(execution: Execution, failure: AttemptFailure, sends: number, maxSends: number): NextStep {
    const allowed = failure === "notRun" || execution === "repeatable";
    return allowed && sends < maxSends ? "sendAgain" : "giveUp";
}

/** The milliseconds that are left of a call at its arrival: the caller's and the operator's limit both hold. */
export function effectiveTimeout(route: ServiceRoute, deadline: number | undefined): number {
    return Math.min(route.timeout, deadline ?? Infinity);
}
