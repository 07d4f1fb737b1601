import type { Message } from "@tamarackgauge/core";
import { createHash } from "node:crypto";

/** Characters per token. Answers consist of tokens of exactly this length. */
export const charactersPerToken = 4;

/** A prompt with one segment per message, so that prefixes can be compared message by message. */
export interface Prompt {
    readonly segments: readonly string[];
    readonly tokens: number;
    /** Tokens up to and including the last message of the assistant; some engine has already processed them. */
    readonly historyTokens: number;
}

/** Number of tokens of a text. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Number of tokens of a list of segments. */
export function countSegmentTokens(segments: readonly string[]): number {
    return segments.reduce((sum, segment) => sum + countTokens(segment), 0);
}

/** Creates the prompt for a list of messages. */
export function createPrompt(messages: readonly Message[]): Prompt {
    const segments = messages.map(message => segmentOf(message.role, textOf(message)));
    const historyEnd = messages.findLastIndex(message => message.role === "assistant") + 1;
    return { segments, tokens: countSegmentTokens(segments),
        historyTokens: countSegmentTokens(segments.slice(0, historyEnd)) };
}

/** The segment of one message. */
export function segmentOf(role: string, text: string): string {
    return `${role}\n${text}`;
}

/** The text of a message; parts other than text count as their JSON. */
export function textOf({ content }: Message): string {
    if (typeof content === "string") {
        return content;
    }
    return (content ?? []).map(part => typeof part.text === "string" ? part.text : JSON.stringify(part)).join("");
}

/** A 32-bit hash of the seed, the salt and all segments. */
export function hashPrompt(seed: number, salt: string, segments: readonly string[]): number {
    const hash = createHash("sha256").update(`${seed}\n${salt}`);
    segments.forEach(segment => hash.update("\0").update(segment));
    return hash.digest().readUInt32LE(0);
}
