import { renderAnswerHead, renderChunks } from "@tamarackgauge/standin";

/** How the upstream tells where its answer ends. */
export const framings = ["length", "chunks", "neither"] as const;

/** How the upstream tells where its answer ends. */
export type Framing = typeof framings[number];

/** The events of a stream that tests break off. */
export const events = ["id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"] as const;

/** The whole body of the stream. */
export const body = events.join("");

/** The part of the body that is sent if the stream ends at a place. */
export const sentBody = {
    "after the head": "",
    "inside an event": events[0] + events[1].slice(0, 9),
    "between events": events[0] + events[1],
    "after the last event": body,
} as const;

/** Where a stream ends. */
export type Place = keyof typeof sentBody;

/** The head of the answer to a call, which says that its connection closes after it. */
export function headOf(id: string, framing: Framing, content: string = body): string {
    return renderAnswerHead({ status: 200, ids: [id], signature: "s", notRun: false, leaving: undefined,
        encoding: undefined, closes: true, streamed: true, framing: framing === "neither" ? "none" : framing,
        length: content.length });
}

/** A part of the body in the form in which it is sent. */
export function frame(text: string, framing: Framing): string {
    return framing === "chunks" ? renderChunks([Buffer.from(text, "latin1")], false).toString("latin1") : text;
}

/** What marks the end of a complete body. */
export function endOf(framing: Framing): string {
    return framing === "chunks" ? "0\r\n\r\n" : "";
}
