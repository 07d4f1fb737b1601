import { policyNames } from "@tamarackgauge/core";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { program } from "../program.ts";

const positive = z.number().positive().max(1_000_000);

/** The first line: the policy, its seed, and the engines that it decides for. Times in ms, rates in tokens/s. */
const header = z.strictObject({
    type: z.literal("replay"),
    policy: z.enum(policyNames),
    seed: z.int(),
    model: z.string().min(1),
    engines: z.int().min(1).max(100),
    batch: z.int().min(1).max(1_000),
    stepMs: positive,
    sequenceMs: positive,
    prefillRate: positive,
    /** Longest wait for which the policy admits a program. */
    patienceMs: positive,
});

/** What became of a call: `served` at its first token, `refused` when the policy refused it. */
const outcome = z.strictObject({
    type: z.literal("outcome"),
    /** `<program>#<call>`, calls counted from 0. */
    call: z.string().min(1),
    outcome: z.enum(["served", "refused"]),
    atMs: z.number().min(0),
});

const line = z.discriminatedUnion("type", [header, program.extend({ type: z.literal("program") }), outcome]);

/** The first line of a replay file. */
export type Header = z.infer<typeof header>;
/** What became of a call. */
export type Outcome = z.infer<typeof outcome>;

/** A trace with its stated outcomes, in their order. */
export interface Replay {
    readonly header: Header;
    readonly programs: readonly z.infer<typeof program>[];
    readonly outcomes: readonly Outcome[];
}

/** Reads a replay file (NDJSON). Gives the first mistake as `line N, field: message`. */
export function readReplay(text: string): Either<string, Replay> {
    const lines: z.infer<typeof line>[] = [];
    for (const [index, written] of text.split("\n").entries()) {
        if (written.trim() === "") {
            continue;
        }
        const parsed = line.safeParse(parse(written));
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
        programs: lines.flatMap(({ type, ...rest }) => type === "program" ? [program.parse(rest)] : []),
        outcomes: lines.filter(each => each.type === "outcome"),
    });
}

/** Writes a replay file. */
export function writeReplay({ header: first, programs, outcomes }: Replay): string {
    const all = [first, ...programs.map(each => ({ type: "program", ...each })), ...outcomes];
    return all.map(each => `${JSON.stringify(each)}\n`).join("");
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
