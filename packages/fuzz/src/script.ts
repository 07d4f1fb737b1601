import { z } from "zod";

const milliseconds = z.number().int().min(0).max(10_000);
const byteCount = z.number().int().min(0).max(4_194_304);
const permille = z.number().int().min(0).max(1_000);

/** Kinds of routes, as the declaration of the gateway names them. */
export const routes = ["turn", "plan", "look", "pay"] as const;

/** A kind of route. */
export type Route = typeof routes[number];

/** Bytes that belong to no call, written before or after an answer. */
const extraSchema = z.object({
    /** `copy`: the last answer that was written on the connection; `refusal`: one of another call. */
    kind: z.enum(["copy", "refusal", "garbage"]),
    namesCall: z.boolean().default(true),
    /** Share of the bytes that are written. */
    permille: permille.default(1_000),
    delayMs: milliseconds.default(0),
});

/** How an upstream reacts to one attempt of a call. Nothing set: it serves the call. */
const reactionSchema = z.object({
    kind: z.enum(["success", "refusal", "failure"]).default("success"),
    /** Status of a refusal or a failure. */
    status: z.number().int().min(200).max(599).default(503),
    /** What stands in the place of the status. The first five are no status. */
    statusText: z.enum(["000", "099", "1000", "2OO", "", "600", "999"]).optional(),
    id: z.enum(["own", "none", "other", "two"]).default("own"),
    signed: z.boolean().default(true),
    /** Whether a success says that the call was not run, or a refusal does not say it. */
    contradicts: z.boolean().default(false),
    leaving: z.enum(["1", "0", "1, 0"]).optional(),
    encoded: z.boolean().default(false),
    closes: z.boolean().default(false),
    informational: z.number().int().min(0).max(2).default(0),
    interimStatus: z.enum(["100", "102", "103"]).default("103"),
    framing: z.enum(["length", "chunks", "none"]).default("length"),
    /** Share of the content that the answer has; it is complete by its framing. */
    contentPermille: permille.default(1_000),
    /** Share of the answer's bytes that are written before the connection ends. */
    sentPermille: permille.default(1_000),
    end: z.enum(["keep", "fin", "reset", "silence"]).default("keep"),
    /** Whether the answer is written before the body of the call has been read. */
    early: z.boolean().default(false),
    delayMs: milliseconds.default(0),
    /** Number of writes of the answer. */
    writes: z.number().int().min(1).max(20).default(1),
    pauseMs: milliseconds.default(0),
    before: extraSchema.optional(),
    after: extraSchema.optional(),
});

/** How a caller leaves before its answer is complete. */
const leaveSchema = z.object({
    afterMs: milliseconds.default(0),
    how: z.enum(["halfClose", "close", "reset"]).default("close"),
    /** Share of the call's bytes that are sent. */
    sentPermille: permille.default(1_000),
});

const callSchema = z.object({
    route: z.enum(routes).default("look"),
    version: z.enum(["1.0", "1.1"]).default("1.1"),
    bodyBytes: byteCount.default(10),
    framing: z.enum(["length", "chunks"]).default("length"),
    writes: z.number().int().min(1).max(20).default(1),
    pauseMs: milliseconds.default(0),
    deadlineMs: milliseconds.default(1_500),
    /** Whether a turn continues the last turn of its connection that was answered whole. */
    continues: z.boolean().default(true),
    expectsContinue: z.boolean().default(false),
    withReservedHeaders: z.boolean().default(false),
    closes: z.boolean().default(false),
    /** How long the caller does not read after it has sent the call. */
    readAfterMs: milliseconds.default(0),
    leave: leaveSchema.optional(),
    /** Number of events of the whole answer, if it is a stream, and size of each, or of the answer. */
    events: z.number().int().min(1).max(8).default(3),
    answerBytes: byteCount.default(20),
    /** Reactions to the first, second, ... attempt; further ones are served. */
    reactions: z.array(reactionSchema).max(8).default([]),
});

const connectionSchema = z.object({
    startMs: milliseconds.default(0),
    budget: z.number().int().min(0).max(10_000).default(1_000),
    calls: z.array(callSchema).min(1).max(8),
});

/** Refuses the first connections, or changes its entry in the list of upstreams. */
const upstreamSchema = z.object({
    service: z.enum(["models", "tools"]),
    refusedConnections: z.number().int().min(0).max(5).default(0),
    entry: z.object({ change: z.enum(["draining", "removed"]), atMs: milliseconds }).optional(),
});

/** What happens to one answer of the store. */
const storeReactionSchema = z.object({
    kind: z.enum(["pass", "busy", "reset", "lostReply", "silence", "cut", "split", "garbage"]).default("pass"),
    delayMs: milliseconds.default(0),
    /** Share of the answer's bytes that pass, or come before the pause of a split. */
    permille: permille.default(500),
});

/** All that callers, upstreams and the store send in one play. */
export const scriptSchema = z.object({
    upstreams: z.array(upstreamSchema).min(1).max(6).default([{ service: "models", refusedConnections: 0 }, {
        service: "tools",
        refusedConnections: 0,
    }]),
    connections: z.array(connectionSchema).min(1).max(4),
    /** Reactions to the store calls that the gateway makes once it is ready, in order; further ones pass. */
    store: z.array(storeReactionSchema).max(24).default([]),
});

/** All that callers, upstreams and the store send in one play. */
export type Script = z.output<typeof scriptSchema>;
export type ConnectionScript = Script["connections"][number];
export type CallScript = ConnectionScript["calls"][number];
export type Reaction = CallScript["reactions"][number];
export type Extra = z.output<typeof extraSchema>;
export type StoreReaction = Script["store"][number];
export type UpstreamScript = Script["upstreams"][number];

/** A reaction that serves the call. */
export const soundReaction: Reaction = reactionSchema.parse({});

/** Defaults of each kind of object in a script. */
export const scriptDefaults = {
    reaction: soundReaction,
    call: callSchema.parse({}),
    connection: { startMs: 0, budget: 1_000 },
    leave: leaveSchema.parse({}),
    extra: { namesCall: true, permille: 1_000, delayMs: 0 },
    upstream: { refusedConnections: 0 },
    storeReaction: storeReactionSchema.parse({}),
} as const;

/** Id of the call at a place of a script. */
export function callIdOf(connection: number, call: number): string {
    return `call-${connection}-${call}`;
}

/** Whether the answers of a route are streams. */
export function isStreamed(route: Route): boolean {
    return route === "turn" || route === "plan";
}

/** Whether a call of a route may be run more than once. */
export function isRepeatable(route: Route): boolean {
    return route === "plan" || route === "look";
}
