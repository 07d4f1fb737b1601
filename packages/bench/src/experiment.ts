import { formatPath, type LocatedJson, parseJson } from "@tamarackgauge/core";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";

const countSchema = z.int().min(1).max(1_000_000);
const positiveSchema = z.number().positive().max(86_400_000);
const shareSchema = z.number().min(0).max(1);
const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$/,
    "must be 1-32 letters, digits, '.', '_' or '-'");

/** Inclusive bounds of a uniform draw. */
const rangeSchema = z.tuple([z.number().min(0), z.number().min(0)])
    .refine(([low, high]) => low <= high, "must be [low, high] with low <= high");

/** The engines of one model. Times are in ms and rates in tokens/s, both in model time. */
const poolSchema = z.strictObject({
    model: nameSchema,
    engines: z.int().min(1).max(20),
    batch: countSchema,
    stepMs: positiveSchema,
    sequenceMs: positiveSchema,
    prefillRate: positiveSchema,
    prefillChunk: countSchema,
    cacheTokens: countSchema,
});

/** A kind of program. Lengths are in tokens; the first prompt includes the instructions. */
const kindSchema = z.strictObject({
    kind: nameSchema,
    plan: nameSchema,
    /** Long programs are excluded from the run that measures short programs alone. */
    long: z.boolean(),
    share: shareSchema,
    turns: rangeSchema,
    firstTokens: rangeSchema,
    promptTokens: rangeSchema,
    outputTokens: rangeSchema,
    pauseMs: rangeSchema,
    /** Share of turns that are followed by a tool call, and share of those calls that may run at most once. */
    toolShare: shareSchema,
    atMostOnceShare: shareSchema,
    /** Share of programs that have one sub-agent, which takes `agentTurns` turns on the second pool. */
    agentShare: shareSchema,
    agentTurns: rangeSchema,
});

/** Settings of an experiment. All times are model time in ms, which is divided by the scale. */
export const experimentSchema = z.strictObject({
    name: nameSchema,
    title: z.string().min(1).max(200),
    /** All times are divided by it, and the speed of the engines is multiplied by it. */
    scale: z.number().min(0.1).max(50),
    /** One-way network delay between callers and daemons in ms. It is added in the caller and not scaled. */
    clientDelayMs: z.number().min(0).max(1_000),
    /** Callers of the crest run hang up if a first token takes longer than this. */
    patienceMs: positiveSchema,
    /** How often a caller retries a refused call, each time after the delay that the refusal names. */
    retries: z.int().min(0).max(10),
    /** The first pool is loaded, measured and slowed; the second serves the sub-agents. */
    pools: z.tuple([poolSchema, poolSchema]),
    service: nameSchema,
    kinds: z.array(kindSchema).min(1).max(10),
    steadyMs: positiveSchema,
    /** Load outside and within the burst, as shares of the first pool's capacity, and the times of the burst. */
    crest: z.strictObject({ load: shareSchema, burstLoad: positiveSchema, fromMs: positiveSchema,
        lengthMs: positiveSchema, tailMs: positiveSchema }),
    slow: z.strictObject({ engines: countSchema, factor: positiveSchema, fromMs: positiveSchema,
        lengthMs: positiveSchema }),
});

/** Settings of an experiment. */
export type Experiment = z.infer<typeof experimentSchema>;
/** Engines of one model. */
export type Pool = Experiment["pools"][number];
/** A kind of program. */
export type Kind = Experiment["kinds"][number];

/** Parses an experiment file. Returns one line per problem: `line:column field: message`. */
export function parseExperiment(text: string): Either<readonly string[], Experiment> {
    return parseJson(text)
        .mapLeft(({ line, column, message }): readonly string[] => [`${line}:${column} (file): ${message}`])
        .chain(validate);
}

function validate(json: LocatedJson): Either<readonly string[], Experiment> {
    const formatProblem = (path: readonly (string | number)[], message: string) => {
        const { line, column } = json.positionAt(json.offsetOf(path));
        return `${line}:${column} ${formatPath(path)}: ${message}`;
    };
    const duplicates = json.duplicates.map(path => formatProblem(path, "occurs twice"));
    const parsed = experimentSchema.safeParse(json.value);
    if (parsed.success && duplicates.length === 0) {
        return Right(parsed.data);
    }
    const issues = (parsed.error?.issues ?? [])
        .map(({ path, message }) => formatProblem(path.filter(step => typeof step !== "symbol"), message));
    return Left([...duplicates, ...issues]);
}
