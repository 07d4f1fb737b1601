import { type Call, type Completion, message as chatMessage, type Refusal } from "@tamarackgauge/core";
import { Packr } from "msgpackr";
import { z } from "zod";
import { ProtocolError } from "./reason.ts";

/**
 * Message kinds, as sent on the wire. The daemon that opens a stream or sends a query chooses its id; ids increase by
 * one on each link.
 */
export const messageKinds = { call: 1, text: 2, done: 3, refused: 4, cancel: 5, credit: 6, heartbeat: 7, query: 8,
    queryResult: 9, queryError: 10, probe: 11 } as const;

/**
 * A message within a frame. Bodies are packed separately, so that their size is known when they are queued. Text is
 * not: a frame with many tokens packs faster in one pass.
 */
export type WireMessage =
    | readonly [kind: typeof messageKinds.call, id: number, call: Uint8Array]
    | readonly [kind: typeof messageKinds.text, id: number, offset: number, text: string]
    | readonly [kind: typeof messageKinds.done, id: number, completion: Uint8Array]
    | readonly [kind: typeof messageKinds.refused, id: number, refusal: Uint8Array]
    | readonly [kind: typeof messageKinds.cancel, id: number]
    | readonly [kind: typeof messageKinds.credit, id: number, bytes: number]
    | readonly [kind: typeof messageKinds.heartbeat, wantsReply: boolean, beat: Uint8Array]
    | readonly [kind: typeof messageKinds.query, id: number, name: string, body: Uint8Array]
    | readonly [kind: typeof messageKinds.queryResult, id: number, body: Uint8Array]
    | readonly [kind: typeof messageKinds.queryError, id: number, message: string]
    | readonly [kind: typeof messageKinds.probe];

// Records and extension types are disabled: they would carry state from frame to frame, and the messages need neither.
const packr = new Packr({ useRecords: false, moreTypes: false, int64AsType: "number" });

export function pack(value: unknown): Buffer {
    return packr.pack(value);
}

/** Throws ProtocolError if the bytes are not exactly one packed value. */
export function unpack(bytes: Uint8Array): unknown {
    try {
        return packr.unpack(bytes);
    }
    catch (error) {
        throw new ProtocolError("malformed", error instanceof Error ? error.message : undefined);
    }
}

/** Decodes a frame and checks the structure of each message. Throws ProtocolError. */
export function readFrame(bytes: Uint8Array): readonly WireMessage[] {
    const frame = unpack(bytes);
    if (!Array.isArray(frame)) {
        throw new ProtocolError("malformed", "a frame is not an array");
    }
    for (const item of frame) {
        if (!isWireMessage(item)) {
            throw new ProtocolError("malformed", "a message has an unknown kind or invalid fields");
        }
    }
    return frame as WireMessage[];
}

/** Size of a message if it counts as control traffic, in bytes; 0 for messages of streams. */
export function controlBytesOf(message: WireMessage): number {
    switch (message[0]) {
        case messageKinds.heartbeat:
            return message[2].length + 5;
        case messageKinds.query:
            return message[3].length + message[2].length + 10;
        case messageKinds.queryResult:
            return message[2].length + 9;
        case messageKinds.queryError:
            return message[2].length + 9;
        case messageKinds.probe:
            return 2;
        default:
            return 0;
    }
}

/** Upper bound of the packed size of a message, in bytes. */
export function maxPackedBytes(message: WireMessage): number {
    switch (message[0]) {
        case messageKinds.text:
            return 24 + 3 * message[3].length;
        case messageKinds.query:
            return 24 + 3 * message[2].length + message[3].length;
        case messageKinds.queryError:
            return 24 + 3 * message[2].length;
        case messageKinds.cancel:
        case messageKinds.credit:
        case messageKinds.probe:
            return 24;
        default:
            return 24 + message[2].length;
    }
}

function isWireMessage(item: unknown): item is WireMessage {
    if (!Array.isArray(item)) {
        return false;
    }
    const [kind, first, second, third] = item as readonly unknown[];
    if (kind === messageKinds.heartbeat) {
        return item.length === 3 && typeof first === "boolean" && second instanceof Uint8Array;
    }
    if (kind === messageKinds.probe) {
        return item.length === 1;
    }
    if (!isCount(first)) {
        return false;
    }
    switch (kind) {
        case messageKinds.text:
            return item.length === 4 && isCount(second) && typeof third === "string";
        case messageKinds.call:
        case messageKinds.done:
        case messageKinds.refused:
        case messageKinds.queryResult:
            return item.length === 3 && second instanceof Uint8Array;
        case messageKinds.cancel:
            return item.length === 2;
        case messageKinds.credit:
            return item.length === 3 && isCount(second);
        case messageKinds.query:
            return item.length === 4 && typeof second === "string" && third instanceof Uint8Array;
        case messageKinds.queryError:
            return item.length === 3 && typeof second === "string";
        default:
            return false;
    }
}

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

const nonNegativeInteger = z.int().min(0);
const text = z.string();
const modelTarget = z.looseObject({
    kind: z.literal("model"),
    model: text,
    messages: z.array(chatMessage),
    maxTokens: nonNegativeInteger,
    parameters: z.record(text, z.unknown()).optional(),
    history: z.looseObject({ messages: z.array(chatMessage), seal: text }).optional(),
});
const toolTarget = z.looseObject({ kind: z.literal("tool"), service: text, path: text, body: text });
const callSchema = z.looseObject({
    plan: text,
    program: text,
    request: text,
    sequence: nonNegativeInteger.optional(),
    parent: text.optional(),
    atMostOnce: z.boolean(),
    end: z.boolean(),
    offset: nonNegativeInteger,
    partial: text.optional(),
    digest: text,
    target: z.discriminatedUnion("kind", [modelTarget, toolTarget]),
});
const completionSchema = z.looseObject({
    reason: text,
    status: nonNegativeInteger,
    promptTokens: nonNegativeInteger,
    cachedTokens: nonNegativeInteger,
    tokens: nonNegativeInteger,
    durability: z.enum(["stored", "caller"]),
    sequence: nonNegativeInteger,
    upstream: text,
    seal: text.optional(),
});
// The name is not checked against the table of codes, because a newer daemon may have codes that this one lacks.
const refusalSchema = z.looseObject({
    code: nonNegativeInteger,
    name: text,
    message: text,
    run: z.enum(["notRun", "unknown"]),
    retryAfterMs: z.number().min(0).optional(),
});

/** Throws ProtocolError if the bytes are not a call. */
export function readCall(bytes: Uint8Array): Call {
    return readBody(callSchema, bytes, "call");
}

/** Throws ProtocolError if the bytes are not a completion. */
export function readCompletion(bytes: Uint8Array): Completion {
    return readBody(completionSchema, bytes, "completion");
}

/** Throws ProtocolError if the bytes are not a refusal. */
export function readRefusal(bytes: Uint8Array): Refusal {
    return readBody(refusalSchema, bytes, "refusal") as Refusal;
}

/** Unpacks a body and validates it. Throws ProtocolError, whose message contains `description`. */
export function readBody<T>(schema: z.ZodType<T>, bytes: Uint8Array, description: string): T {
    const result = schema.safeParse(unpack(bytes));
    if (!result.success) {
        throw new ProtocolError("malformed", `the ${description} does not match its schema`);
    }
    return result.data;
}
