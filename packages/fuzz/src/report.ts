import { z } from "zod";
import type { Find, RunResult } from "./run.ts";
import { type Script, scriptDefaults, scriptSchema } from "./script.ts";

const caseSchema = z.object({
    /** What was at fault when the script first broke a rule. */
    cause: z.string(),
    script: scriptSchema,
});

/** A script that once broke a rule, as it is kept in a file. */
export type FuzzCase = z.output<typeof caseSchema>;

const unknownCause = "not known yet";
const jsonIndent = 4;

/** Reads a case from the text of its file. Throws if the text is not a case. */
export function parseCase(text: string): FuzzCase {
    return caseSchema.parse(JSON.parse(text));
}

/** Writes a case as the text of a file, without what has its default. */
export function formatCase(script: Script, cause = unknownCause): string {
    return `${JSON.stringify({ cause, script: shorten(script) }, undefined, jsonIndent)}\n`;
}

function shorten({ upstreams, connections, store }: Script): unknown {
    return {
        upstreams: upstreams.map(upstream => without(upstream, scriptDefaults.upstream)),
        connections: connections.map(connection => ({
            ...without(connection, scriptDefaults.connection),
            calls: connection.calls.map(({ reactions, leave, ...call }) => ({
                ...without(call, scriptDefaults.call),
                ...leave === undefined ? {} : { leave: without(leave, scriptDefaults.leave) },
                ...reactions.length === 0 ? {} : { reactions: reactions.map(shortenReaction) },
            })),
        })),
        ...store.length === 0 ? {} : { store: store.map(reaction => without(reaction, scriptDefaults.storeReaction)) },
    };
}

function shortenReaction({ before, after, ...reaction }: Script["connections"][0]["calls"][0]["reactions"][0]): object {
    return {
        ...without(reaction, scriptDefaults.reaction),
        ...before === undefined ? {} : { before: without(before, scriptDefaults.extra) },
        ...after === undefined ? {} : { after: without(after, scriptDefaults.extra) },
    };
}

function without(value: object, defaults: object): object {
    const usual = defaults as Record<string, unknown>;
    return Object.fromEntries(Object.entries(value).filter(([name, field]) => field !== usual[name]));
}

/** Describes the result of a run in lines for an operator. */
export function describeRun({ plays, elapsedMs, find }: RunResult): readonly string[] {
    const seconds = (elapsedMs / 1_000).toFixed(1);
    return find === undefined
        ? [`${plays} scripts in ${seconds} s, no rule broken`]
        : [`${plays} scripts in ${seconds} s until a rule was broken`, ...describeFind(find)];
}

function describeFind({ side, seed, run, script, violations, logLines, isReproduced }: Find): readonly string[] {
    return [
        `--side ${side} --seed ${seed}, script ${run}${isReproduced ? "" : ", not seen again"}:`,
        ...violations.map(({ rule, subject, detail }) => `${rule}: ${subject}: ${detail}`),
        ...logLines.map(({ event, fields }) => `log ${event} ${JSON.stringify(fields)}`),
        formatCase(script).trimEnd(),
    ];
}
