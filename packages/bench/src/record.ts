import { z } from "zod";

/** One model turn: ms from sending to the first token and to the end, tokens received. */
const turnRecordSchema = z.object({ firstTokenMs: z.number(), wholeMs: z.number(), tokens: z.number() });

/** What became of a program; times in ms of real time from the start of the run. */
export const programRecordSchema = z.object({
    name: z.string(),
    kind: z.string(),
    long: z.boolean(),
    startMs: z.number(),
    endMs: z.number(),
    /** `left`: the caller hung up; `unfinished`: the run was stopped before. */
    outcome: z.enum(["completed", "refused", "left", "failed", "unfinished"]),
    /** Of the refusal that ended the program. */
    code: z.number().optional(),
    /** Times from sending to each refusal. */
    refusalMs: z.array(z.number()),
    turns: z.array(turnRecordSchema),
});

/** What became of a program; times in ms of real time from the start of the run. */
export type ProgramRecord = z.infer<typeof programRecordSchema>;
/** One model turn. */
export type TurnRecord = z.infer<typeof turnRecordSchema>;

/** What one run gave. Sums are over all engines, or over all daemons. */
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
    /** Processor time of all daemons in ms; undefined when their process ids were not given. */
    daemonCpuMs: z.number().optional(),
    /** p99 of the delay of the event loop of the caller in ms, and the share of one core that it used. */
    loopDelayMs: z.number(),
    callerCpu: z.number(),
    wallMs: z.number(),
    /** Load average of the machine over the last minute, at the end of the run. */
    loadAverage: z.number(),
    /** Of the crest run: most programs that the engines could complete. */
    bound: z.number().optional(),
});

/** What one run gave. */
export type RunRecord = z.infer<typeof runRecordSchema>;

/** Times of calls by their way. */
const callPathTimesSchema = z.object({
    /** At the engine itself. */
    direct: z.array(z.number()),
    /** The first call of a program, sent to its owner. */
    opening: z.array(z.number()),
    /** A later call, sent to the owner. */
    owner: z.array(z.number()),
    /** A later call, sent to another daemon, which forwards it to the owner. */
    forwarded: z.array(z.number()),
});

/** Calls to idle engines; times in ms. */
export const idleRecordSchema = z.object({
    firstToken: callPathTimesSchema,
    whole: callPathTimesSchema,
    /** Share of a core that a daemon uses without calls; undefined when process ids were not given. */
    quietCpu: z.number().optional(),
});

/** Way of a call to an idle engine. */
export type CallPath = keyof z.infer<typeof callPathTimesSchema>;

/** Calls to idle engines; times in ms. */
export type IdleRecord = z.infer<typeof idleRecordSchema>;

/** The runs of one policy with one seed. */
export const seedRecordSchema = z.object({ seed: z.number(), runs: z.array(runRecordSchema),
    idle: idleRecordSchema.optional() });

/** The runs of one policy with one seed. */
export type SeedRecord = z.infer<typeof seedRecordSchema>;

/** The file that `bench run` writes. */
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
