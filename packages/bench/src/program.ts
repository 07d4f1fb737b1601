import { z } from "zod";

const tokenCountSchema = z.int().min(1).max(1_000_000);
const pauseSchema = z.number().min(0).max(86_400_000);
const nameSchema = z.string().regex(/^[!-~]{1,64}$/, "must be 1-64 visible ASCII characters");

/** A model turn: number of new prompt tokens, number of generated tokens, and pause before the next step in ms. */
const modelStepSchema = z.strictObject({
    type: z.literal("model"),
    model: nameSchema,
    promptTokens: tokenCountSchema,
    outputTokens: tokenCountSchema,
    pauseMs: pauseSchema,
});

/** A call of a plain service. */
const toolStepSchema = z.strictObject({
    type: z.literal("tool"),
    service: nameSchema,
    atMostOnce: z.boolean(),
    pauseMs: pauseSchema,
});

const callStepSchema = z.discriminatedUnion("type", [modelStepSchema, toolStepSchema]);

/** A sub-agent: a separate program for whose end its parent waits. */
const agentStepSchema = z.strictObject({ type: z.literal("agent"), steps: z.array(callStepSchema).min(1).max(1_000) });

/** A program of a trace. Times are model time in ms; they are divided by the scale when the trace is played. */
export const programSchema = z.strictObject({
    name: nameSchema,
    plan: nameSchema,
    kind: nameSchema,
    long: z.boolean(),
    startMs: z.number().min(0),
    steps: z.array(z.discriminatedUnion("type", [modelStepSchema, toolStepSchema, agentStepSchema])).min(1).max(1_000),
});

/** A program of a trace. Times are model time in ms; they are divided by the scale when the trace is played. */
export type Program = z.infer<typeof programSchema>;

export type Step = Program["steps"][number];

/** A step that consists of one call. */
export type CallStep = z.infer<typeof callStepSchema>;

/** A model turn. */
export type ModelStep = z.infer<typeof modelStepSchema>;
