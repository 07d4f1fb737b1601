import { createPolicy, createRandom, type Policy, type PolicyName, policyNames } from "../src/index.ts";
import { PinnedPolicy } from "./ceiling.ts";
import { createTrace, type Phase } from "./trace.ts";
import { type Outcome, type Program, type RunResult, runScenario, type Scenario } from "./world.ts";

/**
 * Prints the measures of docs/design.md section 1.4 for each policy, simulated on virtual time.
 * Usage: node --import tsx packages/core/bench/replay.ts [--seeds=5] [--measure=<name>] [--policy=<name>]
 */
const engines = 10;
const daemons = 12;
const patienceMs = 5_000;
/** Long programs take about 100 s, so the load is steady only after the warm-up. */
const arrivalPeriodMs = 240_000;
const warmUpMs = 100_000;
const pinnedProgramsPerEngine = [32, 48, 64, 80, 96, 128, 160, 1_000];

type CreateSetup = (seed: number) => Omit<Scenario, "createPolicy" | "random" | "engines" | "daemons">;
type Measure = (policy: PolicyName, seed: number) => Record<string, number>;

function run(policy: PolicyName | number, seed: number, setup: CreateSetup): RunResult {
    const create = (daemon: number): Policy =>
        typeof policy === "number" ?
            new PinnedPolicy(policy)
            : createPolicy(policy, { random: createRandom(seed * 1_000 + daemon), settings: { patienceMs } });
    return runScenario({ ...setup(seed), engines, daemons: typeof policy === "number" ? 1 : daemons,
        random: createRandom(seed + 77), createPolicy: create });
}

function steadyLoad(load: number): Phase[] {
    return [{ fromMs: 0, toMs: arrivalPeriodMs, load }];
}

function createPoolTrace(seed: number, phases: readonly Phase[]): Program[] {
    return createTrace(createRandom(seed), engines, phases);
}

function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? NaN;
}

function latencies(result: RunResult, keep: (outcome: Outcome) => boolean = () => true): number[] {
    return result.outcomes.filter(outcome => outcome.outcome === "done" && outcome.program.startMs >= warmUpMs)
        .filter(keep).map(outcome => outcome.latencyMs);
}

function refusedShare(result: RunResult): number {
    return result.outcomes.filter(outcome => outcome.outcome !== "done").length / result.outcomes.length;
}

/** Results of runs that several measures share. */
const runs = new Map<string, RunResult>();

function cachedRun(policy: PolicyName, seed: number, name: string, setup: CreateSetup): RunResult {
    const key = `${policy} ${seed} ${name}`;
    const result = runs.get(key) ?? run(policy, seed, setup);
    runs.set(key, result);
    return result;
}

function runAtLoad(policy: PolicyName, seed: number, load: number): RunResult {
    return cachedRun(policy, seed, `load ${load}`, () => ({ programs: createPoolTrace(seed, steadyLoad(load)) }));
}

function isShort(program: Program): boolean {
    return program.kind === "short";
}

function measureHeadOfLine(load: number): Measure {
    return (policy, seed) => {
        const shortOnly = cachedRun(policy, seed, `alone ${load}`, () => ({
            programs: createPoolTrace(seed, steadyLoad(load)).filter(isShort),
        }));
        const shortP95 = (result: RunResult) => quantile(latencies(result, ({ program }) => isShort(program)), 0.95);
        const mixedMs = shortP95(runAtLoad(policy, seed, load));
        return { amidMs: mixedMs, aloneMs: shortP95(shortOnly), ratio: mixedMs / shortP95(shortOnly) };
    };
}

const burstStartMs = 100_000;
const burstEndMs = 130_000;
const burstPhases: Phase[] = [
    { fromMs: 0, toMs: burstStartMs, load: 0.5 },
    { fromMs: burstStartMs, toMs: burstEndMs, load: 4 },
    { fromMs: burstEndMs, toMs: 150_000, load: 0.5 },
];

function measureBurst(policy: PolicyName, seed: number): Record<string, number> {
    const setup: CreateSetup = () => ({ programs: createPoolTrace(seed, burstPhases), patienceMs });
    const countInBurst = (result: RunResult, outcome: Outcome["outcome"]) =>
        result.outcomes.filter(({ program, outcome: actual }) =>
            program.startMs >= burstStartMs && program.startMs < burstEndMs && actual === outcome
        ).length;
    const maxDone = Math.max(...pinnedProgramsPerEngine.map(count => runPinned(count, seed, setup, countInBurst)));
    const result = run(policy, seed, setup);
    const done = countInBurst(result, "done");
    return { done, could: maxDone, ratio: done / maxDone, refused: countInBurst(result, "refused"),
        left: countInBurst(result, "left"),
        leftBefore:
            result.outcomes.filter(({ program, outcome }) => outcome === "left" && program.startMs < burstStartMs)
                .length, wasted: result.recomputedTokens / result.promptTokens };
}

const pinnedResults = new Map<string, number>();

function runPinned(count: number, seed: number, setup: CreateSetup,
    countDone: (result: RunResult, outcome: "done") => number) {
    const key = `${count} ${seed}`;
    const found = pinnedResults.get(key) ?? countDone(run(count, seed, setup), "done");
    pinnedResults.set(key, found);
    return found;
}

function measureRecomputation(policy: PolicyName, seed: number): Record<string, number> {
    const result = runAtLoad(policy, seed, 0.8);
    return { ratio: result.recomputedTokens / result.promptTokens };
}

function measureSlowEngines(policy: PolicyName, seed: number): Record<string, number> {
    const load = 0.7;
    const slowed = run(policy, seed,
        () => ({ programs: createPoolTrace(seed, steadyLoad(load)),
            slow: { engines: 2, factor: 5, fromMs: 150_000, toMs: 155_000 } }));
    const unslowed = runAtLoad(policy, seed, load);
    const p99 = (result: RunResult) => quantile(latencies(result), 0.99);
    const shortP99 = (result: RunResult) => quantile(latencies(result, ({ program }) => isShort(program)), 0.99);
    return { slowedMs: p99(slowed), usualMs: p99(unslowed), ratio: p99(slowed) / p99(unslowed),
        shortRatio: shortP99(slowed) / shortP99(unslowed) };
}

function compareToLeastConnections(load: number): Measure {
    return (policy, seed) => {
        const results = latencies(runAtLoad(policy, seed, load));
        const baseline = latencies(runAtLoad("leastConnections", seed, load));
        return { p50Ms: quantile(results, 0.5), p99Ms: quantile(results, 0.99),
            p50: quantile(results, 0.5) / quantile(baseline, 0.5),
            p99: quantile(results, 0.99) / quantile(baseline, 0.99),
            refused: refusedShare(runAtLoad(policy, seed, load)) };
    };
}

const measures: Record<string, { readonly target: string; readonly measure: Measure; }> = {
    headOfLine: { target: "ratio <= 1.10", measure: measureHeadOfLine(0.8) },
    headOfLine50: { target: "ratio <= 1.10", measure: measureHeadOfLine(0.5) },
    crest: { target: "ratio >= 0.95", measure: measureBurst },
    cache: { target: "ratio <= 0.03", measure: measureRecomputation },
    slow: { target: "ratio <= 1.25", measure: measureSlowEngines },
    load80: { target: "p50, p99 <= 0.5", measure: compareToLeastConnections(0.8) },
    load20: { target: "p50, p99 <= 1", measure: compareToLeastConnections(0.2) },
};

function option(name: string): string | undefined {
    return process.argv.find(argument => argument.startsWith(`--${name}=`))?.slice(name.length + 3);
}

function formatRows(rows: readonly Record<string, number>[]): string {
    return Object.keys(rows[0]!).map(key => {
        const values = rows.map(row => row[key]!);
        const digits = values.every(value => Math.abs(value) >= 20) ? 0 : 3;
        const range = `${Math.min(...values).toFixed(digits)}..${Math.max(...values).toFixed(digits)}`;
        return `${key} ${quantile(values, 0.5).toFixed(digits)} (${range})`;
    }).join("  ");
}

const seeds = Array.from({ length: Number(option("seeds") ?? 5) }, (_, index) => index + 1);
for (const [name, { target, measure }] of Object.entries(measures)) {
    if ((option("measure") ?? name) !== name) {
        continue;
    }
    console.log(`${name}: target ${target}; median (lowest..highest) of ${seeds.length} seeds`);
    for (const policy of policyNames) {
        if ((option("policy") ?? policy) === policy) {
            console.log(`  ${policy.padEnd(16)} ${formatRows(seeds.map(seed => measure(policy, seed)))}`);
        }
    }
}
