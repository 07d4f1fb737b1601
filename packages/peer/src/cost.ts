import type { AnswerEvent } from "@tamarackgauge/core";

type TextEvent = Extract<AnswerEvent, { type: "text"; }>;

/** Credit that a text event uses: about the heap that it holds while it waits at the receiver, in bytes. */
export function creditCostOf(text: string): number {
    return 64 + 2 * text.length;
}

/** Most UTF-16 code units of one text message, so that a large body cannot overrun the window by much. */
export const maxPieceLength = 8192;

/** Cuts a long text into pieces with their offsets, never between the two halves of a surrogate pair. */
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
