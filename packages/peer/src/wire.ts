import { type Call, type Completion, message as chatMessage, type Refusal } from "@tamarackgauge/core";
import { Packr } from "msgpackr";
import { z } from "zod";
import { ProtocolError } from "./reason.ts";

/** Kinds of messages. Ids are chosen by the daemon that opens the stream or asks, and grow by one on each link. */
export const kinds = { call: 1, text: 2, done: 3, refused: 4, cancel: 5, credit: 6, beat: 7, ask: 8, answer: 9,
    failed: 10, probe: 11 } as const;

/**
 * A message of a frame. Larger bodies are packed on their own, so that their size is known when they are queued;
 * text is not, because a frame of many tokens packs faster in one piece.
 */
export type WireMessage =
    | readonly [kind: typeof kinds.call, id: number, call: Uint8Array]
    | readonly [kind: typeof kinds.text, id: number, offset: number, text: string]
    | readonly [kind: typeof kinds.done, id: number, completion: Uint8Array]
    | readonly [kind: typeof kinds.refused, id: number, refusal: Uint8Array]
    | readonly [kind: typeof kinds.cancel, id: number]
    | readonly [kind: typeof kinds.credit, id: number, bytes: number]
    | readonly [kind: typeof kinds.beat, wantsReply: boolean, beat: Uint8Array]
    | readonly [kind: typeof kinds.ask, id: number, name: string, body: Uint8Array]
    | readonly [kind: typeof kinds.answer, id: number, body: Uint8Array]
    | readonly [kind: typeof kinds.failed, id: number, message: string]
    | readonly [kind: typeof kinds.probe];

// Records and extension types are off: they add state between frames, and the messages need neither.
const packr = new Packr({ useRecords: false, moreTypes: false, int64AsType: "number" });

/** Packs one value. */
export function pack(value: unknown): Buffer {
    return packr.pack(value);
}

/** Unpacks one value. Throws ProtocolError if the bytes are not exactly one value. */
export function unpack(bytes: Uint8Array): unknown {
    try {
        return packr.unpack(bytes);
    }
    catch (error) {
        throw new ProtocolError("malformed", error instanceof Error ? error.message : undefined);
    }
}

/** The messages of a frame, each of the right shape. Throws ProtocolError. */
export function readFrame(bytes: Uint8Array): readonly WireMessage[] {
    const frame = unpack(bytes);
    if (!Array.isArray(frame)) {
        throw new ProtocolError("malformed", "a frame is not an array");
    }
    for (const item of frame) {
        if (!isMessage(item)) {
            throw new ProtocolError("malformed", "a message has the wrong shape");
        }
    }
    return frame as WireMessage[];
}

/** Bytes of the frame that are control traffic. */
export function controlSize(message: WireMessage): number {
    switch (message[0]) {
        case kinds.beat:
            return message[2].length + 5;
        case kinds.ask:
            return message[3].length + message[2].length + 10;
        case kinds.answer:
            return message[2].length + 9;
        case kinds.failed:
            return message[2].length + 9;
        case kinds.probe:
            return 2;
        default:
            return 0;
    }
}

/** Upper bound of the packed size of a message. */
export function sizeOf(message: WireMessage): number {
    switch (message[0]) {
        case kinds.text:
            return 24 + 3 * message[3].length;
        case kinds.ask:
            return 24 + 3 * message[2].length + message[3].length;
        case kinds.failed:
            return 24 + 3 * message[2].length;
        case kinds.cancel:
        case kinds.credit:
        case kinds.probe:
            return 24;
        default:
            return 24 + message[2].length;
    }
}

function isMessage(item: unknown): item is WireMessage {
    if (!Array.isArray(item)) {
        return false;
    }
    const [kind, first, second, third] = item as readonly unknown[];
    if (kind === kinds.beat) {
        return item.length === 3 && typeof first === "boolean" && second instanceof Uint8Array;
    }
    if (kind === kinds.probe) {
        return item.length === 1;
    }
    if (!isCount(first)) {
        return false;
    }
    switch (kind) {
        case kinds.text:
            return item.length === 4 && isCount(second) && typeof third === "string";
        case kinds.call:
        case kinds.done:
        case kinds.refused:
        case kinds.answer:
            return item.length === 3 && second instanceof Uint8Array;
        case kinds.cancel:
            return item.length === 2;
        case kinds.credit:
            return item.length === 3 && isCount(second);
        case kinds.ask:
            return item.length === 4 && typeof second === "string" && third instanceof Uint8Array;
        case kinds.failed:
            return item.length === 3 && typeof second === "string";
        default:
            return false;
    }
}

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

const count = z.int().min(0);
const text = z.string();
const modelTarget = z.looseObject({
    kind: z.literal("model"),
    model: text,
    messages: z.array(chatMessage),
    maxTokens: count,
    parameters: z.record(text, z.unknown()).optional(),
    history: z.looseObject({ messages: z.array(chatMessage), seal: text }).optional(),
});
const toolTarget = z.looseObject({ kind: z.literal("tool"), service: text, path: text, body: text });
const callSchema = z.looseObject({
    plan: text,
    program: text,
    request: text,
    sequence: count.optional(),
    parent: text.optional(),
    atMostOnce: z.boolean(),
    end: z.boolean(),
    offset: count,
    partial: text.optional(),
    digest: text,
    target: z.discriminatedUnion("kind", [modelTarget, toolTarget]),
});
const completionSchema = z.looseObject({
    reason: text,
    status: count,
    promptTokens: count,
    cachedTokens: count,
    tokens: count,
    durability: z.enum(["stored", "caller"]),
    sequence: count,
    upstream: text,
    seal: text.optional(),
});
// A newer daemon may know more codes than this one, so the name is not checked against the table.
const refusalSchema = z.looseObject({
    code: count,
    name: text,
    message: text,
    run: z.enum(["notRun", "unknown"]),
    retryAfterMs: z.number().min(0).optional(),
});

/** Throws ProtocolError if the bytes are not a call. */
export function readCall(bytes: Uint8Array): Call {
    return read(callSchema, bytes, "call");
}

/** Throws ProtocolError if the bytes are not a completion. */
export function readCompletion(bytes: Uint8Array): Completion {
    return read(completionSchema, bytes, "completion");
}

/** Throws ProtocolError if the bytes are not a refusal. */
export function readRefusal(bytes: Uint8Array): Refusal {
    return read(refusalSchema, bytes, "refusal") as Refusal;
}

/** Unpacks and checks a body. Throws ProtocolError naming `what`. */
export function read<T>(schema: z.ZodType<T>, bytes: Uint8Array, what: string): T {
    const result = schema.safeParse(unpack(bytes));
    if (!result.success) {
        throw new ProtocolError("malformed", `the ${what} has the wrong shape`);
    }
    return result.data;
}
