import type { Message } from "@tamarackgauge/core";
import { textOf, tokenLength } from "./prompt.ts";

/** The text that an engine gives for a prompt. It is produced on demand, since long answers are often cut off. */
export interface Answer {
    /** Characters. */
    readonly length: number;
    slice(from: number, to: number): string;
}

const consonants = "bdfghjklmnprstvz";
const vowels = "aeiou";

/**
 * The answer for a prompt with this hash. The last user message may ask for a length with `[tokens=N]` and, as long as
 * no tool message follows it, for a tool call with `[tool=name]`. The answer then ends with `[call name <id>]`.
 */
export function createAnswer(hash: number, messages: readonly Message[]): Answer {
    const asked = messages.findLastIndex(message => message.role === "user");
    const text = asked < 0 ? "" : textOf(messages[asked]!);
    const wanted = /\[tokens=(\d{1,7})\]/.exec(text)?.[1];
    const words = wanted === undefined ? 16 + hash % 48 : Number(wanted);
    const tail = toolCall(hash, text, messages.slice(asked + 1));
    const body = words * tokenLength;
    return {
        length: body + tail.length,
        slice(from, to) {
            const first = Math.floor(from / tokenLength);
            const last = Math.min(words, Math.ceil(to / tokenLength));
            let out = "";
            for (let index = first; index < last; index++) {
                out += word(hash, index);
            }
            const start = first * tokenLength;
            return out.slice(from - start, to - start) + tail.slice(Math.max(0, from - body), Math.max(0, to - body));
        },
    };
}

function toolCall(hash: number, asked: string, later: readonly Message[]): string {
    const name = /\[tool=([\w./-]{1,128})\]/.exec(asked)?.[1];
    if (name === undefined || later.some(message => message.role === "tool")) {
        return "";
    }
    return `[call ${name} ${hash.toString(16).padStart(8, "0")}]`;
}

/** Three letters and a space. */
function word(hash: number, index: number): string {
    let mixed = Math.imul(hash ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35) >>> 0;
    return `${consonants[mixed & 15]!}${vowels[(mixed >>> 8) % 5]!}${consonants[(mixed >>> 16) & 15]!} `;
}
