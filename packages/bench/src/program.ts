import { z } from "zod";

const tokens = z.int().min(1).max(1_000_000);
const pause = z.number().min(0).max(86_400_000);
const name = z.string().regex(/^[!-~]{1,64}$/, "must be 1-64 visible ASCII characters");

/** A model turn: tokens that are new in its prompt, tokens generated, ms until the next step. */
const modelStep = z.strictObject({
    type: z.literal("model"),
    model: name,
    promptTokens: tokens,
    outputTokens: tokens,
    pauseMs: pause,
});

/** A call of a plain service. */
const toolStep = z.strictObject({
    type: z.literal("tool"),
    service: name,
    atMostOnce: z.boolean(),
    pauseMs: pause,
});

const callStep = z.discriminatedUnion("type", [modelStep, toolStep]);

/** A sub-agent: a program of its own that its parent waits for. */
const agentStep = z.strictObject({ type: z.literal("agent"), steps: z.array(callStep).min(1).max(1_000) });

/** A program of a trace. Times are model time in ms; the scale of a run divides them. */
export const program = z.strictObject({
    name,
    plan: name,
    kind: name,
    long: z.boolean(),
    startMs: z.number().min(0),
    steps: z.array(z.discriminatedUnion("type", [modelStep, toolStep, agentStep])).min(1).max(1_000),
});

/** A program of a trace. Times are model time in ms; the scale of a run divides them. */
export type Program = z.infer<typeof program>;

/** A step of a program. */
export type Step = Program["steps"][number];

/** A step that is one call. */
export type CallStep = z.infer<typeof callStep>;

/** A model turn. */
export type ModelStep = z.infer<typeof modelStep>;
