import type { StoreFailure } from "@tamarackgauge/core/gateway";
import { unpack } from "msgpackr";
import { z } from "zod";

const count = z.number().int().nonnegative();
/** An event may count for a part of a token. */
const tokens = z.number().nonnegative();
const bytes = z.custom<Buffer>(value => Buffer.isBuffer(value));
const rowName = z.object({ table: z.string(), part: z.string(), key: z.string() });
const row = rowName.extend({ value: bytes, version: count, removed: z.boolean() });
const page = z.object({ rows: z.array(row).readonly(), more: z.boolean(), version: count });
const range = z.object({ table: z.string(), part: z.string(), from: z.string().optional(), to: z.string().optional(),
    limit: count.optional() });
const change = z.object({
    conditions: z.array(rowName.extend({ version: count })).readonly().optional(),
    puts: z.array(rowName.extend({ value: bytes })).readonly().optional(),
    removals: z.array(rowName).readonly().optional(),
});
const turn = z.object({ program: z.string(), most: tokens, budget: tokens });

/** A call of the store that another gateway is asked to make; times in milliseconds. */
const relayedCalls = [
    z.object({ kind: z.literal("read"), range, timeout: count }),
    z.object({ kind: z.literal("change"), change, timeout: count }),
    z.object({ kind: z.literal("feed"), table: z.string(), after: count, wait: count }),
] as const;

/** What a gateway asks of the one that keeps the tokens of a program. */
const tokenCalls = [
    /** Counts a turn's most as generated; the answer is a `LoanOutcome`. */
    z.object({ kind: z.literal("borrow"), turn }),
    /** Tokens that were borrowed and not generated. */
    z.object({ kind: z.literal("return"), program: z.string(), tokens }),
    /** The asker needs tokens that a grant may hold and no turn uses; the answer is a `RecallOutcome`. */
    z.object({ kind: z.literal("recall"), holder: z.string(), program: z.string() }),
] as const;

const peerCall = z.discriminatedUnion("kind", [...relayedCalls, ...tokenCalls]);
const peerRequest = z.object({ id: count, call: peerCall });
const failures = ["refused", "away", "unknown"] as const satisfies readonly StoreFailure[];
const peerAnswer = z.union([
    z.object({ id: count, failure: z.enum(failures), reason: z.string() }),
    z.object({ id: count, result: z.unknown() }),
]);

/** What each kind of call is answered with. */
const results = {
    read: page,
    change: z.discriminatedUnion("applied", [
        z.object({ applied: z.literal(true), version: count }),
        z.object({ applied: z.literal(false), rows: z.array(row).readonly() }),
    ]),
    feed: z.union([page, z.literal("historyLost")]),
    borrow: z.enum(["lent", "exhausted", "unavailable"]),
    return: z.literal(true),
    recall: z.enum(["settled", "gone", "pending"]),
} as const satisfies Record<PeerCall["kind"], z.ZodType>;

/** What gateways ask each other. */
export type PeerCall = z.infer<typeof peerCall>;

/** A call of the store that another gateway is asked to make. */
export type RelayedCall = z.infer<(typeof relayedCalls)[number]>;

/** What a gateway asks of the one that keeps the tokens of a program. */
export type TokenCall = z.infer<(typeof tokenCalls)[number]>;

/** A call with the number that its answer bears. */
export type PeerRequest = z.infer<typeof peerRequest>;

/** The answer to a call. */
export type PeerAnswer = z.infer<typeof peerAnswer>;

/** What a call is answered with, by its kind. */
export type PeerResult<Kind extends PeerCall["kind"]> = z.infer<(typeof results)[Kind]>;

/** Decodes a request; undefined if it cannot be read. */
export function decodePeerRequest(data: Buffer): PeerRequest | undefined {
    return decode(peerRequest, data);
}

/** Decodes an answer; undefined if it cannot be read. */
export function decodePeerAnswer(data: Buffer): PeerAnswer | undefined {
    return decode(peerAnswer, data);
}

/** Whether a result is what a call of a kind is answered with. */
export function isResultOf(kind: PeerCall["kind"], result: unknown): boolean {
    return results[kind].safeParse(result).success;
}

/** Whether a call concerns the tokens of a program. */
export function isTokenCall(call: PeerCall): call is TokenCall {
    return tokenCalls.some(({ shape }) => shape.kind.value === call.kind);
}

function decode<Schema extends z.ZodType>(schema: Schema, data: Buffer): z.infer<Schema> | undefined {
    try {
        return schema.safeParse(unpack(data)).data;
    }
    catch {
        // Bytes that are no message; whoever receives them logs that.
        return undefined;
    }
}
