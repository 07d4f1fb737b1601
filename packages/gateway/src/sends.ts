import { type AttemptFailure, type Declaration, hash, nextStep, pickService,
    type SelectionCriteria } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import { type Attempt, type AttemptEnd, type FailedAttempt, startAttempt } from "./attempt.ts";
import type { WholeAnswer } from "./callerAnswer.ts";
import type { MemoryLimits } from "./limits.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { ReceivedCall, SendPlan } from "./sendPlan.ts";
import type { Upstream, Upstreams } from "./upstreams.ts";

/** How the sends of a call ended. */
export type SendResult =
    | { readonly kind: "answer"; readonly answer: WholeAnswer; readonly upstream: string; }
    | { readonly kind: "streamed"; readonly upstream: string; }
    | { readonly kind: "failed"; readonly failure: AttemptFailure; readonly reason: string;
        readonly answer?: WholeAnswer; }
    | { readonly kind: "cancelled"; readonly sent: boolean; };

/** Parts that sends need. */
export interface SendParts {
    readonly upstreams: Upstreams;
    readonly declaration: () => Declaration | undefined;
    readonly limits: MemoryLimits;
    readonly dataCentre: string;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** Sends a call to upstreams until one has answered or no further send is allowed. */
export interface Sends {
    readonly result: Promise<SendResult>;
    /** Stops the upstream's work on the call; the result becomes `cancelled`. */
    cancel(reason: CancelReason): void;
}

/** `left`: the caller has gone. `late`: the time limit was reached, which may be the upstream's fault. */
export type CancelReason = "left" | "late";

/** How often one call is sent at most, to the same upstream again included. */
const maxSends = 4;
/**
 * The same where the upstream had no room: a service that has lost most of its upstreams has a queue of some hundred
 * milliseconds, and a tool call that is refused ends its program.
 */
const maxSendsIfFull = 9;
/** Pause before an upstream that had no room is asked again, in ms; it grows with each send. */
const fullRetryDelayMs = 15;

/** Starts to send a call. */
export function startSends({ upstreams, declaration, limits, dataCentre, metrics, log, now }: SendParts,
    plan: SendPlan): Sends {
    const { call } = plan;
    const { route, head } = call;
    const tried = new Set<string>();
    const reachedIds = new Set<string>();
    // Once a send's fate is unknown, no later refusal may say that the call has not run.
    let worstFailure: AttemptFailure = "notRun";
    let current: Attempt | undefined;
    let cancelled: CancelReason | undefined;
    let sentAtCancel = false;

    async function run(): Promise<SendResult> {
        let lastFailure: FailedAttempt | undefined;
        for (let sends = 1; cancelled === undefined; sends += 1) {
            const upstream = pick();
            if (upstream === undefined) {
                break;
            }
            const end = await attempt(upstream);
            if (cancelled !== undefined) {
                break;
            }
            if (end.kind !== "failure") {
                return { ...end, upstream: upstream.state.entry.id };
            }
            log.warn("send.failed", { call: head.id, program: head.program, upstream: upstream.state.entry.id,
                failure: end.failure, reason: end.reason, sends,
                calls: Math.round(upstream.state.estimatedCalls(now())) });
            lastFailure = end;
            worstFailure = end.failure === "notRun" ? worstFailure : end.failure;
            tried.add(upstream.state.entry.id);
            if (nextStep(route.execution, end.failure, sends, wasRejected(end) ? maxSendsIfFull : maxSends) ===
                    "giveUp" ||
                now() >= call.deadlineAt) {
                break;
            }
            if (wasRejected(end)) {
                await sleep(fullRetryDelayMs * sends);
            }
        }
        if (cancelled !== undefined) {
            return { kind: "cancelled", sent: sentAtCancel || worstFailure !== "notRun" };
        }
        return { kind: "failed", failure: worstFailure, reason: lastFailure?.reason ?? "no upstream takes calls",
            ...lastFailure?.answer === undefined ? {} : { answer: lastFailure.answer } };
    }

    function pick(): Upstream | undefined {
        const service = serviceOf(call, declaration());
        const exhausted = reachedIds.size >= route.maxUpstreams;
        const criteria: SelectionCriteria = { parts: head.parts, promptTokens: head.promptTokens, dataCentre,
            tried: exhausted ? new Set() : tried, preferred: plan.preferred };
        if (!exhausted) {
            return upstreams.choose(service, criteria) ?? pickReached();
        }
        return pickReached();
    }

    /** An upstream that had the call before may get it again: it does not count as a further one. */
    function pickReached(): Upstream | undefined {
        return [...reachedIds]
            .map(id => upstreams.find(id))
            .find(upstream => upstream !== undefined && !upstream.state.entry.draining);
    }

    async function attempt(upstream: Upstream): Promise<AttemptEnd> {
        const { state } = upstream;
        current = startAttempt(upstream, plan, limits, now);
        const end = await current.end;
        if (end.kind !== "failure" || !end.unreachable) {
            reachedIds.add(state.entry.id);
        }
        current = undefined;
        metrics.sendEnded(state.entry.service, end.kind === "failure" ? end.failure : "answered");
        if (end.kind !== "failure") {
            state.recordSuccess();
        }
        else if (cancelled !== "left" && (end.failure !== "notRun" || end.unreachable)) {
            state.recordFailure(now());
        }
        return end;
    }

    function cancel(reason: CancelReason): void {
        cancelled = reason;
        sentAtCancel = current?.wasSent() === true;
        current?.cancel();
    }

    return { result: run(), cancel };
}

/** The service of a call. The same program always goes to the same one while its route stays as it is. */
export function serviceOf({ route, head }: Pick<ReceivedCall, "route" | "head">, declaration: Declaration | undefined) {
    // The route may have been declared anew while the call waited.
    const currentRoute = declaration?.routes.find(({ name }) => name === route.name) ?? route;
    return pickService(currentRoute, hash(head.program ?? head.id) / 2 ** 32);
}

/** The upstream was reached and did not take the call. */
function wasRejected({ failure, unreachable }: FailedAttempt): boolean {
    return failure === "notRun" && !unreachable;
}
