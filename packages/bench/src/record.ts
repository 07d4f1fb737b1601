import { z } from "zod";

/** One model turn: ms from sending to the first token and to the end, and number of tokens received. */
const turnRecordSchema = z.object({ firstTokenMs: z.number(), wholeMs: z.number(), tokens: z.number() });

/** The outcome of a program; times are real milliseconds since the start of the run. */
export const programRecordSchema = z.object({
    name: z.string(),
    kind: z.string(),
    long: z.boolean(),
    startMs: z.number(),
    endMs: z.number(),
    /** `left`: the caller hung up; `unfinished`: the run was stopped before the program ended. */
    outcome: z.enum(["completed", "refused", "left", "failed", "unfinished"]),
    /** Result code of the refusal that ended the program. */
    code: z.number().optional(),
    /** Time from sending a call to its refusal, for each refusal. */
    refusalMs: z.array(z.number()),
    turns: z.array(turnRecordSchema),
});

/** The outcome of a program; times are real milliseconds since the start of the run. */
export type ProgramRecord = z.infer<typeof programRecordSchema>;
export type TurnRecord = z.infer<typeof turnRecordSchema>;

/** The results of one run. Engine counters are sums over the engines of the first pool. */
export const runRecordSchema = z.object({
    name: z.string(),
    programs: z.array(programRecordSchema),
    engines: z.object({
        promptTokens: z.number(),
        recomputedTokens: z.number(),
        recomputedHistoryTokens: z.number(),
        generatedTokens: z.number(),
        requests: z.number(),
    }),
    /** CPU time of all daemons in ms; undefined if their process ids were not given. */
    daemonCpuMs: z.number().optional(),
    /** p99 of the event loop delay in the process of the callers in ms, and the share of one core that it used. */
    loopDelayMs: z.number(),
    callerCpu: z.number(),
    wallMs: z.number(),
    /** 1-minute load average of the machine at the end of the run. */
    loadAverage: z.number(),
    /** Only for the crest run: upper bound of the number of programs that the engines could complete. */
    bound: z.number().optional(),
});

/** The results of one run. */
export type RunRecord = z.infer<typeof runRecordSchema>;

/** Times of calls by call path. */
const callPathTimesSchema = z.object({
    /** Sent directly to the engine. */
    direct: z.array(z.number()),
    /** The first call of a program, sent to its owner. */
    opening: z.array(z.number()),
    /** A later call, sent to the owner. */
    owner: z.array(z.number()),
    /** A later call, sent to another daemon, which forwards it to the owner. */
    forwarded: z.array(z.number()),
});

/** Measurements with idle engines; times in ms. */
export const idleRecordSchema = z.object({
    firstToken: callPathTimesSchema,
    whole: callPathTimesSchema,
    /** Share of a core that a daemon uses without calls; undefined if process ids were not given. */
    quietCpu: z.number().optional(),
});

/** The path that a call to an idle engine takes. */
export type CallPath = keyof z.infer<typeof callPathTimesSchema>;

/** Measurements with idle engines; times in ms. */
export type IdleRecord = z.infer<typeof idleRecordSchema>;

/** The runs of one policy with one seed. */
export const seedRecordSchema = z.object({ seed: z.number(), runs: z.array(runRecordSchema),
    idle: idleRecordSchema.optional() });

/** The runs of one policy with one seed. */
export type SeedRecord = z.infer<typeof seedRecordSchema>;

/** Content of the file that `bench run` writes. */
export const policyRecordSchema = z.object({
    experiment: z.string(),
    title: z.string(),
    policy: z.string(),
    scale: z.number(),
    daemons: z.number(),
    seeds: z.array(seedRecordSchema),
});

/** All runs of one policy. */
export type PolicyRecord = z.infer<typeof policyRecordSchema>;
