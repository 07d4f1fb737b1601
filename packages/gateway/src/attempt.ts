import { type AgedLoad, type AnswerHead, answerTimeout, type AnswerVerdict, type AttemptFailure, isOwnAnswer, isSuccess,
    judgeAnswer, type RateLimitStatement, tokensToPrefill, type UpstreamState } from "@tamarackgauge/core/gateway";
import { encodeRequest } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders } from "node:http";
import { createBodyBuffer } from "./bodyBuffer.ts";
import type { UpstreamAnswer } from "./callerAnswer.ts";
import type { MemoryLimits } from "./limits.ts";
import type { SendPlan } from "./sendPlan.ts";
import type { UsedConnections } from "./upstreamClient.ts";
import type { Upstream } from "./upstreams.ts";

/** Outcome of one attempt to send a call. */
export type AttemptEnd =
    | { readonly kind: "answer"; readonly answer: UpstreamAnswer; }
    | { readonly kind: "streamed"; }
    | FailedAttempt;

/** An attempt without an answer for the caller. */
export interface FailedAttempt {
    readonly kind: "failure";
    readonly failure: AttemptFailure;
    readonly reason: string;
    /** Whether no connection could be established, or the call was not sent over one in time. */
    readonly unreachable: boolean;
    /** Whether the answer, or the next event, did not come in time. */
    readonly timedOut?: boolean;
    /** The upstream's answer if it reported a failure. */
    readonly answer?: UpstreamAnswer;
    /** What had come of an answer that broke off or was rejected; undefined if no head had come. */
    readonly received?: ReceivedPart;
}

/** How the end of an answer's body is marked: by its length, by chunks, or only by the end of its connection. */
export type Framing = "length" | "chunks" | "none";

/** The part of an answer that had come when its attempt failed. */
export interface ReceivedPart {
    readonly status: number;
    readonly framing: Framing;
    readonly bytes: number;
    /** Complete events, if the answer is a stream. */
    readonly events: number;
}

/** One attempt to send a call to an upstream. */
export interface Attempt {
    readonly end: Promise<AttemptEnd>;
    /** False only if it is certain that the call never left this process. */
    wasSent(): boolean;
    /** Closes the connection, so that the upstream stops working on the call; the attempt ends with a failure. */
    cancel(): void;
    /** What has been measured so far. */
    measured(): AttemptMeasurement;
}

/** What an attempt tells about its upstream. Times are in milliseconds. */
export interface AttemptMeasurement {
    readonly load: AgedLoad | undefined;
    /** Undefined before the answer is complete. */
    readonly timing:
        | { readonly timeToFirstByte: number; readonly latency: number; readonly events: number; }
        | undefined;
}

/**
 * A stream that can be resumed at another upstream is considered stalled after this multiple of the route's maximum
 * interval between events, but not earlier than after `minEventTimeoutMs`.
 */
const eventTimeoutFactor = 4;
const minEventTimeoutMs = 600;

/** What a piece of an answer counts at least, as handling it takes far longer than its size suggests. */
const minPieceBytes = 64;

/** What is needed for one attempt. */
export interface AttemptPlan extends SendPlan {
    /** Connections that have carried the call in earlier attempts. */
    readonly usedConnections: UsedConnections;
    /** Tokens in each event of the upstream's service when the call was sent. */
    readonly tokensPerEvent: number;
    /** Earlier attempts of the call that ended without an answer in time. */
    readonly timeouts: number;
    /** Whether this gateway reaches no upstream itself, so that a wait says nothing about the upstream. */
    readonly isCutOff: () => boolean;
    /** Called when the upstream announces in its answer that it leaves. */
    readonly onLeaving: () => void;
    /** Called with what the upstream states about its rate limit, and the time at which the call was sent. */
    readonly onRateLimit: (statement: RateLimitStatement, sentAt: number) => void;
}

/** Starts an attempt to send a call to an upstream. */
export function startAttempt({ state, client }: Upstream, plan: AttemptPlan, limits: MemoryLimits,
    now: () => number): Attempt {
    const { call, sink } = plan;
    const body = createBodyBuffer();
    let answer: {
        readonly head: AnswerHead;
        readonly headers: IncomingHttpHeaders;
        readonly verdict: AnswerVerdict;
    } | undefined;
    let receivedBytes = 0;
    /** What the pieces of the body, or of the event that is still incomplete, count beside their bytes. */
    let surplusBytes = 0;
    /** Bytes of the answer that are reserved in the account of the call. */
    let accountedBytes = 0;
    let timeToFirstByte = 0;
    let headAt = 0;
    let timing: AttemptMeasurement["timing"];
    const eventsBefore = sink?.relayedEvents() ?? 0;
    let streaming = false;
    let finished = false;
    let resolveEnd: (end: AttemptEnd) => void;
    const end = new Promise<AttemptEnd>(resolve => {
        resolveEnd = resolve;
    });
    const progressTimeoutMs = progressTimeoutOf(plan, state, now());
    let progressTimer: NodeJS.Timeout | undefined;

    function finish(result: AttemptEnd): void {
        if (finished) {
            return;
        }
        finished = true;
        clearTimeout(progressTimer);
        state.inFlight -= 1;
        resolveEnd(result.kind === "failure" ? { ...result, received: receivedPart() } : result);
    }

    function receivedPart(): ReceivedPart | undefined {
        return answer === undefined
            ? undefined
            : { status: answer.head.status, framing: framingOf(answer.headers), bytes: receivedBytes,
                events: (sink?.relayedEvents() ?? 0) - eventsBefore };
    }

    function abort(reason: string, timedOut = false): void {
        const wasSent = activeRequest.wasSent();
        activeRequest.cancel();
        finish({ ...failure(wasSent ? "unknown" : "notRun", reason), unreachable: !wasSent, timedOut });
    }

    function receiveHead(head: AnswerHead, headers: IncomingHttpHeaders): void {
        const verdict = judgeAnswer(head, call.route);
        answer = { head, headers, verdict };
        headAt = now();
        if (isOwnAnswer(head)) {
            receiveAnnouncements(head);
        }
        if (head.load !== undefined) {
            state.recordLoad(head.load, now());
        }
        if (isSuccess(head.status)) {
            timeToFirstByte = now() - sentAt;
            state.recordFirstByte({ timeToFirstByte, prefillTokens, load: head.load }, now());
        }
        if (sink !== undefined && isSuccess(head.status) && verdict.kind === "passOn") {
            streaming = true;
            sink.begin(head.status, headers, plan.tokensPerEvent);
            restartProgressTimer();
        }
    }

    function receiveAnnouncements({ leaving, rateLimit }: AnswerHead): void {
        plan.onRateLimit(rateLimit, sentAt);
        if (leaving) {
            plan.onLeaving();
        }
    }

    function receiveData(chunk: Buffer): void {
        receivedBytes += chunk.length;
        surplusBytes += Math.max(0, minPieceBytes - chunk.length);
        if (streaming) {
            receiveEvents(chunk);
        }
        else {
            receiveBody(chunk);
        }
    }

    function receiveEvents(chunk: Buffer): void {
        relay(chunk);
        const heldBytes = sink!.heldBytes();
        if (heldBytes > limits.maxAnswerBytes || !accountFor(heldBytes)) {
            abort("the answer is too long");
        }
        else if (sink!.incompleteBytes() + surplusBytes > limits.maxEventBytes) {
            abort("an event is too long");
        }
    }

    function receiveBody(chunk: Buffer): void {
        const storedBytes = accountedBytes + body.costOf(chunk);
        if (receivedBytes + surplusBytes > maxBodyBytes() || !accountFor(storedBytes)) {
            abort("the answer is too long");
            return;
        }
        body.append(chunk);
    }

    /** Reserves the bytes that the answer holds now; false if all calls together hold too many. */
    function accountFor(heldBytes: number): boolean {
        const change = heldBytes - accountedBytes;
        accountedBytes = heldBytes;
        if (change < 0) {
            call.byteAccount.release(-change);
            return true;
        }
        return call.byteAccount.reserve(change);
    }

    /** Only complete events count as progress: an upstream that sends single bytes now and then has stalled too. */
    function relay(chunk: Buffer): void {
        const previousEvents = sink!.relayedEvents();
        const hasCapacity = sink!.write(chunk);
        if (sink!.relayedEvents() > previousEvents) {
            surplusBytes = 0;
            restartProgressTimer();
        }
        if (!hasCapacity) {
            activeRequest.pause();
            clearTimeout(progressTimer);
            void sink!.drained().then(resumeReading);
        }
    }

    function resumeReading(): void {
        activeRequest.resume();
        restartProgressTimer();
    }

    /** Restarts the timeout for the whole answer or, if it is streamed, for the next event. */
    function restartProgressTimer(): void {
        clearTimeout(progressTimer);
        if (progressTimeoutMs !== undefined && !finished) {
            progressTimer = setTimeout(() => abort(streaming ? "no event in time" : "no answer in time", true),
                progressTimeoutMs);
        }
    }

    /** A stream may be longer, as it is limited by what it holds, and it is clear whether its last event is whole. */
    function maxBodyBytes(): number {
        return framingOf(answer!.headers) === "none" ? limits.maxUnframedBytes : limits.maxAnswerBytes;
    }

    function completeAnswer(): AttemptEnd {
        if (streaming && sink!.endsInsideEvent()) {
            return failure("unknown", "the stream ended inside an event");
        }
        if (streaming && sink!.relayedEvents() === 0) {
            return failure("unknown", "the stream ended before its first event");
        }
        if (isSuccess(answer!.head.status)) {
            timing = { latency: now() - sentAt, timeToFirstByte, events: (sink?.relayedEvents() ?? 0) - eventsBefore };
            state.recordCompletedCall({ ...timing, slowness: answer!.head.load?.slowness ?? 1 }, now());
        }
        if (streaming) {
            return { kind: "streamed" };
        }
        const { head, headers, verdict } = answer!;
        return evaluateAnswer(verdict, { status: head.status, headers, body: body.toBuffer() });
    }

    const sentAt = now();
    const prefillTokens = tokensToPrefill(state, call.head.parts, call.head.promptTokens);
    state.cache.record(call.head.parts);
    const activeRequest = client.send({
        callId: call.head.id,
        method: call.method,
        path: call.path,
        headers: encodeRequest(call.rawHeaders, {
            upstream: state.entry.id,
            deadline: call.deadlineAt - now(),
            priority: plan.priority,
            resumeAfter: sink?.resumeAfter(),
            team: call.scope === undefined ? undefined : { name: call.team?.name },
        }),
        body: call.body,
        priority: plan.priority ?? 0,
        usedConnections: plan.usedConnections,
        isRepeatable: call.route.execution === "repeatable",
    }, {
        head: receiveHead,
        data: receiveData,
        end: () => finish(completeAnswer()),
        fail: (cause, reason) =>
            finish({ ...failure(cause === "unknown" ? "unknown" : "notRun", reason),
                unreachable: cause === "unreachable" }),
    });

    // Not earlier, as the attempt has not started if the client throws.
    state.inFlight += 1;
    if (!call.route.streamed) {
        restartProgressTimer();
    }

    function cancel(): void {
        if (answer === undefined && !plan.isCutOff()) {
            state.estimate.recordAbandonedCall(now() - sentAt, now());
        }
        abort("cancelled");
    }

    function measured(): AttemptMeasurement {
        const load = answer?.head.load;
        return { load: load === undefined ? undefined : { ...load, age: now() - headAt }, timing };
    }

    return { end, wasSent: () => activeRequest.wasSent(), cancel, measured };
}

/** Timeout for an answer, or for the next complete event of a stream, if the call may be sent to another upstream. */
function progressTimeoutOf({ call: { route, deadlineAt }, timeouts }: AttemptPlan, state: UpstreamState, now: number):
    | number
    | undefined {
    if (route.execution !== "repeatable") {
        return undefined;
    }
    if (!route.streamed) {
        return answerTimeout({ targetLatency: route.targetLatency, highLatency: state.estimate.highLatency,
            slowness: state.slowness(now), timeouts, timeLeft: deadlineAt - now });
    }
    return route.maxEventInterval === undefined
        ? undefined
        : Math.max(minEventTimeoutMs, route.maxEventInterval * eventTimeoutFactor);
}

function framingOf(headers: IncomingHttpHeaders): Framing {
    if (headers["transfer-encoding"] !== undefined) {
        return "chunks";
    }
    return headers["content-length"] === undefined ? "none" : "length";
}

/** Determines the outcome of an attempt from a complete answer. */
function evaluateAnswer(verdict: AnswerVerdict, answer: UpstreamAnswer): AttemptEnd {
    switch (verdict.kind) {
        case "passOn":
            return { kind: "answer", answer };
        case "failed":
            return { ...failure("failed", verdict.reason), ...verdict.mayPassOn ? { answer } : {} };
        case "notRun":
        case "unknown":
            return failure(verdict.kind, verdict.reason);
    }
}

function failure(kind: AttemptFailure, reason: string): FailedAttempt {
    return { kind: "failure", failure: kind, reason, unreachable: false };
}
