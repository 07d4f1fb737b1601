import * as hdr from "hdr-histogram-js";
import type { CallPath, PolicyRecord, ProgramRecord, RunRecord, SeedRecord } from "./record.ts";
import type { RunName } from "./runs.ts";

/** A measure of section 1.4 of the design page. */
export interface Measure {
    readonly name: string;
    readonly unit: string;
    /** The target that the value must reach; undefined if there is none. `direction` says which bound `value` is. */
    readonly target?: { readonly direction: "most" | "least"; readonly value: number; };
    /** Computes the value for one seed; undefined if the runs that it needs were not made. */
    readonly compute: (record: SeedRecord, baseline: SeedRecord | undefined) => number | undefined;
}

/** The policy with whose program latencies those of the other policies are compared. */
export const baselinePolicy = "leastConnections";

/** Histograms record whole microseconds up to one hour, with three significant digits. */
const microsecondsPerMs = 1_000;
const maxTrackableMicroseconds = 3_600_000 * microsecondsPerMs;

/** Returns a percentile of times in ms; undefined if there are none. */
export function percentile(times: readonly number[], percent: number): number | undefined {
    if (times.length === 0) {
        return undefined;
    }
    const histogram = createHistogram(times);
    return histogram.getValueAtPercentile(percent) / microsecondsPerMs;
}

/** Creates a histogram of times that are given in ms; its values are microseconds. */
export function createHistogram(times: readonly number[]): hdr.Histogram {
    const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: maxTrackableMicroseconds,
        numberOfSignificantValueDigits: 3 });
    times.forEach(time =>
        histogram.recordValue(Math.min(maxTrackableMicroseconds, Math.max(1, Math.round(time * microsecondsPerMs))))
    );
    return histogram;
}

/** Latencies of the completed programs that match the predicate, in ms. */
export function completedLatencies(run: RunRecord | undefined,
    predicate: (program: ProgramRecord) => boolean = () => true) {
    return (run?.programs ?? []).filter(({ outcome }) => outcome === "completed").filter(predicate)
        .map(({ startMs, endMs }) => endMs - startMs);
}

/** Finds a run by its name. */
export function findRun(record: SeedRecord | undefined, name: RunName): RunRecord | undefined {
    return record?.runs.find(run => run.name === name);
}

function ratio(numerator: number | undefined, denominator: number | undefined): number | undefined {
    return numerator === undefined || denominator === undefined || denominator === 0
        ? undefined
        : numerator / denominator;
}

function ratioToBaseline(name: RunName, percent: number): Measure["compute"] {
    return (record, baseline) =>
        ratio(percentile(completedLatencies(findRun(record, name)), percent),
            percentile(completedLatencies(findRun(baseline, name)), percent));
}

const isShort = (program: ProgramRecord) => !program.long;

function headOfLineRatio(record: SeedRecord): number | undefined {
    return ratio(percentile(completedLatencies(findRun(record, "load80"), isShort), 95),
        percentile(completedLatencies(findRun(record, "alone"), isShort), 95));
}

function completedToBoundRatio(record: SeedRecord): number | undefined {
    const run = findRun(record, "crest");
    return run === undefined ? undefined : ratio(completedLatencies(run).length, run.bound);
}

function refusalTimeP99(record: SeedRecord): number | undefined {
    return percentile(findRun(record, "crest")?.programs.flatMap(({ refusalMs }) => refusalMs) ?? [], 99);
}

function recomputedHistoryRatio(record: SeedRecord): number | undefined {
    const engines = findRun(record, "load80")?.engines;
    return ratio(engines?.recomputedHistoryTokens, engines?.promptTokens);
}

function slowedP99Ratio(record: SeedRecord): number | undefined {
    return ratio(percentile(completedLatencies(findRun(record, "slowed")), 99),
        percentile(completedLatencies(findRun(record, "load80")), 99));
}

function addedLatencyPerHop(callPath: CallPath, hops: number): Measure["compute"] {
    return ({ idle }) => {
        const [pathP99, directP99] = [percentile(idle?.firstToken[callPath] ?? [], 99),
            percentile(idle?.firstToken.direct ?? [], 99)];
        return pathP99 === undefined || directP99 === undefined ? undefined : (pathP99 - directP99) / hops;
    };
}

const atMost = (value: number) => ({ direction: "most" as const, value });
const atLeast = (value: number) => ({ direction: "least" as const, value });

/** All measures, in the order of the report's rows. */
export const measures: readonly Measure[] = [
    { name: "head-of-line blocking: p95 of short programs amid long / alone", unit: "", target: atMost(1.1),
        compute: headOfLineRatio },
    { name: "service at the crest: completed / bound of the engines", unit: "", target: atLeast(0.95),
        compute: completedToBoundRatio },
    { name: "p99 time to refusal at the crest", unit: "ms", target: atMost(50), compute: refusalTimeP99 },
    { name: "wasted cache: recomputed history / prompt tokens, 80% load", unit: "", target: atMost(0.03),
        compute: recomputedHistoryRatio },
    { name: "p99 with engines slowed / without, 80% load", unit: "", target: atMost(1.25), compute: slowedP99Ratio },
    { name: `p50 against ${baselinePolicy}, 80% load`, unit: "", target: atMost(0.5),
        compute: ratioToBaseline("load80", 50) },
    { name: `p99 against ${baselinePolicy}, 80% load`, unit: "", target: atMost(0.5),
        compute: ratioToBaseline("load80", 99) },
    { name: `p50 against ${baselinePolicy}, 20% load`, unit: "", target: atMost(1),
        compute: ratioToBaseline("load20", 50) },
    { name: `p99 against ${baselinePolicy}, 20% load`, unit: "", target: atMost(1),
        compute: ratioToBaseline("load20", 99) },
    { name: "added to the first token of a program's first call by one hop, p99", unit: "ms", target: atMost(3),
        compute: addedLatencyPerHop("opening", 1) },
    { name: "added to a first token by one hop, p99", unit: "ms", target: atMost(3),
        compute: addedLatencyPerHop("owner", 1) },
    { name: "control per daemon, share of a core without calls", unit: "", target: atMost(0.017),
        compute: ({ idle }) => idle?.quietCpu },
    { name: "added to a first token by two hops, p99, per hop", unit: "ms", target: atMost(3),
        compute: addedLatencyPerHop("forwarded", 2) },
];

/** Lowest, median and highest value over the seeds. */
export interface Spread {
    readonly low: number;
    readonly median: number;
    readonly high: number;
}

/** The spread of a measure over the seeds of one policy; undefined if no seed has a value. */
export function spreadOf(measure: Measure, record: PolicyRecord, all: readonly PolicyRecord[]): Spread | undefined {
    const baseline = all.find(({ policy }) => policy === baselinePolicy);
    const values = record.seeds.map(each =>
        measure.compute(each, baseline?.seeds.find(({ seed }) => seed === each.seed))
    )
        .filter(value => value !== undefined);
    return computeSpread(values);
}

/** Computes lowest, median (the upper of the two middle values if their number is even) and highest value. */
export function computeSpread(values: readonly number[]): Spread | undefined {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted.length === 0 ?
        undefined
        : { low: sorted[0]!, median: sorted[sorted.length >> 1]!, high: sorted.at(-1)! };
}

/** Whether the median meets the target; undefined without a target or a value. */
export function meetsTarget({ target }: Measure, spread: Spread | undefined): boolean | undefined {
    if (target === undefined || spread === undefined) {
        return undefined;
    }
    return target.direction === "most" ? spread.median <= target.value : spread.median >= target.value;
}
