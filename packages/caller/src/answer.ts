import { type AnswerEvent, type Call, type Completion, type Refusal, refuse } from "@tamarackgauge/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Limits } from "./limits.ts";
import { end, refusalBody, sendRefusal, write } from "./writer.ts";

/** A call and the HTTP exchange over which its answer is sent. */
export interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly call: Call;
    readonly limits: Limits;
    /** Seconds since 1970, for the `created` field. */
    readonly created: number;
    /** Called for each refusal that is sent to the caller. */
    onRefusal(refusal: Refusal): void;
}

/** Streams an answer as server-sent events in the chat-completions format. */
export async function sendStream(exchange: Exchange, events: AsyncIterable<AnswerEvent>): Promise<void> {
    const { request, response, limits } = exchange;
    const chunk = createChunks(exchange);
    const stopComments = startKeepAliveComments(response, limits.commentInterval);
    try {
        for await (const event of events) {
            if (event.type === "refused" && !response.headersSent) {
                exchange.onRefusal(event.refusal);
                await sendRefusal(request, response, event.refusal);
                return;
            }
            openStream(response);
            if (event.type === "text") {
                if (!await write(response, chunk.text(event.offset, event.text), limits.writeTimeout)) {
                    return;
                }
                continue;
            }
            if (event.type === "refused") {
                exchange.onRefusal(event.refusal);
            }
            await end(response, event.type === "done" ? chunk.done(event.completion) : errorEvent(event.refusal),
                limits.writeTimeout);
        }
    }
    finally {
        stopComments();
    }
}

/** Sends an answer as one JSON body, or for a tool call the body that the service returned. */
export async function sendBuffered(exchange: Exchange, events: AsyncIterable<AnswerEvent>): Promise<void> {
    const { request, response, limits } = exchange;
    let text = "";
    for await (const event of events) {
        if (event.type === "text") {
            text += event.text;
        }
        if (event.type === "done") {
            await sendBody(exchange, text, event.completion);
            return;
        }
        const refusal = event.type === "refused"
            ? event.refusal
            : text.length > limits.maxAnswer
            ? refuse("upstream_failed", "unknown", `the answer has more than ${limits.maxAnswer} characters`)
            : undefined;
        if (refusal !== undefined) {
            exchange.onRefusal(refusal);
            await sendRefusal(request, response, refusal);
            return;
        }
    }
}

async function sendBody({ response, call, limits, created }: Exchange, text: string, completion: Completion) {
    if (call.target.kind === "tool") {
        const { durability, sequence, seal, status } = completion;
        response.writeHead(status >= 200 && status <= 599 ? status : 502, {
            "content-type": isJson(text) ? "application/json" : "text/plain; charset=utf-8",
            "tg-durability": durability,
            "tg-sequence": String(sequence),
            ...(seal === undefined ? {} : { "tg-seal": seal }),
        });
        await end(response, text, limits.writeTimeout);
        return;
    }
    response.writeHead(200, { "content-type": "application/json" });
    const message = { role: "assistant", content: text };
    const body = {
        id: `chatcmpl-${call.request}`,
        object: "chat.completion",
        created,
        model: call.target.model,
        choices: [{ index: 0, message, finish_reason: completion.reason }],
        ...completionFields(call, completion),
    };
    await end(response, JSON.stringify(body), limits.writeTimeout);
}

function isJson(text: string): boolean {
    try {
        JSON.parse(text);
        return true;
    }
    catch {
        return false;
    }
}

function openStream(response: ServerResponse): void {
    if (!response.headersSent) {
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
    }
}

function errorEvent(refusal: Refusal): string {
    return `event: error\ndata: ${refusalBody(refusal)}\n\n`;
}

/** The token usage, and the properties of a finished call for which chat completions has no field. */
function completionFields(call: Call,
    { promptTokens, cachedTokens, tokens, durability, sequence, seal, upstream }: Completion) {
    return {
        usage: {
            prompt_tokens: promptTokens,
            completion_tokens: tokens,
            total_tokens: promptTokens + tokens,
            prompt_tokens_details: { cached_tokens: cachedTokens },
        },
        tamarackgauge: { program: call.program, request: call.request, durability, sequence, seal, upstream },
    };
}

/** Formats the chunks of one answer. Their common part is serialized only once, since most chunks are short. */
function createChunks({ call, created }: Exchange) {
    const model = call.target.kind === "model" ? call.target.model : "";
    const shared = { id: `chatcmpl-${call.request}`, object: "chat.completion.chunk", created, model };
    const sharedPrefix = JSON.stringify(shared).slice(0, -1);
    let role = `"role":"assistant",`;
    let position = call.offset;

    function text(offset: number, content: string): string {
        position = offset + content.length;
        const delta = `{${role}"content":${JSON.stringify(content)}}`;
        role = "";
        return `id: ${position}\ndata: ${sharedPrefix},"choices":[{"index":0,"delta":${delta},"finish_reason":null}]}\n\n`;
    }

    function done(completion: Completion): string {
        const choices = [{ index: 0, delta: {}, finish_reason: completion.reason }];
        const chunk = { ...shared, choices, ...completionFields(call, completion) };
        return `id: ${position}\ndata: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
    }

    return { text, done };
}

function startKeepAliveComments(response: ServerResponse, interval: number): () => void {
    const timer = setInterval(() => {
        if (response.headersSent && !response.writableEnded && response.writableLength === 0) {
            response.write(": waiting\n\n");
        }
    }, interval);
    return () => clearInterval(timer);
}
