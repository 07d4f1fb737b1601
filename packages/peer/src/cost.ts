import type { AnswerEvent } from "@tamarackgauge/core";

type TextEvent = Extract<AnswerEvent, { type: "text"; }>;

/** Credit consumed by a text event: its approximate heap size while it is buffered at the receiver, in bytes. */
export function creditCostOf(text: string): number {
    return 64 + 2 * text.length;
}

/** Maximum length of a text message in UTF-16 code units, so that a large body cannot exceed the window by much. */
export const maxPieceLength = 8192;

/** Splits a long text into pieces with their offsets, without splitting surrogate pairs. */
export function* splitText(event: TextEvent): Generator<TextEvent> {
    const { text, offset } = event;
    let start = 0;
    while (text.length - start > maxPieceLength) {
        const last = text.charCodeAt(start + maxPieceLength - 1);
        const end = start + maxPieceLength - (last >= 0xd800 && last <= 0xdbff ? 1 : 0);
        yield { type: "text", offset: offset + start, text: text.slice(start, end) };
        start = end;
    }
    yield start === 0 ? event : { type: "text", offset: offset + start, text: text.slice(start) };
}
