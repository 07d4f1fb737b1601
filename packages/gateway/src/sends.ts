import { type AnswerHead, type AttemptFailure, type CallHead, type Declaration, type Demand, hash, nextStep,
    pickService, type ServiceRoute } from "@tamarackgauge/core/gateway";
import { encodeRequest, type RawHeaders } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders } from "node:http";
import type { WholeAnswer } from "./callerAnswer.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Sending } from "./upstreamClient.ts";
import type { Upstream, Upstreams } from "./upstreams.ts";

/** A call that has been read whole. Times are monotonic milliseconds. */
export interface ReadCall {
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: RawHeaders;
    readonly head: CallHead;
    readonly route: ServiceRoute;
    readonly body: Buffer | undefined;
    /** The moment by which the answer must have ended. */
    readonly endsAt: number;
}

/** Takes a stream. */
export interface StreamSink {
    /** An upstream begins to answer with a stream; called once for each upstream. */
    begin(status: number, headers: IncomingHttpHeaders): void;
    data(chunk: Buffer): void;
    /** The last event that was passed on whole, if the stream may go on after it. */
    resumeAfter(): string | undefined;
    /** Whether the caller has had part of the stream. */
    hasBegun(): boolean;
}

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
    readonly dataCentre: string;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** Sends a call to upstreams until one has answered or no further send is allowed. */
export interface Sends {
    readonly result: Promise<SendResult>;
    /** Stops the upstream's work on the call; the result becomes `cancelled`. */
    cancel(): void;
}

/** What a call is like for its sends. */
export interface SendPlan {
    readonly call: ReadCall;
    readonly priority: number | undefined;
    /** The engine that keeps the session's memory, if known. */
    readonly preferred: string | undefined;
    /** Present for a call whose answer is a stream. */
    readonly sink: StreamSink | undefined;
}

/** How often one call is sent at most, to the same upstream again included. */
const mostSends = 4;
/** Pause before an upstream that had no room is asked again, in ms; it grows with each send. */
const fullPause = 15;
/** A repeatable call without an answer is given to another upstream after this many times its target. */
const patienceOfTarget = 4;
const fewestPatience = 150;

type AttemptEnd =
    | { readonly kind: "answer"; readonly answer: WholeAnswer; }
    | { readonly kind: "streamed"; }
    | { readonly kind: "failure"; readonly failure: AttemptFailure; readonly reason: string;
        /** The upstream may be gone: its connection was refused. */
        readonly unreachable: boolean; readonly answer?: WholeAnswer; };

/** Starts to send a call. */
export function startSends({ upstreams, declaration, dataCentre, metrics, log, now }: SendParts,
    plan: SendPlan): Sends {
    const { call, sink } = plan;
    const { route, head } = call;
    const tried = new Set<string>();
    const reached = new Set<string>();
    let current: Sending | undefined;
    let cancelled = false;
    let onCancel: (() => void) | undefined;
    let sent = false;

    async function run(): Promise<SendResult> {
        let last: AttemptEnd & { kind: "failure"; } | undefined;
        // Once a send's fate is unknown, no later refusal may say that the call has not run.
        let worst: AttemptFailure = "notRun";
        for (let sends = 1; !cancelled; sends += 1) {
            const upstream = pick();
            if (upstream === undefined) {
                break;
            }
            const end = await attempt(upstream);
            if (cancelled) {
                break;
            }
            if (end.kind !== "failure") {
                return { ...end, upstream: upstream.state.entry.id };
            }
            log.warn("send.failed", { call: head.id, program: head.program, upstream: upstream.state.entry.id,
                failure: end.failure, reason: end.reason, sends, calls: Math.round(upstream.state.calls(now())) });
            last = end;
            worst = end.failure === "notRun" ? worst : end.failure;
            tried.add(upstream.state.entry.id);
            if (nextStep(route.execution, end.failure, sends, mostSends) === "giveUp" || now() >= call.endsAt) {
                break;
            }
            if (end.failure === "notRun" && !end.unreachable) {
                await sleep(fullPause * sends);
            }
        }
        if (cancelled) {
            return { kind: "cancelled", sent };
        }
        return { kind: "failed", failure: worst, reason: last?.reason ?? "no upstream takes calls",
            ...last?.answer === undefined ? {} : { answer: last.answer } };
    }

    function pick(): Upstream | undefined {
        const service = serviceOf();
        const exhausted = reached.size >= route.mostUpstreams;
        const demand: Demand = { parts: head.parts, promptTokens: head.promptTokens, dataCentre,
            tried: exhausted ? new Set() : tried, preferred: plan.preferred };
        if (!exhausted) {
            return upstreams.choose(service, demand) ?? again();
        }
        return again();
    }

    /** An upstream that had the call before may get it again: it does not count as a further one. */
    function again(): Upstream | undefined {
        return [...reached]
            .map(id => upstreams.find(id))
            .find(upstream => upstream !== undefined && !upstream.state.entry.draining);
    }

    function serviceOf(): string {
        // The route may have been declared anew while the call waited.
        const newest = declaration()?.routes.find(({ name }) => name === route.name) ?? route;
        return pickService(newest, hash(head.program ?? head.id) / 2 ** 32);
    }

    function attempt(upstream: Upstream): Promise<AttemptEnd> {
        return new Promise(resolve => {
            const { state, client } = upstream;
            const chunks: Buffer[] = [];
            let answer: { readonly head: AnswerHead; readonly headers: IncomingHttpHeaders; } | undefined;
            let streaming = false;
            let over = false;
            const patience = silenceLimit();
            const timer = patience === undefined ? undefined : setTimeout(() => {
                current?.cancel();
                finish(failure("unknown", "no answer in time"));
            }, patience);

            function finish(end: AttemptEnd): void {
                if (over) {
                    return;
                }
                over = true;
                clearTimeout(timer);
                state.inFlight -= 1;
                metrics.sendEnded(state.entry.service, end.kind === "failure" ? end.failure : "answered");
                current = undefined;
                onCancel = undefined;
                if (end.kind === "failure" && end.failure !== "notRun") {
                    state.failed(now());
                }
                else if (end.kind === "failure" && end.unreachable) {
                    state.failed(now());
                }
                else if (end.kind !== "failure") {
                    state.succeeded();
                }
                resolve(end);
            }

            function ended(): AttemptEnd {
                if (streaming) {
                    return { kind: "streamed" };
                }
                const { head: answerHead, headers } = answer!;
                return judge(answerHead, { status: answerHead.status, headers, body: Buffer.concat(chunks) });
            }

            state.inFlight += 1;
            state.cache.use(head.parts);
            onCancel = () => finish(failure("unknown", "cancelled"));
            current = client.send({
                call: head.id,
                method: call.method,
                path: call.path,
                headers: encodeRequest(call.rawHeaders, {
                    upstream: state.entry.id,
                    deadline: call.endsAt - now(),
                    priority: plan.priority,
                    resumeAfter: sink?.resumeAfter(),
                }),
                body: call.body,
            }, {
                head(answerHead, headers) {
                    sent = sent || !answerHead.notRun;
                    reached.add(state.entry.id);
                    answer = { head: answerHead, headers };
                    if (answerHead.load !== undefined) {
                        state.report(answerHead.load, now());
                    }
                    if (sink !== undefined && isSuccess(answerHead.status) && isGenuine(answerHead)) {
                        clearTimeout(timer);
                        streaming = true;
                        sink.begin(answerHead.status, headers);
                    }
                },
                data(chunk) {
                    if (streaming) {
                        sink!.data(chunk);
                    }
                    else {
                        chunks.push(chunk);
                    }
                },
                end: () => finish(ended()),
                fail(wasSent, reason) {
                    sent = sent || wasSent;
                    if (wasSent) {
                        reached.add(state.entry.id);
                    }
                    finish({ ...failure(wasSent ? "unknown" : "notRun", reason), unreachable: !wasSent });
                },
            });
        });
    }

    /** How long an upstream may be silent before a call that may run again goes elsewhere. */
    function silenceLimit(): number | undefined {
        return route.execution === "repeatable" && !route.streamed
            ? Math.max(fewestPatience, route.target * patienceOfTarget)
            : undefined;
    }

    function cancel(): void {
        cancelled = true;
        sent = sent || current?.wasSent() === true;
        current?.cancel();
        onCancel?.();
    }

    return { result: run(), cancel };
}

function failure(kind: AttemptFailure, reason: string): AttemptEnd & { kind: "failure"; } {
    return { kind: "failure", failure: kind, reason, unreachable: false };
}

/** Judges an answer that has arrived whole. */
function judge(head: AnswerHead, answer: WholeAnswer): AttemptEnd {
    if (head.notRun) {
        return failure("notRun", `the upstream refused with ${head.status}`);
    }
    if (!isGenuine(head) && isSuccess(head.status)) {
        return failure("unknown", "the answer is not the upstream's own");
    }
    if (head.encoded) {
        return failure("unknown", "the answer is encoded");
    }
    return head.status >= 500
        ? { ...failure("failed", `the upstream answered ${head.status}`), answer }
        : { kind: "answer", answer };
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

function isGenuine({ signed, encoded }: AnswerHead): boolean {
    return signed && !encoded;
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
