import { renderAnswerHead, renderChunks, withoutCallId } from "@tamarackgauge/standin";
import { type CallScript, type Extra, isStreamed, type Reaction } from "./script.ts";

/** The event of a stream with a number. */
export function eventText(id: string, number: number, bytes: number): string {
    return `id: ${number}\ndata: ${eventData(id, number, bytes)}\n\n`;
}

function eventData(id: string, number: number, bytes: number): string {
    return `${id} ${number} `.padEnd(bytes, "x");
}

/** The whole content of the answer to a call, from the event after `lastEventId`. */
export function wholeContent(id: string, call: CallScript, lastEventId = 0): string {
    return isStreamed(call.route)
        ? Array.from({ length: Math.max(0, call.events - lastEventId) },
            (_, index) => eventText(id, lastEventId + index + 1, call.answerBytes)).join("")
        : `answer to ${id} `.padEnd(call.answerBytes, "y");
}

/** The data of the events in the body of a stream, each followed by a line feed. */
export function turnOutput(body: string): string {
    return [...body.matchAll(/^data: (.*)$/gm)].map(([, data]) => `${data}\n`).join("");
}

/** The body of a call as its caller sends it. */
export function callBody(id: string, { bodyBytes }: CallScript): string {
    return bodyBytes === 0 ? "" : `input of ${id};`.padEnd(bodyBytes, "z");
}

/** An answer in the form in which an upstream writes it. */
export interface PlannedAnswer {
    readonly status: number;
    readonly signature: string | undefined;
    readonly content: string;
    /** The bytes that are written before the connection ends. */
    readonly bytes: Buffer;
    /** Whether they are all of the answer, by its framing and by the way in which the connection ends. */
    readonly isWhole: boolean;
    /** Whether all of it is written and its framing shows its end, so that further bytes belong to no call. */
    readonly isDelimited: boolean;
    /** Whether the answer is one that a sound upstream gives. */
    readonly isSound: boolean;
}

/** What an answer is made of. */
export interface AnswerParts {
    readonly id: string;
    readonly call: CallScript;
    readonly reaction: Reaction;
    /** Signature of a signed answer. */
    readonly signature: string;
    readonly lastEventId: number | undefined;
}

const idOfAnother = "call-of-another";
const successStatus = 200;

/** Builds the bytes of an answer. */
export function planAnswer({ id, call, reaction, signature, lastEventId }: AnswerParts): PlannedAnswer {
    const { kind, framing, statusText } = reaction;
    const plainStatus = kind === "success" ? successStatus : reaction.status;
    const status = statusText === undefined ? plainStatus : readStatus(statusText);
    const signed = reaction.signed && kind !== "refusal" ? signature : undefined;
    const whole = kind === "success" ? wholeContent(id, call, lastEventId) : kind === "failure" ? "failed" : "";
    const content = whole.slice(0, portion(whole.length, reaction.contentPermille));
    const plainHead = renderAnswerHead({
        status: plainStatus,
        ids: { own: [id], none: [], other: [idOfAnother], two: [idOfAnother, id] }[reaction.id],
        signature: signed,
        // No success with another status: that would be a refusal of a call that ran.
        notRun: (kind === "refusal") !== (reaction.contradicts && statusText === undefined) && kind !== "failure",
        leaving: reaction.leaving,
        encoding: reaction.encoded ? "gzip" : undefined,
        closes: reaction.closes,
        streamed: kind === "success" && isStreamed(call.route),
        framing,
        length: content.length,
    });
    const head = statusText === undefined ? plainHead : plainHead.replace(` ${plainStatus} `, ` ${statusText} `);
    const body = Buffer.from(content, "latin1");
    const answer = Buffer.concat([
        Buffer.from(`HTTP/1.1 ${reaction.interimStatus} Interim\r\n\r\n`.repeat(reaction.informational) + head,
            "latin1"),
        framing === "chunks" ? renderChunks([body], true) : body,
    ]);
    const bytes = answer.subarray(0, portion(answer.length, reaction.sentPermille));
    const isAllSent = bytes.length === answer.length;
    const parts = { status, signature: signed, bytes, isDelimited: isAllSent && framing !== "none",
        isSound: isAllSent && isSoundReaction(reaction) };
    if (framing !== "none") {
        return { ...parts, content, isWhole: isAllSent };
    }
    // The end of the connection ends the content, wherever it comes.
    const contentStart = answer.length - content.length;
    return { ...parts, content: bytes.toString("latin1", contentStart), isWhole: bytes.length >= contentStart &&
        (reaction.end === "fin" || (reaction.end === "keep" && !isAllSent)) };
}

/** The status that a text is; 0 if it is none. */
function readStatus(text: string): number {
    return /^[1-9]\d\d$/.test(text) ? Number(text) : 0;
}

function isSoundReaction(reaction: Reaction): boolean {
    const { kind, statusText, id, signed, contradicts, encoded, contentPermille, end, framing, early, before } =
        reaction;
    return kind === "success" && statusText === undefined && id === "own" && signed && !contradicts && !encoded &&
        contentPermille === 1_000 &&
        (end === "fin" || (end === "keep" && framing !== "none")) && !early && before === undefined;
}

/** Whether content that should be a stream consists of whole events, at least one. */
export function endsAfterEvent(content: string): boolean {
    return content.endsWith("\n\n");
}

const otherRefusal = renderAnswerHead({ status: 503, ids: [idOfAnother], signature: undefined, notRun: true,
    leaving: undefined, encoding: undefined, closes: false, streamed: false, framing: "length", length: 0 });

/** Builds bytes that belong to no call. `previous` is the last answer that was written on the connection. */
export function extraBytes({ kind, namesCall, permille }: Extra, previous: Buffer | undefined): Buffer {
    const source = kind === "garbage" ? "\0\x01 no answer \r\n" : kind === "copy"
        ? previous?.toString("latin1") ?? ""
        : otherRefusal;
    const text = namesCall ? source : withoutCallId(source);
    return Buffer.from(text.slice(0, portion(text.length, permille)), "latin1");
}

/** The share of a length, rounded up, so that no share but 0 is empty. */
export function portion(length: number, permille: number): number {
    return Math.ceil(length * permille / 1_000);
}
