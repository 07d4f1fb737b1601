import { policyNames } from "@tamarackgauge/core";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { programSchema } from "../program.ts";

const positiveSchema = z.number().positive().max(1_000_000);

/** The first line: the policy, its seed, and the simulated engines. Times are in ms, rates in tokens/s. */
const headerSchema = z.strictObject({
    type: z.literal("replay"),
    policy: z.enum(policyNames),
    seed: z.int(),
    model: z.string().min(1),
    engines: z.int().min(1).max(100),
    batch: z.int().min(1).max(1_000),
    stepMs: positiveSchema,
    sequenceMs: positiveSchema,
    prefillRate: positiveSchema,
    /** Patience setting of the policy, which refuses new programs whose estimated wait exceeds a share of it. */
    patienceMs: positiveSchema,
});

/** The outcome of a call: `served` at its first token, or `refused` by the policy. */
const outcomeSchema = z.strictObject({
    type: z.literal("outcome"),
    /** `<program>#<call>`; calls are numbered from 0. */
    call: z.string().min(1),
    outcome: z.enum(["served", "refused"]),
    atMs: z.number().min(0),
});

const lineSchema = z.discriminatedUnion("type", [headerSchema, programSchema.extend({ type: z.literal("program") }),
    outcomeSchema]);

/** The first line of a replay file. */
export type Header = z.infer<typeof headerSchema>;
/** The outcome of a call. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** A trace with its expected outcomes in the order in which they occur. */
export interface Replay {
    readonly header: Header;
    readonly programs: readonly z.infer<typeof programSchema>[];
    readonly outcomes: readonly Outcome[];
}

/** Parses a replay file (NDJSON). Returns the first problem as `line N, field: message`. */
export function readReplay(text: string): Either<string, Replay> {
    const lines: z.infer<typeof lineSchema>[] = [];
    for (const [index, lineText] of text.split("\n").entries()) {
        if (lineText.trim() === "") {
            continue;
        }
        const parsed = lineSchema.safeParse(tryParseJson(lineText));
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            return Left(`line ${index + 1}, ${issue?.path.join(".") || "(line)"}: ${issue?.message}`);
        }
        lines.push(parsed.data);
    }
    const first = lines[0];
    if (first?.type !== "replay" || lines.slice(1).some(({ type }) => type === "replay")) {
        return Left("line 1, type: the first line, and no other, must be of type replay");
    }
    return Right({
        header: first,
        programs: lines.flatMap(({ type, ...rest }) => type === "program" ? [programSchema.parse(rest)] : []),
        outcomes: lines.filter(each => each.type === "outcome"),
    });
}

/** Serializes a replay file. */
export function writeReplay({ header: first, programs, outcomes }: Replay): string {
    const all = [first, ...programs.map(each => ({ type: "program", ...each })), ...outcomes];
    return all.map(each => `${JSON.stringify(each)}\n`).join("");
}

function tryParseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
