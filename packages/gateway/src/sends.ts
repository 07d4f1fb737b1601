import { type AttemptFailure, type Declaration, type EngineOutcome, hash, incarnationOf, maxDispatchWait,
    maxPermitDelay, nextStep, pickService, type RateLimitStatement, type RecentPrograms, type RefusalCause, scopedId,
    type SelectionCriteria, type ServiceRoute } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import { type Attempt, type AttemptEnd, type FailedAttempt, startAttempt } from "./attempt.ts";
import type { UpstreamAnswer } from "./callerAnswer.ts";
import type { Dispatch, Placement, PlacementRequest } from "./dispatch.ts";
import { retireLeavingUpstream } from "./leavingUpstream.ts";
import type { MemoryLimits } from "./limits.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { RateLimits } from "./rateLimits.ts";
import type { ReceivedCall, SendPlan } from "./sendPlan.ts";
import type { UsedConnections } from "./upstreamClient.ts";
import type { ChosenUpstream, Upstream, Upstreams } from "./upstreams.ts";

/** Result of sending a call, after its last attempt. */
export type SendResult =
    | { readonly kind: "answer"; readonly answer: UpstreamAnswer; readonly upstream: string; }
    | { readonly kind: "streamed"; readonly upstream: string; }
    | { readonly kind: "failed"; readonly failure: AttemptFailure; readonly reason: string;
        readonly answer?: UpstreamAnswer; /** Why no upstream takes the call, if it has not run. */
        readonly cause: RefusalCause; }
    | { readonly kind: "cancelled"; readonly sent: boolean; };

/** Dependencies of the sends. */
export interface SendParts {
    readonly upstreams: Upstreams;
    readonly rateLimits: RateLimits;
    readonly dispatch: Dispatch;
    readonly recentPrograms: RecentPrograms;
    readonly declaration: () => Declaration | undefined;
    readonly limits: MemoryLimits;
    readonly dataCentre: string;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** The attempts to send one call, made until an upstream answers or no further attempt is allowed. */
export interface Sends {
    readonly result: Promise<SendResult>;
    /** Aborts the current attempt, so that the upstream stops working on the call; the result is `cancelled`. */
    cancel(reason: CancelReason): void;
    /** How long the call has waited for permits to send to upstreams with a rate limit, in ms. */
    permitWait(): number;
    /** How long the call has waited for the dispatcher's decisions, in ms. */
    placeWait(): number;
}

/** `left`: the caller disconnected. `late`: the call timed out, which may be the upstream's fault. */
export type CancelReason = "left" | "late";

/** Maximum number of attempts for one call, including repeated attempts at the same upstream. */
const maxSends = 4;
/**
 * Maximum number of attempts if the upstream rejected the call for lack of capacity. It is higher because a service
 * that has lost most of its upstreams has a queue of some hundred milliseconds, and a refused tool call ends its
 * program.
 */
const maxSendsIfFull = 9;
/** Delay before the next attempt after an upstream rejected the call, multiplied by the number of attempts so far. */
const fullRetryDelayMs = 15;
/** Maximum number of permits that are asked for before an attempt. */
const maxPermitRequests = 4;
/** Limit of the wait for a permit that leaves out all upstreams with a rate limit. */
const noLimitedUpstream = -1;

/** The dispatcher is told only of as many prompt parts, and of ids of this length. The tokens of all others count as read anew. */
const maxPlacedParts = 64;
const maxPlacedIdLength = 64;

/** An upstream to which a call may be sent now. */
interface PermittedUpstream {
    readonly upstream: Upstream;
    /** Undefined if this gateway has chosen the upstream alone. */
    readonly placement: Placement | undefined;
}

/** Starts sending a call. */
export function startSends(
    parts: SendParts,
    plan: SendPlan,
): Sends {
    const { upstreams, rateLimits, dispatch, declaration, limits, dataCentre, metrics, log, now } = parts;
    const { call } = plan;
    const { route, head } = call;
    const tried = new Set<string>();
    const reachedIds = new Set<string>();
    const usedConnections: UsedConnections = new WeakSet();
    // Once the outcome of an attempt is unknown, a later rejection must not report that the call has not run.
    let worstFailure: AttemptFailure = "notRun";
    let timeouts = 0;
    let overload: RefusalCause | undefined;
    /** Why the call got no other credit after it had waited longer than the first one lasts. */
    let quotaRefusal: RefusalCause | undefined;
    let current: Attempt | undefined;
    let cancelled: CancelReason | undefined;
    const cancellation = new AbortController();
    let sentAtCancel = false;
    let permitWait = 0;
    let placeWait = 0;
    /** Whether no further attempt was made because no upstream had a permit in time. */
    let permitMissing = false;
    /** Whether no further attempt was made because no upstream can be reached from here. */
    let stranded = false;

    async function run(): Promise<SendResult> {
        let lastFailure: FailedAttempt | undefined;
        for (let sends = 1; cancelled === undefined; sends += 1) {
            const picked = await pickPermitted();
            if (picked === undefined) {
                permitMissing = upstreams.permitDelay(serviceOf(call, declaration())) !== undefined;
                break;
            }
            const { upstream } = picked;
            const acquired = plan.credit.acquire();
            quotaRefusal = acquired instanceof Promise ? await acquired : acquired;
            if (quotaRefusal !== undefined || cancelled !== undefined) {
                picked.placement?.release("unused");
                break;
            }
            plan.credit.use();
            const end = await attempt(picked);
            if (cancelled !== undefined) {
                break;
            }
            if (end.kind !== "failure") {
                return { ...end, upstream: upstream.state.entry.id };
            }
            log.warn("send.failed", { call: head.id, program: head.program, upstream: upstream.state.entry.id,
                failure: end.failure, reason: end.reason, sends, ...end.received,
                calls: Math.round(upstream.state.estimatedCalls(now())) });
            timeouts += end.timedOut === true ? 1 : 0;
            lastFailure = end;
            worstFailure = end.failure === "notRun" ? worstFailure : end.failure;
            tried.add(upstream.state.entry.id);
            if (end.unreachable && upstreams.paths.isStranded()) {
                stranded = true;
                break;
            }
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
            cause: refusalCause(), ...lastFailure?.answer === undefined ? {} : { answer: lastFailure.answer } };
    }

    /** Picks an upstream to which the call may be sent now. Those that take no request in time are left out. */
    async function pickPermitted(): Promise<PermittedUpstream | undefined> {
        const placed = await pickPlaced();
        if (placed !== "alone") {
            return placed;
        }
        for (let requests = 0; cancelled === undefined && requests <= maxPermitRequests; requests += 1) {
            const choice = pick(requests < maxPermitRequests);
            if (choice === undefined) {
                return undefined;
            }
            const { upstream } = choice;
            if (isRefusedForOverload(upstream)) {
                return undefined;
            }
            if (await acquirePermit(choice)) {
                return { upstream, placement: undefined };
            }
        }
        return undefined;
    }

    /**
     * Picks the upstream that the dispatcher says. Undefined if there is no place for the call; "alone" if this gateway has to
     * choose by itself.
     */
    async function pickPlaced(): Promise<PermittedUpstream | "alone" | undefined> {
        const excluded: string[] = [];
        while (cancelled === undefined && excluded.length < maxPermitRequests) {
            const service = serviceOf(call, declaration());
            const askedAt = now();
            const answer = await dispatch.place(placementRequest(service, excluded), cancellation.signal);
            placeWait += now() - askedAt;
            if (answer === undefined) {
                return "alone";
            }
            if (answer.kind === "refused" && reachedIds.size > 0) {
                // Its answer may have begun, so that it is better sent to a full engine than given up.
                return "alone";
            }
            if (answer.kind !== "placed") {
                overload = answer.kind === "refused" ? answer.cause : undefined;
                return undefined;
            }
            const upstream = await usePlacement(answer, service);
            if (upstream !== undefined) {
                return { upstream, placement: answer };
            }
            excluded.push(answer.upstream);
        }
        return "alone";
    }

    /** Returns the upstream of a placement; if the call cannot be sent to it now, releases the placement. */
    async function usePlacement(placement: Placement, service: string): Promise<Upstream | undefined> {
        const upstream = upstreams.find(placement.upstream);
        if (upstream === undefined || !isOfIncarnation(upstream, placement.incarnation)) {
            placement.release("unused");
            return undefined;
        }
        if (upstream.state.isLeaving()) {
            placement.release(upstream.state.hasAnnouncedLeaving() ? "leaving" : "unused");
            return undefined;
        }
        if (await acquirePermit({ upstream, maxPermitDelay: permitDelayLimit(service) })) {
            if (cancelled === undefined) {
                return upstream;
            }
            placement.release("unused");
            return undefined;
        }
        placement.release(cancelled === undefined ? "limited" : "unused");
        return undefined;
    }

    function placementRequest(service: string, excluded: readonly string[]): PlacementRequest {
        const timeLeft = Math.max(0, call.deadlineAt - now());
        const { precedingTurns, preferred } = plan;
        const isExhausted = reachedIds.size >= route.maxUpstreams;
        return { service, parts: placedParts(), promptTokens: head.promptTokens, maxTokens: head.maxTokens, dataCentre,
            tried: isExhausted ? [] : [...tried], excluded, ...isExhausted ? { only: [...reachedIds] } : {},
            ...preferred === undefined ? {} : { preferred }, priority: route.priority, precedingTurns,
            wasSent: reachedIds.size > 0, team: call.team?.name ?? "",
            ...head.program === undefined ? {} : { program: hash(scopedId(call.scope, head.program)) },
            maxWait: maxDispatchWait({ route, precedingTurns, wasSent: reachedIds.size > 0, timeLeft }), timeLeft };
    }

    function placedParts() {
        const end = head.parts.findIndex(({ id }) => id.length > maxPlacedIdLength);
        return head.parts.slice(0, Math.min(maxPlacedParts, end < 0 ? Infinity : end));
    }

    async function acquirePermit({ upstream, maxPermitDelay: maxDelay }: ChosenUpstream): Promise<boolean> {
        const askedAt = now();
        const isPermitted = await rateLimits.acquire(upstream.state, maxDelay, cancellation.signal);
        permitWait += now() - askedAt;
        return isPermitted;
    }

    /** An upstream without a limit takes a new program only if it is not overloaded. */
    function isRefusedForOverload({ state }: Upstream): boolean {
        const isAdmitted = reachedIds.size > 0 || state.rateLimit.isInForce() ||
            (plan.isAdmitted && upstreams.permitDelay(state.entry.service) === undefined);
        overload = isAdmitted ? undefined : plan.overload();
        return overload !== undefined;
    }

    function refusalCause(): RefusalCause {
        if (overload !== undefined || quotaRefusal !== undefined) {
            return overload ?? quotaRefusal!;
        }
        if (stranded) {
            return { kind: "upstreamsUnreachable" };
        }
        const expectedWait = permitMissing ? upstreams.permitDelay(serviceOf(call, declaration())) : undefined;
        return expectedWait === undefined ? { kind: "upstreamsFull" } : { kind: "rateLimited", expectedWait };
    }

    /** How long the call can wait for a permit now. */
    function permitDelayLimit(service: string): number {
        return maxPermitDelay({ route, precedingTurns: plan.precedingTurns,
            highLatency: upstreams.estimate(service).highLatency, timeLeft: call.deadlineAt - now() });
    }

    function pick(mayNeedPermit: boolean): ChosenUpstream | undefined {
        const service = serviceOf(call, declaration());
        const maxDelay = mayNeedPermit ? permitDelayLimit(service) : noLimitedUpstream;
        const exhausted = reachedIds.size >= route.maxUpstreams;
        const criteria: SelectionCriteria = { parts: head.parts, promptTokens: head.promptTokens, dataCentre,
            tried: exhausted ? new Set() : tried, preferred: plan.preferred, maxPermitDelay: maxDelay };
        return (exhausted ? undefined : upstreams.choose(service, criteria)) ?? pickReached(maxDelay);
    }

    /**
     * Selects an upstream that already received the call; it does not count towards the route's `maxUpstreams` again.
     */
    function pickReached(maxDelay: number): ChosenUpstream | undefined {
        const upstream = [...reachedIds].flatMap(id => upstreams.find(id) ?? [])
            .find(({ state }) => !state.isLeaving() && state.takesRequestWithin(maxDelay, now()));
        return upstream === undefined ? undefined : { upstream, maxPermitDelay: maxDelay };
    }

    async function attempt({ upstream, placement }: PermittedUpstream): Promise<AttemptEnd> {
        const { state } = upstream;
        const end = await startAttemptSafely(upstream);
        placement?.release(engineOutcome(upstream, end), current?.measured());
        if (end.kind !== "failure" || !end.unreachable) {
            reachedIds.add(state.entry.id);
        }
        current = undefined;
        metrics.recordSend(state.entry.service, end.kind === "failure" ? end.failure : "answered");
        if (end.kind === "failure" && end.received !== undefined && end.failure !== "notRun") {
            metrics.recordBrokenAnswer(state.entry.service, end.received.framing);
        }
        if (end.kind !== "failure") {
            state.recordSuccess();
        }
        else if (cancelled !== "left" && (end.failure !== "notRun" || end.unreachable) &&
            !isPathFailure(end)) {
            state.recordFailure(now());
        }
        return end;
    }

    /** Whether an attempt without any part of an answer tells nothing about its upstream, as this gateway reaches none. */
    function isPathFailure({ received }: FailedAttempt): boolean {
        return received === undefined && upstreams.paths.isCutOff();
    }

    function engineOutcome({ state }: Upstream, end: AttemptEnd): EngineOutcome {
        if (state.hasAnnouncedLeaving()) {
            return "leaving";
        }
        if (end.kind !== "failure") {
            return "answered";
        }
        if (isPathFailure(end)) {
            return "unused";
        }
        if (cancelled !== undefined) {
            // Callers choose their time limits, so that a late call tells something only if no progress was seen.
            return end.timedOut === true ? "failed" : "unused";
        }
        if (wasRejected(end)) {
            // Without an answer, this gateway has no free connection.
            return end.received === undefined ? "unused" : "rejected";
        }
        return "failed";
    }

    /** An error before anything was sent is a failed attempt, so that another upstream is tried. */
    async function startAttemptSafely(upstream: Upstream): Promise<AttemptEnd> {
        try {
            const onLeaving = () => retireLeavingUpstream(parts, upstream, head.id);
            const onRateLimit = (statement: RateLimitStatement, sentAt: number) =>
                rateLimits.observe(upstream.state, { statement, sentAt, call: head.id });
            const tokensPerEvent = upstreams.tokensPerEvent(upstream.state.entry.service);
            current = startAttempt(upstream, { ...plan, usedConnections, tokensPerEvent, timeouts, onLeaving,
                onRateLimit, isCutOff: () => upstreams.paths.isCutOff() }, limits, now);
        }
        catch (error) {
            const reason = (error as Error).message;
            return { kind: "failure", failure: "notRun", reason, unreachable: true };
        }
        return current.end;
    }

    function cancel(reason: CancelReason): void {
        cancelled = reason;
        sentAtCancel = current?.wasSent() === true;
        cancellation.abort();
        current?.cancel();
    }

    return { result: run(), cancel, permitWait: () => permitWait, placeWait: () => placeWait };
}

/**
 * Selects the service of a call. All calls of a program go to the same service as long as the route is unchanged. While a
 * call waits, its route may be changed, removed, or its name given to a route that does not take the call.
 */
export function serviceOf({ route, head }: Pick<ReceivedCall, "route" | "head">, declaration: Declaration | undefined) {
    const currentRoute = declaration?.routes.find(each => isSameRoute(each, route)) ?? route;
    return pickService(currentRoute, hash(head.program ?? head.id) / 2 ** 32);
}

function isSameRoute(left: ServiceRoute, right: ServiceRoute): boolean {
    return left.name === right.name && left.host === right.host && left.prefix === right.prefix;
}

/** Whether the dispatcher and this gateway know the same start of an upstream. */
function isOfIncarnation({ state: { entry } }: Upstream, incarnation: string | undefined): boolean {
    return incarnation === undefined || incarnation === incarnationOf(entry);
}

/** Whether the upstream was reached and did not accept the call. */
function wasRejected({ failure, unreachable }: FailedAttempt): boolean {
    return failure === "notRun" && !unreachable;
}
