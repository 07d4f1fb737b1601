import { type AnswerEvent, type Call, type Clock, type Configuration, type Refusal, RefusalError,
    refuse } from "@tamarackgauge/core";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Either } from "purify-ts";
import { sendBuffered, sendStream } from "./answer.ts";
import { type BodyMemory, receiveBody } from "./body.ts";
import { deliver } from "./delivery.ts";
import { authenticate, authorize } from "./identity.ts";
import type { Limits } from "./limits.ts";
import { type CallHead, digestOf, parseChat, parseHead, parseProgram, parseTool, parseToolPath } from "./parse.ts";

/** Options of `createCalls`; see `FrontOptions`. */
export interface CallsOptions {
    readonly limits: Limits;
    readonly bodyMemory: BodyMemory;
    readonly clock: Clock;
    readonly configuration: () => Configuration | undefined;
    readonly serve: (call: Call, signal: AbortSignal) => AsyncIterable<AnswerEvent>;
    readonly endProgram: (plan: string, program: string) => Promise<Refusal | undefined>;
    readonly onRefusal: (refusal: Refusal) => void;
}

/** A request for a call or a program. `rest` is the path after its fixed prefix. */
export interface RoutedRequest {
    readonly kind: "chat" | "tool" | "program";
    readonly rest: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}

/** The open calls of a front. */
export interface Calls {
    /** Answers a request. Rejects with a `RefusalError` if the refusal has yet to be sent. */
    answer(routed: RoutedRequest): Promise<void>;
    count(): number;
    /** Resolves when all calls that are open now have ended. */
    finished(): Promise<void>;
    /** Ends all open calls with this refusal. */
    cancel(refusal: Refusal): void;
    /** Refuses all new calls from now on. */
    close(): void;
}

/** Creates the handler of calls and programs. */
export function createCalls(options: CallsOptions): Calls {
    const { limits, clock, onRefusal } = options;
    const open = new Map<AbortController, Promise<void>>();
    let closed = false;

    function authenticateRequest(
        request: IncomingMessage,
    ): { readonly plan: string; readonly configuration: Configuration; } {
        const configuration = options.configuration();
        const plan = orThrow(authenticate(configuration, request.headers.authorization));
        return { plan, configuration: configuration as Configuration };
    }

    async function answer(routed: RoutedRequest): Promise<void> {
        const { plan, configuration } = authenticateRequest(routed.request);
        if (routed.kind === "program") {
            return endProgram(plan, routed);
        }
        if (closed) {
            throw new RefusalError(refuse("leaving", "notRun", undefined, 1000));
        }
        if (open.size >= limits.maxStreams) {
            throw new RefusalError(refuse("too_many_streams", "notRun", undefined, 1000));
        }
        const controller = new AbortController();
        // A response that is queued behind another one on its connection gets no `close` event, so watch the socket.
        const abort = () => controller.abort();
        routed.request.socket.once("close", abort);
        const served = answerCall(routed, plan, configuration, controller);
        open.set(controller, served.catch(() => undefined));
        try {
            await served;
        }
        finally {
            open.delete(controller);
            routed.request.socket.off("close", abort);
        }
    }

    async function endProgram(plan: string, { rest, response }: RoutedRequest): Promise<void> {
        const refusal = await options.endProgram(plan, orThrow(parseProgram(rest)));
        if (refusal !== undefined) {
            throw new RefusalError(refusal);
        }
        response.writeHead(204).end();
    }

    async function answerCall(
        routed: RoutedRequest,
        plan: string,
        configuration: Configuration,
        controller: AbortController,
    ): Promise<void> {
        const { request, response } = routed;
        const { signal } = controller;
        response.on("close", () => controller.abort());
        const head = orThrow(parseHead(request.headers, randomUUID));
        response.setHeader("tg-program", head.program);
        response.setHeader("idempotency-key", head.request);
        if (routed.kind === "tool") {
            orThrow(authorize(configuration, plan, "tool", orThrow(parseToolPath(routed.rest)).service));
        }
        const body = await receiveBody(request, response, limits.maxBody, options.bodyMemory);
        const { call, stream } = createCall(routed, plan, head, body);
        if (call.target.kind === "model") {
            orThrow(authorize(configuration, plan, "model", call.target.model));
        }
        const created = Math.floor(clock.wall() / 1000);
        const exchange = { request, response, call, limits, created, onRefusal };
        const send = stream ? sendStream : sendBuffered;
        await send(exchange, deliver(options.serve(call, signal), call.offset, signal));
    }

    function createCall({ kind, rest, request }: RoutedRequest, plan: string, head: CallHead, body: Buffer) {
        const identity = head;
        const digest = digestOf(request.method ?? "", request.url ?? "", body);
        if (kind === "tool") {
            const target = orThrow(parseTool(rest, body));
            refuseOffsetWithoutStream(head, false);
            return { call: { ...identity, plan, digest, target }, stream: false };
        }
        const { target, stream } = orThrow(parseChat(body, identity.seal, limits.defaultMaxTokens));
        refuseOffsetWithoutStream(head, stream);
        return { call: { ...identity, plan, digest, target }, stream };
    }

    return {
        answer,
        count: () => open.size,
        finished: async () => {
            await Promise.all(open.values());
        },
        cancel: refusal => {
            for (const controller of open.keys()) {
                controller.abort(new RefusalError(refusal));
            }
        },
        close: () => {
            closed = true;
        },
    };
}

/** Only a streamed answer can start at an offset; a single body would look complete without its beginning. */
function refuseOffsetWithoutStream({ offset }: CallHead, stream: boolean): void {
    if (offset > 0 && !stream) {
        throw new RefusalError(refuse("invalid_header", "notRun", "last-event-id needs a streamed answer"));
    }
}

/** Returns the value, or throws the refusal as a `RefusalError`. */
function orThrow<Value>(either: Either<Refusal, Value>): Value {
    return either.caseOf({
        Left: refusal => {
            throw new RefusalError(refusal);
        },
        Right: value => value,
    });
}
