import type { Message } from "@tamarackgauge/core";
import { charactersPerToken, textOf } from "./prompt.ts";

/**
 * The text that an engine generates for a prompt. It is generated on demand, since long answers are often cut short.
 */
export interface Answer {
    /** Length in characters. */
    readonly length: number;
    slice(from: number, to: number): string;
}

const consonants = "bdfghjklmnprstvz";
const vowels = "aeiou";

/**
 * Creates the answer for a prompt with this hash. The last user message can set the length with `[tokens=N]` and,
 * unless a tool message follows it, request a tool call with `[tool=name]`. The answer then ends with `[call name
 * <id>]`.
 */
export function createAnswer(hash: number, messages: readonly Message[]): Answer {
    const lastUserIndex = messages.findLastIndex(message => message.role === "user");
    const userText = lastUserIndex < 0 ? "" : textOf(messages[lastUserIndex]!);
    const requestedTokens = /\[tokens=(\d{1,7})\]/.exec(userText)?.[1];
    const tokenCount = requestedTokens === undefined ? 16 + hash % 48 : Number(requestedTokens);
    const toolCallText = formatToolCall(hash, userText, messages.slice(lastUserIndex + 1));
    const bodyLength = tokenCount * charactersPerToken;
    return {
        length: bodyLength + toolCallText.length,
        slice(from, to) {
            const first = Math.floor(from / charactersPerToken);
            const last = Math.min(tokenCount, Math.ceil(to / charactersPerToken));
            let out = "";
            for (let index = first; index < last; index++) {
                out += tokenText(hash, index);
            }
            const start = first * charactersPerToken;
            return out.slice(from - start, to - start) +
                toolCallText.slice(Math.max(0, from - bodyLength), Math.max(0, to - bodyLength));
        },
    };
}

function formatToolCall(hash: number, userText: string, laterMessages: readonly Message[]): string {
    const name = /\[tool=([\w./-]{1,128})\]/.exec(userText)?.[1];
    if (name === undefined || laterMessages.some(message => message.role === "tool")) {
        return "";
    }
    return `[call ${name} ${hash.toString(16).padStart(8, "0")}]`;
}

/** One token of an answer: three letters and a space. */
function tokenText(hash: number, index: number): string {
    let mixed = Math.imul(hash ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35) >>> 0;
    return `${consonants[mixed & 15]!}${vowels[(mixed >>> 8) % 5]!}${consonants[(mixed >>> 16) & 15]!} `;
}
