import { completedLatencies, computeSpread, measures, meetsTarget, percentile, type Spread,
    spreadOf } from "./measures.ts";
import type { PolicyRecord, RunRecord } from "./record.ts";
import { type RunName, runNames } from "./runs.ts";

/** Rows of cells; the first row is the header. */
export type Table = readonly (readonly string[])[];

/** The measures and their targets, with one column per policy: median (lowest..highest) over the seeds. */
export function measureTable(records: readonly PolicyRecord[]): Table {
    const head = ["measure", "target", ...records.map(({ policy }) => policy)];
    const rows = measures.map(measure => [
        measure.name,
        measure.target === undefined ?
            "" :
            `${measure.target.direction === "most" ? "<=" : ">="} ${measure.target.value}${formatUnit(measure.unit)}`,
        ...records.map(record => {
            const spread = spreadOf(measure, record, records);
            const isMet = meetsTarget(measure, spread);
            return formatSpread(spread) + (isMet === undefined ? "" : isMet ? " met" : " MISSED");
        }),
    ]);
    return [head, ...rows];
}

/** The values from which the measures are computed, one row per policy and run; medians over the seeds. */
export function runTable(records: readonly PolicyRecord[]): Table {
    const head = ["policy", "run", "programs", "completed", "refused", "left", "failed", "p50 ms", "p99 ms",
        "first token p95 ms", "calls", "daemon CPU ms/call", "daemon CPU us/token", "caller CPU", "loop delay p99 ms",
        "load average"];
    return [head, ...records.flatMap(record => runNames.flatMap(name => runRows(record, name)))];
}

function runRows(record: PolicyRecord, name: RunName): string[][] {
    const runs = record.seeds.flatMap(({ runs }) => runs.filter(run => run.name === name));
    if (runs.length === 0) {
        return [];
    }
    const median = (valueOf: (run: RunRecord) => number | undefined) =>
        formatNumber(computeSpread(runs.map(valueOf).filter(value => value !== undefined))?.median);
    const countOutcomes = (...outcomes: string[]) =>
        median(run => run.programs.filter(({ outcome }) => outcomes.includes(outcome)).length);
    const countCalls = (run: RunRecord) => run.programs.reduce((sum, { turns }) => sum + turns.length, 0);
    const countTokens = (run: RunRecord) =>
        run.programs.reduce((sum, { turns }) => turns.reduce((total, turn) => total + turn.tokens, sum), 0);
    return [[
        record.policy,
        name,
        median(run => run.programs.length),
        countOutcomes("completed"),
        countOutcomes("refused"),
        countOutcomes("left"),
        countOutcomes("failed", "unfinished"),
        median(run => percentile(completedLatencies(run), 50)),
        median(run => percentile(completedLatencies(run), 99)),
        median(run => percentile(run.programs.flatMap(({ turns }) => turns.map(turn => turn.firstTokenMs)), 95)),
        median(countCalls),
        median(run => run.daemonCpuMs === undefined ? undefined : run.daemonCpuMs / countCalls(run)),
        median(run => run.daemonCpuMs === undefined ? undefined : 1_000 * run.daemonCpuMs / countTokens(run)),
        median(run => run.callerCpu),
        median(run => run.loopDelayMs),
        median(run => run.loadAverage),
    ]];
}

/** Percentiles of the times of calls to idle engines in ms, over all seeds. */
export function idleTable(records: readonly PolicyRecord[]): Table {
    const head = ["policy", "way", "calls", "first token p50", "first token p99", "whole p50", "whole p99"];
    const rows = records.flatMap(({ policy, seeds }) =>
        (["direct", "opening", "owner", "forwarded"] as const).flatMap(callPath => {
            const firstTokenTimes = seeds.flatMap(({ idle }) => idle?.firstToken[callPath] ?? []);
            const wholeTimes = seeds.flatMap(({ idle }) => idle?.whole[callPath] ?? []);
            return firstTokenTimes.length === 0 ?
                [] :
                [[policy, callPath, String(firstTokenTimes.length),
                    ...[percentile(firstTokenTimes, 50), percentile(firstTokenTimes, 99), percentile(wholeTimes, 50),
                        percentile(wholeTimes, 99)]
                        .map(formatNumber)]];
        })
    );
    return [head, ...rows];
}

/** Notes that explain how to read the values. */
export function createNotes(records: readonly PolicyRecord[]): readonly string[] {
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
        "The delay between data centres is not simulated. Loads are shares of the first pool's capacity with full "
        + "batches and every prefix cached. Programs that were refused or whose caller hung up are not completed.",
    ];
}

/** Formats a table as text with aligned columns. */
export function formatTable(table: Table): string {
    const widths = table[0]?.map((_, column) => Math.max(...table.map(row => row[column]?.length ?? 0))) ?? [];
    return table.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}

/** Formats a table in Markdown. */
export function formatMarkdownTable([head, ...rows]: Table): string {
    const formatRow = (cells: readonly string[]) => `| ${cells.map(cell => cell.replaceAll("|", "\\|")).join(" | ")} |`;
    return [formatRow(head ?? []), formatRow((head ?? []).map(() => "---")), ...rows.map(formatRow)].join("\n");
}

function formatSpread(spread: Spread | undefined): string {
    if (spread === undefined) {
        return "-";
    }
    const { low, median, high } = spread;
    return low === high
        ? formatNumber(median)
        : `${formatNumber(median)} (${formatNumber(low)}..${formatNumber(high)})`;
}

function formatNumber(value: number | undefined): string {
    if (value === undefined) {
        return "-";
    }
    return Number.isInteger(value) ? String(value) : value.toFixed(Math.abs(value) >= 100 ? 0 : 3);
}

function formatUnit(unit: string): string {
    return unit === "" ? "" : ` ${unit}`;
}
