import type { DispatchRefusalReason, EngineOutcome, StoreFailure } from "@tamarackgauge/core/gateway";
import { unpack } from "msgpackr";
import { z } from "zod";

const nonNegativeInteger = z.number().int().nonnegative();
/** Not necessarily an integer: an event may count as a fraction of a token. */
const tokenCount = z.number().nonnegative();
const buffer = z.custom<Buffer>(value => Buffer.isBuffer(value));
const rowName = z.object({ table: z.string(), part: z.string(), key: z.string() });
const row = rowName.extend({ value: buffer, version: nonNegativeInteger, removed: z.boolean() });
const page = z.object({ rows: z.array(row).readonly(), more: z.boolean(), version: nonNegativeInteger,
    time: z.number().optional() });
const range = z.object({ table: z.string(), part: z.string(), from: z.string().optional(), to: z.string().optional(),
    limit: nonNegativeInteger.optional() });
const change = z.object({
    conditions: z.array(rowName.extend({ version: nonNegativeInteger })).readonly().optional(),
    puts: z.array(rowName.extend({ value: buffer })).readonly().optional(),
    removals: z.array(rowName).readonly().optional(),
});
const turn = z.object({ program: z.string(), most: tokenCount, budget: tokenCount });

/** Store calls that a gateway asks another one to make. Times are in milliseconds. */
const relayedCallSchemas = [
    z.object({ kind: z.literal("read"), range, timeout: nonNegativeInteger }),
    z.object({ kind: z.literal("change"), change, timeout: nonNegativeInteger }),
    z.object({ kind: z.literal("feed"), table: z.string(), after: nonNegativeInteger, wait: nonNegativeInteger }),
] as const;

/** Requests to the home gateway of a program or to the holder of a grant. */
const tokenCallSchemas = [
    /** Counts the maximum tokens of a turn (`most`) as generated; the answer is a `LoanOutcome`. */
    z.object({ kind: z.literal("borrow"), turn }),
    /** Returns tokens that were borrowed but not generated. */
    z.object({ kind: z.literal("return"), program: z.string(), tokens: tokenCount }),
    /** Requests unused tokens of the holder's grant; the answer is a `RecallOutcome`. */
    z.object({ kind: z.literal("recall"), holder: z.string(), program: z.string() }),
] as const;

/** Milliseconds since an upstream stated a rate limit, or its end, in an answer. */
const statedAgo = z.number().nonnegative();
const requestsPerSecond = z.number().nonnegative();
const maxIncarnationLength = 1_000;
/** Identifies an incarnation of an upstream. */
const incarnation = z.string().max(maxIncarnationLength);

/** Requests to the gateway that issues the permits for an upstream's rate limit. Times are in milliseconds. */
const permitCallSchemas = [
    /** Asks for a permit to send one request; the answer is a `PermitAnswer`. */
    z.object({ kind: z.literal("permit"), upstream: incarnation, requestsPerSecond, statedAgo,
        maxDelay: z.number().nonnegative() }),
    /** Reports what an upstream has stated; no `requestsPerSecond` means that its limit has ended. */
    z.object({ kind: z.literal("rateLimit"), upstream: incarnation, requestsPerSecond: requestsPerSecond.optional(),
        statedAgo }),
] as const;

const permitDecision = z.object({ kind: z.enum(["granted", "denied"]), delay: z.number().nonnegative() });
const permitAnswer = z.object({
    decision: permitDecision,
    /** A statement of the upstream that is later than that of the request. */
    later: z.object({ requestsPerSecond: requestsPerSecond.optional(), statedAgo }).optional(),
});

const maxTeamNameLength = 1_000;
const teamName = z.string().max(maxTeamNameLength);
/** The quota of a team by the version of the declaration that the asking gateway knows. */
const declaredQuota = z.object({ version: z.number(), ratePerSecond: z.number().nonnegative(),
    burst: z.number().nonnegative() });
const maxCreditCount = 10_000;
const creditCount = nonNegativeInteger.max(maxCreditCount);
/** By whom and when credits were issued; only the issuer reads it. */
const creditIssue = z.object({ issuer: nonNegativeInteger, at: z.number() });

/** Requests to the gateways that decide about the quota of a team. */
const quotaCallSchemas = [
    /** Asks for credits, one for each request to be sent; the answer is a `CreditAnswer`. `forwarded`: not to be forwarded again. */
    z.object({ kind: z.literal("credit"), team: teamName, count: creditCount, quota: declaredQuota,
        forwarded: z.boolean() }),
    /** Gives unused credits back. */
    z.object({ kind: z.literal("creditReturn"), team: teamName, count: creditCount, issue: creditIssue }),
    /** The home asks its deputy for its share of a quota; the answer holds the credits that the deputy had at hand. */
    z.object({ kind: z.literal("quotaShare"), team: teamName, quota: declaredQuota }),
] as const;

const creditAnswer = z.object({
    granted: creditCount,
    /** Undefined if the credits cannot be given back. */
    issue: creditIssue.optional(),
    /** Milliseconds until there is a credit, if fewer were granted than asked for. */
    delay: z.number().nonnegative(),
    /** Milliseconds after which refused callers should come back. */
    wait: z.number().nonnegative(),
    /** The gateway cannot decide about the team, so that another one is to be asked. */
    undecided: z.boolean().optional(),
});

const maxIdLength = 256;
const maxListLength = 256;
const engineId = z.string().max(maxIdLength);
const engineIds = z.array(engineId).max(maxListLength).readonly();
const ms = z.number().nonnegative();
const placementKey = z.number().int().nonnegative();
const promptPart = z.object({ id: z.string().max(maxIdLength), tokens: tokenCount });
const upstreamLoad = z.object({ running: tokenCount, waiting: tokenCount, slots: tokenCount,
    slowness: z.number().positive(), age: ms });
const answerTiming = z.object({ timeToFirstByte: ms, latency: ms, events: nonNegativeInteger });
const engineOutcomes = ["answered", "rejected", "failed", "unused", "limited",
    "leaving"] as const satisfies readonly EngineOutcome[];

/** Requests to the gateway that places the calls of a model service. Times are in milliseconds. */
const dispatchCallSchemas = [
    /** Asks for a place at an engine; the answer is a `PlaceAnswer`, and may come after `maxWait`. */
    z.object({ kind: z.literal("place"), key: placementKey, service: z.string().max(maxIdLength),
        parts: z.array(promptPart).max(maxListLength).readonly(), promptTokens: tokenCount, maxTokens: tokenCount,
        dataCentre: z.string().max(maxIdLength), tried: engineIds, excluded: engineIds, only: engineIds.optional(),
        preferred: engineId.optional(), priority: z.number(), precedingTurns: nonNegativeInteger,
        wasSent: z.boolean().optional(), team: z.string().max(maxIdLength), program: nonNegativeInteger.optional(),
        maxWait: ms, timeLeft: ms }),
    /** Ends a placement. There is no answer. */
    z.object({ kind: z.literal("release"), key: placementKey, service: z.string().max(maxIdLength), upstream: engineId,
        incarnation: incarnation.optional(), outcome: z.enum(engineOutcomes), load: upstreamLoad.optional(),
        timing: answerTiming.optional() }),
    /** Ends a request for a place, as the caller has left. There is no answer. */
    z.object({ kind: z.literal("withdraw"), key: placementKey, service: z.string().max(maxIdLength) }),
] as const;

const refusalReasons = ["full", "wait", "expired"] as const satisfies readonly DispatchRefusalReason[];
const placeAnswer = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("placed"), upstream: z.string(), incarnation: incarnation.optional() }),
    z.object({ kind: z.literal("refused"), reason: z.enum(refusalReasons), retryAfter: ms, expectedWait: ms,
        ahead: nonNegativeInteger }),
    z.object({ kind: z.literal("noEngine") }),
    z.object({ kind: z.literal("withdrawn") }),
]);

const peerCallSchema = z.discriminatedUnion("kind", [...relayedCallSchemas, ...tokenCallSchemas, ...permitCallSchemas,
    ...quotaCallSchemas, ...dispatchCallSchemas]);
const peerRequestSchema = z.object({ id: nonNegativeInteger, call: peerCallSchema });
const storeFailures = ["refused", "away", "unknown"] as const satisfies readonly StoreFailure[];
const peerAnswerSchema = z.union([
    z.object({ id: nonNegativeInteger, failure: z.enum(storeFailures), reason: z.string() }),
    z.object({ id: nonNegativeInteger, result: z.unknown() }),
]);

/** Result of each kind of call. */
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
    permit: permitAnswer,
    rateLimit: z.literal(true),
    credit: creditAnswer,
    creditReturn: z.literal(true),
    /** `tokens` is undefined if the gateway is not the deputy. */
    quotaShare: z.object({ tokens: z.number().nonnegative().optional() }),
    place: placeAnswer,
    release: z.undefined(),
    withdraw: z.undefined(),
} as const satisfies Record<PeerCall["kind"], z.ZodType>;

/** Any request between gateways. */
export type PeerCall = z.infer<typeof peerCallSchema>;

/** A store call that a gateway asks another one to make. */
export type RelayedCall = z.infer<(typeof relayedCallSchemas)[number]>;

/** A request that concerns the token budget of a program. */
export type TokenCall = z.infer<(typeof tokenCallSchemas)[number]>;

/** A request that concerns the rate limit of an upstream. */
export type PermitCall = z.infer<(typeof permitCallSchemas)[number]>;

/** A request that concerns the quota of a team. */
export type QuotaCall = z.infer<(typeof quotaCallSchemas)[number]>;

/** The answer to a request for credits. */
export type CreditAnswer = z.infer<typeof creditAnswer>;

/** By whom and when credits were issued. */
export type CreditIssue = z.infer<typeof creditIssue>;

/** The answer to a request for a permit. */
export type PermitAnswer = z.infer<typeof permitAnswer>;

/** A request that concerns the placement of a call at an engine. */
export type DispatchPeerCall = z.infer<(typeof dispatchCallSchemas)[number]>;

/** The answer to a request for a place. */
export type PlaceAnswer = z.infer<typeof placeAnswer>;

/** A call that is not answered. */
export type PeerNotice = Extract<DispatchPeerCall, { kind: "release" | "withdraw"; }>;

/** A call with the id that its answer repeats. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

/** The answer to a call. */
export type PeerAnswer = z.infer<typeof peerAnswerSchema>;

/** Result of a kind of call. */
export type PeerResult<Kind extends PeerCall["kind"]> = z.infer<(typeof resultSchemas)[Kind]>;

/** Maximum size of a message between gateways. */
export const maxPeerMessageBytes = 4 * 1024 * 1024;

/** Decodes a request; undefined if it is malformed. */
export function decodePeerRequest(data: Buffer): PeerRequest | undefined {
    return decode(peerRequestSchema, data);
}

/** Decodes an answer; undefined if it is malformed. */
export function decodePeerAnswer(data: Buffer): PeerAnswer | undefined {
    return decode(peerAnswerSchema, data);
}

/** Whether a result matches the schema of a kind of call. */
export function isValidResult(kind: PeerCall["kind"], result: unknown): boolean {
    return resultSchemas[kind].safeParse(result).success;
}

/** Whether a call concerns the tokens of a program. */
export function isTokenCall(call: PeerCall): call is TokenCall {
    return tokenCallSchemas.some(({ shape }) => shape.kind.value === call.kind);
}

/** Whether a call concerns the rate limit of an upstream. */
export function isPermitCall(call: PeerCall): call is PermitCall {
    return permitCallSchemas.some(({ shape }) => shape.kind.value === call.kind);
}

/** Whether a call concerns the quota of a team. */
export function isQuotaCall(call: PeerCall): call is QuotaCall {
    return quotaCallSchemas.some(({ shape }) => shape.kind.value === call.kind);
}

/** Whether a call concerns the placement of a call at an engine. */
export function isDispatchCall(call: PeerCall): call is DispatchPeerCall {
    return call.kind === "place" || isNotice(call);
}

/** Whether a call is not answered. */
export function isNotice(call: PeerCall): call is PeerNotice {
    return call.kind === "release" || call.kind === "withdraw";
}

function decode<Schema extends z.ZodType>(schema: Schema, data: Buffer): z.infer<Schema> | undefined {
    try {
        return schema.safeParse(unpack(data)).data;
    }
    catch {
        // Not valid msgpack. The receiver closes the link.
        return undefined;
    }
}
