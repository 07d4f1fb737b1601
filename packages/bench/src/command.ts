import { command, multioption, number, option, optional, string, subcommands, type Type } from "cmd-ts";
import { readFile, writeFile } from "node:fs/promises";
import { createCaller } from "./caller.ts";
import { type Experiment, parseExperiment } from "./experiment.ts";
import { renderHtml } from "./html.ts";
import { measureIdle } from "./idle.ts";
import { type PolicyRecord, policyRecordSchema, type SeedRecord } from "./record.ts";
import { replayCommand } from "./replay/command.ts";
import { executeRun, generateRunTrace, type RunName, runNames } from "./runs.ts";
import { createNotes, formatMarkdownTable, formatTable, idleTable, measureTable, runTable } from "./table.ts";
import { findEngines, type Target } from "./target.ts";
import { writeTrace } from "./trace.ts";

/** Exit codes: 1 if a program of a run failed, 2 if a file is invalid. */
const runFailedExitCode = 1;
const invalidFileExitCode = 2;

const createListType = (displayName: string, description: string): Type<string[], string[]> => ({
    from: async values => values.flatMap(value => value.split(",")).filter(value => value !== ""),
    displayName,
    description,
});

const experimentFlag = option({ type: string, long: "experiment", description: "Experiment file" });
const scaleFlag = option({ type: optional(number), long: "scale",
    description: "Divides all times of the trace; the scale of the experiment by default" });

const runCommand = command({
    name: "run",
    description: "Play the traces of an experiment against daemons with one policy, and write their records",
    args: {
        experiment: experimentFlag,
        daemon: multioption({ type: createListType("url", "Daemons; may be repeated or separated by commas"),
            long: "daemon" }),
        platform: option({ type: string, long: "platform", description: "URL of the platform stand-in" }),
        policy: option({ type: string, long: "policy", description: "Policy of the daemons, for the report" }),
        seeds: option({ type: number, long: "seeds", defaultValue: () => 5, description: "Number of seeds" }),
        firstSeed: option({ type: number, long: "first-seed", defaultValue: () => 1, description: "The first seed" }),
        runs: multioption({ type: createListType("run", `Of ${runNames.join(", ")}, idle; all by default`),
            long: "runs" }),
        scale: scaleFlag,
        pids: multioption({ type: createListType("pid", "Process ids of the daemons, for measuring their CPU time"),
            long: "pids" }),
        drainMs: option({ type: number, long: "drain", defaultValue: () => 10_000,
            description: "ms after the last arrival after which running programs are stopped" }),
        out: option({ type: string, long: "out", description: "JSON file to write" }),
    },
    handler: async options => {
        const experiment = await loadExperiment(options.experiment, options.scale);
        if (experiment === undefined) {
            return invalidFileExitCode;
        }
        const target: Target = { daemons: options.daemon, engines: await findEngines(options.platform),
            daemonPids: options.pids.map(Number) };
        const seeds = Array.from({ length: options.seeds }, (_, index) => options.firstSeed + index);
        const record = await runExperiment(experiment, target, { ...options, seeds });
        await writeFile(options.out, JSON.stringify(record));
        const failures = record.seeds.flatMap(({ runs }) => runs).flatMap(({ programs }) => programs)
            .filter(({ outcome }) => outcome === "failed").length;
        if (failures > 0) {
            process.stderr.write(`${failures} programs failed because a connection broke or a response ended early\n`);
        }
        return failures > 0 ? runFailedExitCode : 0;
    },
});

interface ExperimentOptions {
    readonly policy: string;
    readonly seeds: readonly number[];
    readonly runs: readonly string[];
    readonly drainMs: number;
}

async function runExperiment(experiment: Experiment, target: Target,
    options: ExperimentOptions): Promise<PolicyRecord> {
    const keyOf = (plan: string) => `key-of-${plan}`;
    const caller = createCaller({ daemons: target.daemons, delayMs: experiment.clientDelayMs, keyOf });
    const isSelected = (name: string) => options.runs.length === 0 || options.runs.includes(name);
    const seeds: SeedRecord[] = [];
    for (const seed of options.seeds) {
        const runs = [];
        // Only before the first seed: after a crest run, the daemons still estimate long waits and may refuse calls.
        const isFirstSeed = seed === options.seeds[0];
        const idle = isFirstSeed && isSelected("idle")
            ? await measureIdleEngines(experiment, target, keyOf, seed)
            : undefined;
        for (const name of runNames.filter(isSelected)) {
            const run = await executeRun(name, { experiment, seed, target, caller, drainMs: options.drainMs });
            process.stderr.write(`${options.policy} seed ${seed} ${name}: ${run.programs.length} programs in `
                + `${Math.round(run.wallMs)} ms, event loop delay p99 ${run.loopDelayMs.toFixed(1)} ms\n`);
            runs.push(run);
        }
        seeds.push({ seed, runs, ...idle === undefined ? {} : { idle } });
    }
    await caller.close();
    const { name, title, scale } = experiment;
    return { experiment: name, title, policy: options.policy, scale, daemons: target.daemons.length, seeds };
}

/** Measures without the simulated network delay to callers, because only the overhead of the daemons is of interest. */
async function measureIdleEngines(experiment: Experiment, target: Target, keyOf: (plan: string) => string,
    seed: number) {
    const operatorKey = process.env["TAMARACKGAUGE_OPERATOR_KEY"] ?? "";
    const caller = createCaller({ daemons: target.daemons, delayMs: 0, keyOf });
    const { pools: [{ model }], kinds: [{ plan } = { plan: "" }] } = experiment;
    const record = await measureIdle({ target, caller, model, plan, prefix: `s${seed}.idle`, operatorKey });
    await caller.close();
    return record;
}

const reportCommand = command({
    name: "report",
    description: "Print the measures of one or more policies in one table, as JSON, Markdown or an HTML page",
    args: {
        from: multioption({ type: createListType("file", "Files written by `bench run`, one for each policy"),
            long: "from" }),
        html: option({ type: optional(string), long: "html", description: "HTML file to write" }),
        json: option({ type: optional(string), long: "json", description: "JSON file of all records to write" }),
        markdown: option({ type: optional(string), long: "markdown", description: "Markdown file to write" }),
    },
    handler: async ({ from, html, json, markdown }) => {
        const records: PolicyRecord[] = [];
        for (const file of from) {
            const parsed = policyRecordSchema.safeParse(await readJson(file));
            if (!parsed.success) {
                const issue = parsed.error.issues[0];
                process.stderr.write(`${file}: ${issue?.path.join(".") || "(file)"}: ${issue?.message}\n`);
                return invalidFileExitCode;
            }
            records.push(parsed.data);
        }
        const tables = [measureTable(records), runTable(records), idleTable(records)];
        const notes = createNotes(records).join("\n");
        process.stdout.write(`${notes}\n\n${tables.map(formatTable).join("\n\n")}\n`);
        const files = [[html, renderHtml(records)], [json, JSON.stringify(records)], [markdown,
            `${notes}\n\n${tables.map(formatMarkdownTable).join("\n\n")}\n`]] as const;
        await Promise.all(
            files.map(async ([name, content]) => name === undefined ? undefined : writeFile(name, content)),
        );
        return 0;
    },
});

const traceCommand = command({
    name: "trace",
    description: "Write the trace of a run as newline-delimited JSON",
    args: {
        experiment: experimentFlag,
        run: option({ type: string, long: "run", defaultValue: () => "load80", description: runNames.join(", ") }),
        seed: option({ type: number, long: "seed", defaultValue: () => 1, description: "Seed of the generator" }),
        out: option({ type: string, long: "out", description: "File to write" }),
    },
    handler: async ({ experiment: file, run, seed, out }) => {
        const experiment = await loadExperiment(file, undefined);
        if (experiment === undefined || !runNames.includes(run as RunName)) {
            return invalidFileExitCode;
        }
        const programs = generateRunTrace(experiment, run as RunName, seed);
        await writeFile(out, writeTrace(programs));
        process.stdout.write(`${programs.length} programs of seed ${seed} written to ${out}\n`);
        return 0;
    },
});

/** The `bench` commands: run an experiment, print the report, write a trace. */
export const benchCommands = subcommands({
    name: "bench",
    description: "Load daemons with the programs of an experiment and measure; scripts/bench.mjs starts the processes",
    cmds: { run: runCommand, report: reportCommand, trace: traceCommand },
});

export { replayCommand };

async function loadExperiment(file: string, scale: number | undefined): Promise<Experiment | undefined> {
    const text = await readFile(file, "utf8").catch((error: unknown) => String(error));
    return parseExperiment(text).caseOf({
        Left: problems => {
            problems.forEach(problem => process.stderr.write(`${file}:${problem}\n`));
            return undefined;
        },
        Right: experiment => ({ ...experiment, scale: scale ?? experiment.scale }),
    });
}

async function readJson(file: string): Promise<unknown> {
    try {
        return JSON.parse(await readFile(file, "utf8")) as unknown;
    }
    catch (error) {
        return error instanceof Error ? error.message : undefined;
    }
}
