import type { StoreFailure } from "@tamarackgauge/core/gateway";
import { unpack } from "msgpackr";
import { z } from "zod";

const nonNegativeInteger = z.number().int().nonnegative();
/** An event may count for a part of a token. */
const tokenCount = z.number().nonnegative();
const buffer = z.custom<Buffer>(value => Buffer.isBuffer(value));
const rowName = z.object({ table: z.string(), part: z.string(), key: z.string() });
const row = rowName.extend({ value: buffer, version: nonNegativeInteger, removed: z.boolean() });
const page = z.object({ rows: z.array(row).readonly(), more: z.boolean(), version: nonNegativeInteger });
const range = z.object({ table: z.string(), part: z.string(), from: z.string().optional(), to: z.string().optional(),
    limit: nonNegativeInteger.optional() });
const change = z.object({
    conditions: z.array(rowName.extend({ version: nonNegativeInteger })).readonly().optional(),
    puts: z.array(rowName.extend({ value: buffer })).readonly().optional(),
    removals: z.array(rowName).readonly().optional(),
});
const turn = z.object({ program: z.string(), most: tokenCount, budget: tokenCount });

/** A call of the store that another gateway is asked to make; times in milliseconds. */
const relayedCallSchemas = [
    z.object({ kind: z.literal("read"), range, timeout: nonNegativeInteger }),
    z.object({ kind: z.literal("change"), change, timeout: nonNegativeInteger }),
    z.object({ kind: z.literal("feed"), table: z.string(), after: nonNegativeInteger, wait: nonNegativeInteger }),
] as const;

/** What a gateway asks of the one that keeps the tokens of a program. */
const tokenCallSchemas = [
    /** Counts a turn's most as generated; the answer is a `LoanOutcome`. */
    z.object({ kind: z.literal("borrow"), turn }),
    /** Tokens that were borrowed and not generated. */
    z.object({ kind: z.literal("return"), program: z.string(), tokens: tokenCount }),
    /** The asker needs tokens that a grant may hold and no turn uses; the answer is a `RecallOutcome`. */
    z.object({ kind: z.literal("recall"), holder: z.string(), program: z.string() }),
] as const;

const peerCallSchema = z.discriminatedUnion("kind", [...relayedCallSchemas, ...tokenCallSchemas]);
const peerRequestSchema = z.object({ id: nonNegativeInteger, call: peerCallSchema });
const storeFailures = ["refused", "away", "unknown"] as const satisfies readonly StoreFailure[];
const peerAnswerSchema = z.union([
    z.object({ id: nonNegativeInteger, failure: z.enum(storeFailures), reason: z.string() }),
    z.object({ id: nonNegativeInteger, result: z.unknown() }),
]);

/** What each kind of call is answered with. */
const resultSchemas = {
    read: page,
    change: z.discriminatedUnion("applied", [
        z.object({ applied: z.literal(true), version: nonNegativeInteger }),
        z.object({ applied: z.literal(false), rows: z.array(row).readonly() }),
    ]),
    feed: z.union([page, z.literal("historyLost")]),
    borrow: z.enum(["lent", "exhausted", "unavailable"]),
    return: z.literal(true),
    recall: z.enum(["settled", "gone", "pending"]),
} as const satisfies Record<PeerCall["kind"], z.ZodType>;

/** What gateways ask each other. */
export type PeerCall = z.infer<typeof peerCallSchema>;

/** A call of the store that another gateway is asked to make. */
export type RelayedCall = z.infer<(typeof relayedCallSchemas)[number]>;

/** What a gateway asks of the one that keeps the tokens of a program. */
export type TokenCall = z.infer<(typeof tokenCallSchemas)[number]>;

/** A call with the number that its answer bears. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

/** The answer to a call. */
export type PeerAnswer = z.infer<typeof peerAnswerSchema>;

/** What a call is answered with, by its kind. */
export type PeerResult<Kind extends PeerCall["kind"]> = z.infer<(typeof resultSchemas)[Kind]>;

/** Decodes a request; undefined if it cannot be read. */
export function decodePeerRequest(data: Buffer): PeerRequest | undefined {
    return decode(peerRequestSchema, data);
}

/** Decodes an answer; undefined if it cannot be read. */
export function decodePeerAnswer(data: Buffer): PeerAnswer | undefined {
    return decode(peerAnswerSchema, data);
}

/** Whether a result is what a call of a kind is answered with. */
export function isValidResult(kind: PeerCall["kind"], result: unknown): boolean {
    return resultSchemas[kind].safeParse(result).success;
}

/** Whether a call concerns the tokens of a program. */
export function isTokenCall(call: PeerCall): call is TokenCall {
    return tokenCallSchemas.some(({ shape }) => shape.kind.value === call.kind);
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
