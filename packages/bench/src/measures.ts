import * as hdr from "hdr-histogram-js";
import type { PolicyRecord, ProgramRecord, RunRecord, SeedRecord, Way } from "./record.ts";
import type { RunName } from "./runs.ts";

/** A measure of section 1.4 of the design page. */
export interface Measure {
    readonly name: string;
    readonly unit: string;
    /** Bound of the target; undefined for a figure without target. */
    readonly target?: { readonly sense: "most" | "least"; readonly value: number; };
    /** The figure of one seed; undefined when its runs were not made. */
    readonly of: (record: SeedRecord, baseline: SeedRecord | undefined) => number | undefined;
}

/** The policy whose whole-program latencies the others are compared with. */
export const baselinePolicy = "leastConnections";

/** Histograms hold whole microseconds up to an hour with three digits. */
const perMs = 1_000;
const longest = 3_600_000 * perMs;

/** A percentile of times in ms; undefined without times. */
export function percentile(times: readonly number[], share: number): number | undefined {
    if (times.length === 0) {
        return undefined;
    }
    const histogram = createHistogram(times);
    return histogram.getValueAtPercentile(share) / perMs;
}

/** A histogram of times in ms, which it holds in microseconds. */
export function createHistogram(times: readonly number[]): hdr.Histogram {
    const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: longest,
        numberOfSignificantValueDigits: 3 });
    times.forEach(time => histogram.recordValue(Math.min(longest, Math.max(1, Math.round(time * perMs)))));
    return histogram;
}

/** Times of the programs that completed, in ms. */
export function latencies(run: RunRecord | undefined, keep: (program: ProgramRecord) => boolean = () => true) {
    return (run?.programs ?? []).filter(({ outcome }) => outcome === "completed").filter(keep)
        .map(({ startMs, endMs }) => endMs - startMs);
}

/** The run of a name. */
export function runOf(record: SeedRecord | undefined, name: RunName): RunRecord | undefined {
    return record?.runs.find(run => run.name === name);
}

function ratio(top: number | undefined, bottom: number | undefined): number | undefined {
    return top === undefined || bottom === undefined || bottom === 0 ? undefined : top / bottom;
}

function against(name: RunName, share: number): Measure["of"] {
    return (record, baseline) =>
        ratio(percentile(latencies(runOf(record, name)), share), percentile(latencies(runOf(baseline, name)), share));
}

const isShort = (program: ProgramRecord) => !program.long;

function headOfLine(record: SeedRecord): number | undefined {
    return ratio(percentile(latencies(runOf(record, "load80"), isShort), 95),
        percentile(latencies(runOf(record, "alone"), isShort), 95));
}

function service(record: SeedRecord): number | undefined {
    const run = runOf(record, "crest");
    return run === undefined ? undefined : ratio(latencies(run).length, run.bound);
}

function refusal(record: SeedRecord): number | undefined {
    return percentile(runOf(record, "crest")?.programs.flatMap(({ refusalMs }) => refusalMs) ?? [], 99);
}

function wasted(record: SeedRecord): number | undefined {
    const engines = runOf(record, "load80")?.engines;
    return ratio(engines?.recomputedHistoryTokens, engines?.promptTokens);
}

function tail(record: SeedRecord): number | undefined {
    return ratio(percentile(latencies(runOf(record, "slowed")), 99),
        percentile(latencies(runOf(record, "load80")), 99));
}

function added(way: Way, hops: number): Measure["of"] {
    return ({ idle }) => {
        const [with_, without] = [percentile(idle?.firstToken[way] ?? [], 99),
            percentile(idle?.firstToken.direct ?? [], 99)];
        return with_ === undefined || without === undefined ? undefined : (with_ - without) / hops;
    };
}

const most = (value: number) => ({ sense: "most" as const, value });
const least = (value: number) => ({ sense: "least" as const, value });

/** All measures in the order of the table. */
export const measures: readonly Measure[] = [
    { name: "head-of-line blocking: p95 of short programs amid long / alone", unit: "", target: most(1.1),
        of: headOfLine },
    { name: "service at the crest: completed / bound of the engines", unit: "", target: least(0.95), of: service },
    { name: "p99 time to refusal at the crest", unit: "ms", target: most(50), of: refusal },
    { name: "wasted cache: recomputed history / prompt tokens, 80% load", unit: "", target: most(0.03), of: wasted },
    { name: "p99 with engines slowed / without, 80% load", unit: "", target: most(1.25), of: tail },
    { name: `p50 against ${baselinePolicy}, 80% load`, unit: "", target: most(0.5), of: against("load80", 50) },
    { name: `p99 against ${baselinePolicy}, 80% load`, unit: "", target: most(0.5), of: against("load80", 99) },
    { name: `p50 against ${baselinePolicy}, 20% load`, unit: "", target: most(1), of: against("load20", 50) },
    { name: `p99 against ${baselinePolicy}, 20% load`, unit: "", target: most(1), of: against("load20", 99) },
    { name: "added to the first token of a program's first call by one hop, p99", unit: "ms", target: most(3),
        of: added("opening", 1) },
    { name: "added to a first token by one hop, p99", unit: "ms", target: most(3), of: added("owner", 1) },
    { name: "control per daemon, share of a core without calls", unit: "", target: most(0.017),
        of: ({ idle }) => idle?.quietCpu },
    { name: "added to a first token by two hops, p99, per hop", unit: "ms", target: most(3),
        of: added("forwarded", 2) },
];

/** Lowest, median and highest figure over the seeds. */
export interface Spread {
    readonly low: number;
    readonly median: number;
    readonly high: number;
}

/** The spread of a measure of a policy over its seeds; undefined when no seed has it. */
export function spreadOf(measure: Measure, record: PolicyRecord, all: readonly PolicyRecord[]): Spread | undefined {
    const baseline = all.find(({ policy }) => policy === baselinePolicy);
    const figures = record.seeds.map(each => measure.of(each, baseline?.seeds.find(({ seed }) => seed === each.seed)))
        .filter(figure => figure !== undefined);
    return createSpread(figures);
}

/** Lowest, median (the upper one of an even number) and highest of some figures. */
export function createSpread(figures: readonly number[]): Spread | undefined {
    const sorted = [...figures].sort((left, right) => left - right);
    return sorted.length === 0 ?
        undefined
        : { low: sorted[0]!, median: sorted[sorted.length >> 1]!, high: sorted.at(-1)! };
}

/** Whether the median meets the target; undefined without target or figure. */
export function meets({ target }: Measure, spread: Spread | undefined): boolean | undefined {
    if (target === undefined || spread === undefined) {
        return undefined;
    }
    return target.sense === "most" ? spread.median <= target.value : spread.median >= target.value;
}
