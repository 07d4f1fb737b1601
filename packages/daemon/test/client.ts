import { readEvents } from "@tamarackgauge/upstream";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { keyOf } from "./cluster.ts";

/** Options of a test's call. */
export interface TestCall {
    readonly plan?: string;
    readonly program: string;
    readonly request?: string;
    readonly sequence?: number;
    readonly headers?: Readonly<Record<string, string>>;
    /** Content of the user message of a model call, or the body of a tool call. */
    readonly content: string;
    readonly maxTokens?: number;
    /** Messages before the user message, when the caller sends the history. */
    readonly history?: readonly object[];
    /** Path of a tool call after `/v1/tools/`. */
    readonly tool?: string;
    readonly atMostOnce?: boolean;
    readonly end?: boolean;
    readonly offset?: number;
    readonly signal?: AbortSignal;
    /** Returns a refusal with one of `retriedCodes` instead of retrying the call. */
    readonly returnsRefusal?: boolean;
    /** Called with each chunk of text and the offset after it. */
    readonly onText?: (text: string, offset: number) => void;
}

/** An answer as the caller received it. `connectionLost` means that the connection broke before the end. */
export interface TestAnswer {
    readonly status: number;
    readonly text: string;
    readonly headers: Readonly<Record<string, unknown>>;
    readonly done: boolean;
    readonly connectionLost: boolean;
    /** Error that broke the connection, for the messages of failing tests. */
    readonly connectionError: string | undefined;
    readonly error: TestError | undefined;
    readonly durability: string | undefined;
    readonly seal: string | undefined;
    readonly sequence: number | undefined;
}

/** A refusal as callers see it. */
export interface TestError {
    readonly code: number;
    readonly name: string;
    readonly run: string;
    readonly retryAfterMs?: number;
}

/** A client of one daemon. */
export interface Client {
    call(call: TestCall): Promise<TestAnswer>;
    endProgram(program: string, plan?: string): Promise<number>;
}

interface Chunk {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
    readonly error?: TestError;
    readonly tamarackgauge?: { readonly durability?: string; readonly seal?: string; readonly sequence?: number; };
}

/** Creates a client of the daemon at a URL. */
export function createClient(url: string): Client {
    const agent = new Agent({ connections: 100, headersTimeout: 0, bodyTimeout: 0 });

    /** Retries as a caller does: refusals with `retriedCodes` say that the call has not run and after which delay to retry. */
    async function call(testCall: TestCall): Promise<TestAnswer> {
        const retryDeadline = performance.now() + maxRetryMs;
        for (;;) {
            const answer = await callOnce(testCall);
            const { error } = answer;
            if (testCall.returnsRefusal === true || error?.run !== "notRun" || !retriedCodes.has(error.code)) {
                return answer;
            }
            if (performance.now() > retryDeadline) {
                throw new Error(`refused for ${maxRetryMs} ms, last with ${JSON.stringify(error)}`);
            }
            await sleep(error.retryAfterMs ?? defaultRetryDelayMs);
        }
    }

    async function callOnce(testCall: TestCall): Promise<TestAnswer> {
        try {
            const response = await request(`${url}${pathOf(testCall)}`, {
                method: "POST",
                headers: headersOf(testCall),
                body: bodyOf(testCall),
                dispatcher: agent,
                ...testCall.signal === undefined ? {} : { signal: testCall.signal },
            });
            const streamed = response.headers["content-type"]?.toString().startsWith("text/event-stream") === true;
            return streamed
                ? await readStreamedAnswer(response.statusCode, response.headers, response.body, testCall)
                : parseWholeAnswer(response.statusCode, response.headers, await response.body.text());
        }
        catch (error) {
            return { ...emptyAnswer, connectionLost: true, connectionError: String(error) };
        }
    }

    async function endProgram(program: string, plan = "plan"): Promise<number> {
        const response = await request(`${url}/v1/programs/${program}`, {
            method: "DELETE",
            headers: { authorization: `Bearer ${keyOf(plan)}` },
            dispatcher: agent,
        });
        await response.body.dump();
        return response.statusCode;
    }

    return { call, endProgram };
}

/** Refusals of a daemon that gets too little processor time: `request_slow` and `configuration_stale`. */
const retriedCodes = new Set([4081, 5034]);
/** Delay before a retry, in ms, after a refusal that names none. */
const defaultRetryDelayMs = 100;
/** Time limit for retries, in ms; then the test fails with the last refusal instead of running forever. */
const maxRetryMs = 60_000;

const emptyAnswer: TestAnswer = {
    status: 0,
    text: "",
    headers: {},
    done: false,
    connectionLost: false,
    connectionError: undefined,
    error: undefined,
    durability: undefined,
    seal: undefined,
    sequence: undefined,
};

function pathOf(testCall: TestCall): string {
    return testCall.tool === undefined ? "/v1/chat/completions" : `/v1/tools/${testCall.tool}`;
}

function headersOf(testCall: TestCall): Record<string, string> {
    return {
        "authorization": `Bearer ${keyOf(testCall.plan ?? "plan")}`,
        "content-type": "application/json",
        "tg-program": testCall.program,
        ...testCall.request === undefined ? {} : { "idempotency-key": testCall.request },
        ...testCall.sequence === undefined ? {} : { "tg-sequence": String(testCall.sequence) },
        ...testCall.atMostOnce === true ? { "tg-at-most-once": "true" } : {},
        ...testCall.end === true ? { "tg-end": "true" } : {},
        ...testCall.offset === undefined ? {} : { "last-event-id": String(testCall.offset) },
        ...testCall.headers,
    };
}

function bodyOf(testCall: TestCall): string {
    return testCall.tool !== undefined ? testCall.content : JSON.stringify({
        model: "model",
        stream: true,
        max_tokens: testCall.maxTokens ?? 64,
        messages: [...testCall.history ?? [], { role: "user", content: testCall.content }],
    });
}

async function readStreamedAnswer(
    status: number,
    headers: TestAnswer["headers"],
    body: AsyncIterable<Uint8Array>,
    testCall: TestCall,
): Promise<TestAnswer> {
    let answer: TestAnswer = { ...emptyAnswer, status, headers };
    try {
        for await (const event of readEvents(body)) {
            if (event.data === "[DONE]") {
                return { ...answer, done: true };
            }
            const chunk = JSON.parse(event.data) as Chunk;
            const text = chunk.choices?.[0]?.delta?.content ?? "";
            answer = {
                ...answer,
                text: answer.text + text,
                error: chunk.error ?? answer.error,
                durability: chunk.tamarackgauge?.durability ?? answer.durability,
                seal: chunk.tamarackgauge?.seal ?? answer.seal,
                sequence: chunk.tamarackgauge?.sequence ?? answer.sequence,
            };
            if (text !== "") {
                testCall.onText?.(text, Number(event.id));
            }
        }
    }
    catch (error) {
        answer = { ...answer, connectionError: String(error) };
    }
    return { ...answer, connectionLost: answer.error === undefined };
}

function parseWholeAnswer(status: number, headers: TestAnswer["headers"], body: string): TestAnswer {
    const error = status >= 400 ? parseError(body) : undefined;
    return { ...emptyAnswer, status, headers, text: error === undefined ? body : "", done: error === undefined, error };
}

function parseError(body: string): TestError | undefined {
    try {
        return (JSON.parse(body) as { error?: TestError; }).error;
    }
    catch {
        return undefined;
    }
}
