import { createSpread, latencies, measures, meets, percentile, type Spread, spreadOf } from "./measures.ts";
import type { PolicyRecord, RunRecord } from "./record.ts";
import { type RunName, runNames } from "./runs.ts";

/** Rows of cells, the first row being the head. */
export type Table = readonly (readonly string[])[];

/** The measures against their targets, one column for each policy: median (lowest..highest) of the seeds. */
export function measureTable(records: readonly PolicyRecord[]): Table {
    const head = ["measure", "target", ...records.map(({ policy }) => policy)];
    const rows = measures.map(measure => [
        measure.name,
        measure.target === undefined ?
            "" :
            `${measure.target.sense === "most" ? "<=" : ">="} ${measure.target.value}${unitText(measure.unit)}`,
        ...records.map(record => {
            const spread = spreadOf(measure, record, records);
            const met = meets(measure, spread);
            return spreadText(spread) + (met === undefined ? "" : met ? " met" : " MISSED");
        }),
    ]);
    return [head, ...rows];
}

/** What the measures are computed from, one row for each policy and run; medians over the seeds. */
export function runTable(records: readonly PolicyRecord[]): Table {
    const head = ["policy", "run", "programs", "completed", "refused", "left", "failed", "p50 ms", "p99 ms",
        "first token p95 ms", "calls", "daemon CPU ms/call", "daemon CPU us/token", "caller CPU", "loop delay p99 ms",
        "load average"];
    return [head, ...records.flatMap(record => runNames.flatMap(name => runRow(record, name)))];
}

function runRow(record: PolicyRecord, name: RunName): string[][] {
    const runs = record.seeds.flatMap(({ runs }) => runs.filter(run => run.name === name));
    if (runs.length === 0) {
        return [];
    }
    const median = (of: (run: RunRecord) => number | undefined) =>
        numberText(createSpread(runs.map(of).filter(figure => figure !== undefined))?.median);
    const count = (...outcomes: string[]) =>
        median(run => run.programs.filter(({ outcome }) => outcomes.includes(outcome)).length);
    const calls = (run: RunRecord) => run.programs.reduce((sum, { turns }) => sum + turns.length, 0);
    const tokens = (run: RunRecord) =>
        run.programs.reduce((sum, { turns }) => turns.reduce((total, turn) => total + turn.tokens, sum), 0);
    return [[
        record.policy,
        name,
        median(run => run.programs.length),
        count("completed"),
        count("refused"),
        count("left"),
        count("failed", "unfinished"),
        median(run => percentile(latencies(run), 50)),
        median(run => percentile(latencies(run), 99)),
        median(run => percentile(run.programs.flatMap(({ turns }) => turns.map(turn => turn.firstTokenMs)), 95)),
        median(calls),
        median(run => run.daemonCpuMs === undefined ? undefined : run.daemonCpuMs / calls(run)),
        median(run => run.daemonCpuMs === undefined ? undefined : 1_000 * run.daemonCpuMs / tokens(run)),
        median(run => run.callerCpu),
        median(run => run.loopDelayMs),
        median(run => run.loadAverage),
    ]];
}

/** Times of calls to idle engines in ms, over all seeds. */
export function idleTable(records: readonly PolicyRecord[]): Table {
    const head = ["policy", "way", "calls", "first token p50", "first token p99", "whole p50", "whole p99"];
    const rows = records.flatMap(({ policy, seeds }) =>
        (["direct", "opening", "owner", "forwarded"] as const).flatMap(way => {
            const first = seeds.flatMap(({ idle }) => idle?.firstToken[way] ?? []);
            const whole = seeds.flatMap(({ idle }) => idle?.whole[way] ?? []);
            return first.length === 0 ?
                [] :
                [[policy, way, String(first.length),
                    ...[percentile(first, 50), percentile(first, 99), percentile(whole, 50), percentile(whole, 99)]
                        .map(numberText)]];
        })
    );
    return [head, ...rows];
}

/** What a reader must know to read the figures. */
export function notesOf(records: readonly PolicyRecord[]): readonly string[] {
    const first = records[0];
    if (first === undefined) {
        return [];
    }
    const seeds = first.seeds.map(({ seed }) => seed).join(", ");
    return [
        `${first.title}; ${first.daemons} daemons; seeds ${seeds}; figures are median (lowest..highest) of the seeds.`,
        `Times of the traces and the engines are divided by ${first.scale} and engine speeds multiplied by it; `
        + "times in the tables are as measured. Network delay to clients, time constants inside the daemons and the "
        + "daemons' own overhead are not scaled.",
        "Delay between data centres is left out. Loads are shares of what the first pool does with full batches and "
        + "every prefix cached. Programs that are refused or left out of patience do not count as completed.",
    ];
}

/** A table as aligned text. */
export function tableText(table: Table): string {
    const widths = table[0]?.map((_, column) => Math.max(...table.map(row => row[column]?.length ?? 0))) ?? [];
    return table.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}

/** A table in Markdown. */
export function tableMarkdown([head, ...rows]: Table): string {
    const line = (cells: readonly string[]) => `| ${cells.map(cell => cell.replaceAll("|", "\\|")).join(" | ")} |`;
    return [line(head ?? []), line((head ?? []).map(() => "---")), ...rows.map(line)].join("\n");
}

function spreadText(spread: Spread | undefined): string {
    if (spread === undefined) {
        return "-";
    }
    const { low, median, high } = spread;
    return low === high ? numberText(median) : `${numberText(median)} (${numberText(low)}..${numberText(high)})`;
}

function numberText(value: number | undefined): string {
    if (value === undefined) {
        return "-";
    }
    return Number.isInteger(value) ? String(value) : value.toFixed(Math.abs(value) >= 100 ? 0 : 3);
}

function unitText(unit: string): string {
    return unit === "" ? "" : ` ${unit}`;
}
