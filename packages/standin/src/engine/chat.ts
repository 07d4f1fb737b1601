import { message } from "@tamarackgauge/core";
import { z } from "zod";
import { createAnswer } from "./answer.ts";
import type { Sequence } from "./batch.ts";
import { createPrompt, hashPrompt, textOf } from "./prompt.ts";

/** Body of `/v1/chat/completions`. */
export const chatRequest = z.looseObject({
    model: z.string().default("any"),
    messages: z.array(message).min(1),
    max_tokens: z.number().int().positive().default(100_000),
    stream: z.boolean().default(false),
    priority: z.number().default(0),
    cache_salt: z.string().default(""),
    continue_final_message: z.boolean().default(false),
});

/** Body of `/v1/chat/completions`. */
export type ChatRequest = z.infer<typeof chatRequest>;

/**
 * Creates the sequence for a request. `foreign` is set when the request continues from a text that is not the beginning
 * of this engine's answer.
 */
export function createSequence(request: ChatRequest, seed: number): { sequence: Sequence; foreign: boolean; } {
    const last = request.messages.at(-1)!;
    const continues = request.continue_final_message && last.role === "assistant";
    const messages = continues ? request.messages.slice(0, -1) : request.messages;
    const partial = continues ? textOf(last) : "";
    const prompt = createPrompt(messages);
    const answer = createAnswer(hashPrompt(seed, request.cache_salt, prompt.segments), messages);
    const sequence: Sequence = {
        key: request.cache_salt,
        model: request.model,
        priority: request.priority,
        prompt,
        answer,
        maxTokens: request.max_tokens,
        position: Math.min(partial.length, answer.length),
        generatedTokens: 0,
        remainingPrefill: 0,
        cancelled: false,
        unsentText: "",
        countedTokens: 0,
    };
    return { sequence, foreign: answer.slice(0, partial.length) !== partial };
}
