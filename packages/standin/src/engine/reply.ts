import type { LoadReport } from "@tamarackgauge/core";
import type { ServerResponse } from "node:http";
import { sendJson } from "../listener.ts";

/** The token counts at the end of an answer. */
export interface Usage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly tokens: number;
}

/** Sends an answer in the format of the chat completions API. */
export interface Reply {
    /** Sends the headers if they can be sent before the first token. */
    open(load: LoadReport): void;
    text(text: string): void;
    end(reason: "stop" | "length", usage: Usage, load: LoadReport): void;
}

/** A reply streamed as server-sent events. */
export function createStreamReply(response: ServerResponse, id: string, model: string): Reply {
    const commonFields = { id, object: "chat.completion.chunk", model };
    const chunk = (body: object) => `data: ${JSON.stringify({ ...commonFields, ...body })}\n\n`;
    return {
        open(load) {
            response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-engine-load": JSON.stringify(load),
            });
            response.flushHeaders();
        },
        text(text) {
            response.write(chunk({ choices: [{ index: 0, delta: { content: text }, finish_reason: null }] }));
        },
        end(reason, usage, load) {
            const choices = [{ index: 0, delta: {}, finish_reason: reason }];
            response.end(`${chunk({ choices, usage: usageBody(usage), "x-engine-load": load })}data: [DONE]\n\n`);
        },
    };
}

/** A reply sent as one JSON body. */
export function createJsonReply(response: ServerResponse, id: string, model: string): Reply {
    let content = "";
    return {
        open() {},
        text(text) {
            content += text;
        },
        end(reason, usage, load) {
            response.setHeader("x-engine-load", JSON.stringify(load));
            sendJson(response, 200, {
                id,
                object: "chat.completion",
                model,
                choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: reason }],
                usage: usageBody(usage),
                "x-engine-load": load,
            });
        },
    };
}

function usageBody({ promptTokens, cachedTokens, tokens }: Usage): object {
    return {
        prompt_tokens: promptTokens,
        completion_tokens: tokens,
        total_tokens: promptTokens + tokens,
        prompt_tokens_details: { cached_tokens: cachedTokens },
    };
}
