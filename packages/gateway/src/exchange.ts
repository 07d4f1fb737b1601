import { type RefusalCause, retryDelay, scopedId, StoreError, turnPriority } from "@tamarackgauge/core/gateway";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { overloadRefusal, precedingTurns } from "./admission.ts";
import { createCallCredit } from "./callCredit.ts";
import { type LocalAnswer, writeLocalAnswer, writeUpstreamAnswer } from "./callerAnswer.ts";
import type { Quotas } from "./quotas.ts";
import type { ReceivedCall } from "./sendPlan.ts";
import { type SendResult, type Sends, startSends } from "./sends.ts";
import { createStreamRelay, type StreamRelay } from "./streams.ts";
import { createStreamWriter } from "./streamWriter.ts";
import { sizeOf } from "./turnCache.ts";
import { type PreparedTurn, prepareTurn, type TurnPreparationParts, type TurnRefusal } from "./turnPreparation.ts";
import type { Turn } from "./turnRow.ts";
import type { NewTurn } from "./turns.ts";

/** Parts that all exchanges share. */
export interface ExchangeParts extends TurnPreparationParts {
    /** The monotonic time at which a call must have ended to be sent, as the process ends then; it may change. */
    readonly latestEnd: () => number;
    /** Undefined if no quotas are held. */
    readonly quotas: Quotas | undefined;
}

/** Serves one call, from the end of its request body to the end of its answer. */
export interface Exchange {
    /** Name of the call's route. */
    readonly route: string;
    readonly done: Promise<void>;
    /** Cancels the call because its caller has disconnected. */
    abandon(): void;
    /** Ends the call because the process ends: with 503 if it has not run, with 504 if it may have run. */
    interrupt(): void;
}

const badGateway = 502;
const serviceUnavailable = 503;
const gatewayTimeout = 504;
const paymentRequired = 402;
const tooManyRequests = 429;
const notFound = 404;
/** What a refused caller is told about each cause. */
const refusalReasons: Readonly<Record<RefusalCause["kind"], string>> = {
    storeAway: "the store does not answer",
    enginesFull: "the engines are full",
    noPlace: "the engines have no place",
    upstreamsFull: "no upstream takes calls",
    upstreamsUnreachable: "no upstream can be reached from this gateway",
    rateLimited: "the upstreams' rate limits are reached",
    quotaExceeded: "the team's quota is used up",
    quotaUnknown: "the team's quota cannot be checked",
    memoryFull: "too many bodies are held",
    stopping: "the gateway is stopping",
    outOfTime: "no time was left",
};

/** What a caller is told whose call may have run. */
const timeoutReasons = {
    outOfTime: "the time limit was reached",
    stopping: refusalReasons.stopping,
} as const;

/** Causes of a refusal that concern only this gateway or the way to it, so that another one may serve the call. */
const causesToGoElsewhere: ReadonlySet<RefusalCause["kind"]> = new Set(["storeAway", "upstreamsUnreachable",
    "quotaUnknown", "memoryFull", "stopping"]);

/** The answer to a call that has not run and will not run. */
export function refusalAnswer(cause: RefusalCause, reason = refusalReasons[cause.kind]): LocalAnswer {
    return { status: cause.kind === "quotaExceeded" ? tooManyRequests : serviceUnavailable, reason,
        retryAfter: retryDelay(cause, Math.random), closeConnection: causesToGoElsewhere.has(cause.kind),
        details: { ...cause } };
}

/** The answer to a turn that may not run; `unprepared` is the cause for one whose preparation has not ended. */
function turnRefusalAnswer(refusal: TurnRefusal, unprepared: RefusalCause): LocalAnswer {
    switch (refusal.kind) {
        case "refused":
            return refusalAnswer(refusal.cause);
        case "noSuchTurn":
            return { status: notFound, reason: "there is no such turn" };
        case "budgetSpent":
            return { status: paymentRequired, reason: "the program's token budget is spent" };
        case "left":
            return refusalAnswer(unprepared);
    }
}

/**
 * How far a call has got. `preparing`: it waits for the store or for tokens. `sent`: an upstream works on it, or it waits
 * for one. `keeping`: its turn is being stored. `answered`: its answer has ended, also if it is a refusal.
 */
type CallPhase = "preparing" | "sent" | "keeping" | "answered";

function roundIfKnown(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value);
}

/** Starts serving a call. */
export function startExchange(parts: ExchangeParts, call: ReceivedCall, response: ServerResponse): Exchange {
    const { turns, log, now } = parts;
    const { head, route } = call;
    const startedAt = now();
    const ended = new AbortController();
    let sends: Sends | undefined;
    let disconnected = false;
    let endless = false;
    let endCause: "outOfTime" | "stopping" | undefined;
    let phase: CallPhase = "preparing";
    const credit = createCallCredit(parts.quotas, call.team);
    const timer = setTimeout(() => end("outOfTime"), call.deadlineAt - startedAt);

    function end(cause: "outOfTime" | "stopping"): void {
        endCause = cause;
        ended.abort();
        sends?.cancel("late");
    }

    async function run(): Promise<void> {
        try {
            const acquired = credit.acquire();
            const refusal = acquired instanceof Promise ? await acquired : acquired;
            if (refusal === undefined) {
                await (isTurn() ? serveTurn() : serve(call, undefined, true));
            }
            else if (!disconnected) {
                answerLocally(refusalAnswer(refusal));
            }
        }
        finally {
            clearTimeout(timer);
            credit.release();
        }
    }

    function isTurn(): boolean {
        return route.streamed && (route.retention !== undefined || head.tokenBudget !== undefined);
    }

    async function serveTurn(): Promise<void> {
        const preparation = await prepareTurn(parts, call, ended.signal);
        if (preparation.kind === "prepared") {
            await servePrepared(preparation);
        }
        else if (!disconnected) {
            answerLocally(turnRefusalAnswer(preparation, unpreparedCause()));
        }
    }

    /** A turn that is not prepared within its time has waited for the store, so that it may be tried again. */
    function unpreparedCause(): RefusalCause {
        return endCause === "stopping"
            ? { kind: "stopping" }
            : { kind: "storeAway", isolated: parts.storeOutage.isIsolated() };
    }

    async function servePrepared({ reservation, history, isAdmitted }: PreparedTurn): Promise<void> {
        if (!reserveBodyWithHistory(history)) {
            reservation.settle(0);
            answerLocally(refusalAnswer({ kind: "memoryFull" }));
            return;
        }
        // If the call fails, the engine may have generated the maximum number of tokens.
        let usedTokens = head.maxTokens;
        try {
            usedTokens = await serve({ ...call, body: bodyWithHistory(history) }, history, isAdmitted);
        }
        finally {
            reservation.settle(usedTokens);
        }
    }

    function reserveBodyWithHistory(history: readonly Turn[]): boolean {
        return history.length === 0 ||
            call.byteAccount.reserve(sum(history.map(sizeOf)) + (call.body?.length ?? 0));
    }

    /** The body sent to the engine: all earlier inputs and outputs, followed by the new input. */
    function bodyWithHistory(history: readonly Turn[]): Buffer | undefined {
        return history.length === 0
            ? call.body
            : Buffer.concat([...history.flatMap(({ input, output }) => [input, output]), call.body ?? Buffer.alloc(0)]);
    }

    /** Sends the call and forwards the answer; returns the number of tokens that the caller may have received. */
    async function serve(callToSend: ReceivedCall, history: readonly Turn[] | undefined,
        isAdmitted: boolean): Promise<number> {
        if (disconnected) {
            return 0;
        }
        if (endCause !== undefined) {
            answerLocally(refusalAnswer({ kind: endCause }));
            return 0;
        }
        if (call.deadlineAt > parts.latestEnd()) {
            answerLocally(refusalAnswer({ kind: "stopping" }));
            return 0;
        }
        const keepsTurn = history !== undefined && route.retention !== undefined;
        const relay = route.streamed
            ? createStreamRelay({ writer: createStreamWriter(response), keepsOutput: keepsTurn,
                resumable: route.resumable, maxTokens: head.maxTokens, onExcess: endEndlessStream })
            : undefined;
        const turnsBefore = precedingTurns(parts, call, history?.length);
        const priority = route.streamed ? turnPriority(route.priority, turnsBefore) : undefined;
        sends = startSends(parts, { call: callToSend, credit, priority, sink: relay, precedingTurns: turnsBefore,
            isAdmitted, overload: () => history === undefined ? undefined : overloadRefusal(parts, call),
            preferred: history?.[history.length - 1]?.upstream });
        phase = "sent";
        const sentAt = now();
        const result = await sends.result;
        phase = "keeping";
        const receivedAt = now();
        const delivered = await finish(result, relay, keepsTurn ? history : undefined);
        if (delivered && "upstream" in result) {
            log.info("call.answered", { ...callFields(), upstream: result.upstream,
                preparedMs: Math.round(sentAt - call.arrivedAt), upstreamMs: Math.round(receivedAt - sentAt),
                permitMs: Math.round(sends.permitWait()), placeMs: Math.round(sends.placeWait()),
                keptMs: Math.round(now() - receivedAt) });
        }
        if (delivered && route.streamed && head.program !== undefined) {
            parts.recentPrograms.record(scopedId(call.scope, head.program), now());
        }
        return relay?.tokens() ?? 0;
    }

    /** The engine does not keep to the maximum that the caller declared, so that its stream may never end. */
    function endEndlessStream(): void {
        endless = true;
        sends?.cancel("late");
    }

    /** Fields of each log line about the call. `after` and `turn` tell which tries concern the same turn. */
    function callFields() {
        const elapsed = now() - call.arrivedAt;
        return { call: head.id, team: call.team?.name, program: head.program, route: route.name,
            after: head.previousTurn, turn: route.streamed ? precedingTurns(parts, call) : undefined,
            ms: Math.round(elapsed), timeLeft: Math.round(call.deadlineAt - now()),
            programLeft: head.programDeadline === undefined ? undefined : Math.round(head.programDeadline - elapsed) };
    }

    /** Ends the answer; returns whether it is that of an upstream and complete. */
    async function finish(result: SendResult, relay: StreamRelay | undefined,
        history: readonly Turn[] | undefined): Promise<boolean> {
        switch (result.kind) {
            case "streamed":
                return finishStream(relay!, history, result.upstream);
            case "answer":
                if (response.headersSent) {
                    answerLocally({ status: badGateway, reason: "the stream broke off and was not resumed" });
                    return false;
                }
                phase = "answered";
                writeUpstreamAnswer(response, result.answer);
                return true;
            case "cancelled":
                if (!disconnected) {
                    answerLocally(cancelledAnswer(result.sent));
                }
                return false;
            case "failed":
                answerFailure(result);
                return false;
        }
    }

    function cancelledAnswer(sent: boolean): LocalAnswer {
        if (endless) {
            return { status: badGateway, reason: "the engine generated more tokens than the call declared" };
        }
        return sent
            ? { status: gatewayTimeout, reason: timeoutReasons[endCause ?? "outOfTime"] }
            : refusalAnswer({ kind: endCause ?? "outOfTime" });
    }

    async function finishStream(relay: StreamRelay, history: readonly Turn[] | undefined,
        upstream: string): Promise<boolean> {
        if (history === undefined) {
            phase = "answered";
            relay.finish();
            return true;
        }
        const turn: NewTurn = { id: scopedId(call.scope, head.id), input: call.body ?? Buffer.alloc(0),
            output: relay.output(), upstream };
        try {
            // A caller may continue a turn as soon as its answer is complete, so the turn is stored before the last event
            // is sent.
            const timeLeft = call.deadlineAt - now();
            await withTimeout(timeLeft, turns.save(turn, history, route.retention!, timeLeft));
            phase = "answered";
            relay.finish();
            return true;
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.warn("turn.notKept", { ...callFields(), reason: error.message });
            phase = "answered";
            response.destroy();
            return false;
        }
    }

    function answerFailure({ failure, reason, answer, cause }: SendResult & { kind: "failed"; }): void {
        if (answer !== undefined && !response.headersSent) {
            writeUpstreamAnswer(response, answer);
            return;
        }
        answerLocally(failure === "notRun"
            ? refusalAnswer(cause, cause.kind === "upstreamsFull" ? reason : undefined)
            : { status: badGateway, reason });
    }

    function answerLocally(answer: LocalAnswer): void {
        log.warn("call.refused", { ...callFields(), status: answer.status, reason: answer.reason,
            begun: response.headersSent, retryAfter: roundIfKnown(answer.retryAfter),
            outageMs: Math.round(parts.storeOutage.age()), permitMs: roundIfKnown(sends?.permitWait()),
            placeMs: roundIfKnown(sends?.placeWait()), ...answer.details });
        phase = "answered";
        writeLocalAnswer(response, head.id, answer);
    }

    function abandon(): void {
        disconnected = true;
        if (phase !== "answered") {
            log.warn("call.left", { ...callFields(), phase, begun: response.headersSent });
        }
        ended.abort();
        sends?.cancel("left");
    }

    return { route: route.name, done: run(), abandon, interrupt: () => end("stopping") };
}

/** Rejects with a `StoreError` if the store operation takes longer than `timeoutMs`. */
async function withTimeout(timeoutMs: number, operation: Promise<void>): Promise<void> {
    const controller = new AbortController();
    const timeout = sleep(timeoutMs, undefined, { signal: controller.signal }).then(() => {
        throw new StoreError("unknown", "the store did not answer within the time of the call");
    });
    // The promise that settles second is ignored: after a timeout the turn may still be stored.
    timeout.catch(() => undefined);
    operation.catch(() => undefined);
    try {
        await Promise.race([operation, timeout]);
    }
    finally {
        controller.abort();
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
