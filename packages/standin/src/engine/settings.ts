import { z } from "zod";

const positive = z.number().positive();
const count = z.number().int().positive();
const milliseconds = z.number().nonnegative();

/** Settings of the engine stand-in. Times are milliseconds before division by `scale`; sizes are tokens. */
export const engineSettings = z.object({
    port: z.number().int().min(0).max(65_535).default(0),
    name: z.string().default("engine"),
    /** Models served; any model when omitted. */
    models: z.array(z.string()).readonly().optional(),
    /** Maximum number of sequences that run at once. */
    batch: count.default(32),
    /** Capacity of the cache for prefixes and running calls. */
    cacheTokens: count.default(400_000),
    /** Prompt tokens computed per second. */
    prefillRate: positive.default(8000),
    /** Maximum number of prompt tokens computed in one step. */
    prefillChunk: count.default(256),
    /** Duration of a step with an empty batch. */
    stepMs: milliseconds.default(12),
    /** Time that each decoding sequence adds to a step. */
    sequenceMs: milliseconds.default(0.5),
    /** Whether a waiting call of higher priority preempts a running one. */
    preempt: z.boolean().default(false),
    reportLagMs: milliseconds.default(0),
    eventDelayMs: milliseconds.default(0),
    /** Share of the cache events that are lost. */
    eventDropRate: z.number().min(0).max(1).default(0),
    /** Time that loading a model takes. */
    loadMs: milliseconds.default(2000),
    /** Tokens per second at which a prefix is imported. */
    importRate: positive.default(500_000),
    /** Whether orders with an old fencing token are refused. */
    fenced: z.boolean().default(false),
    /** Engines with the same seed give the same answers. */
    seed: z.number().int().default(1),
    /** Divides all times. */
    scale: positive.default(1),
});

/** Settings of the engine stand-in, before defaults are applied. */
export type EngineOptions = z.input<typeof engineSettings>;

/** Settings of the engine stand-in, after defaults are applied. */
export type EngineSettings = z.output<typeof engineSettings>;
