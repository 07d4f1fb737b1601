import { createPolicy, createRandom, type Policy, type PolicyName, policyNames } from "../src/index.ts";
import { PinnedPolicy } from "./ceiling.ts";
import { createTrace, type Phase } from "./trace.ts";
import { type Outcome, type Program, type RunResult, runScenario, type Scenario } from "./world.ts";

/**
 * Prints the measures of docs/design.md section 1.4 for each policy, on virtual time.
 * Usage: node --import tsx packages/core/bench/replay.ts [--seeds=5] [--measure=<name>] [--policy=<name>]
 */
const engines = 10;
const daemons = 12;
const patienceMs = 5_000;
/** Long programs take about 100 s, so the load is steady only after that. */
const arrivalsMs = 240_000;
const warmUpMs = 100_000;
const programsPerEngine = [32, 48, 64, 80, 96, 128, 160, 1_000];

type Setup = (seed: number) => Omit<Scenario, "createPolicy" | "random" | "engines" | "daemons">;
type Measure = (policy: PolicyName, seed: number) => Record<string, number>;

function run(policy: PolicyName | number, seed: number, setup: Setup): RunResult {
    const create = (daemon: number): Policy =>
        typeof policy === "number" ?
            new PinnedPolicy(policy)
            : createPolicy(policy, { random: createRandom(seed * 1_000 + daemon), settings: { patienceMs } });
    return runScenario({ ...setup(seed), engines, daemons: typeof policy === "number" ? 1 : daemons,
        random: createRandom(seed + 77), createPolicy: create });
}

function steady(load: number): Phase[] {
    return [{ from: 0, to: arrivalsMs, load }];
}

function trace(seed: number, phases: readonly Phase[]): Program[] {
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

/** Runs that several measures compare against are made once. */
const runs = new Map<string, RunResult>();

function once(policy: PolicyName, seed: number, name: string, setup: Setup): RunResult {
    const key = `${policy} ${seed} ${name}`;
    const result = runs.get(key) ?? run(policy, seed, setup);
    runs.set(key, result);
    return result;
}

function atLoad(policy: PolicyName, seed: number, load: number): RunResult {
    return once(policy, seed, `load ${load}`, () => ({ programs: trace(seed, steady(load)) }));
}

function isShort(program: Program): boolean {
    return program.kind === "short";
}

function headOfLine(load: number): Measure {
    return (policy, seed) => {
        const alone = once(policy, seed, `alone ${load}`, () => ({
            programs: trace(seed, steady(load)).filter(isShort),
        }));
        const shortP95 = (result: RunResult) => quantile(latencies(result, ({ program }) => isShort(program)), 0.95);
        const amid = shortP95(atLoad(policy, seed, load));
        return { amidMs: amid, aloneMs: shortP95(alone), ratio: amid / shortP95(alone) };
    };
}

const burstFrom = 100_000;
const burstTo = 130_000;
const burst: Phase[] = [
    { from: 0, to: burstFrom, load: 0.5 },
    { from: burstFrom, to: burstTo, load: 4 },
    { from: burstTo, to: 150_000, load: 0.5 },
];

function crest(policy: PolicyName, seed: number): Record<string, number> {
    const setup: Setup = () => ({ programs: trace(seed, burst), patienceMs });
    const inBurst = (result: RunResult, outcome: Outcome["outcome"]) =>
        result.outcomes.filter(({ program, outcome: actual }) =>
            program.startMs >= burstFrom && program.startMs < burstTo && actual === outcome
        ).length;
    const could = Math.max(...programsPerEngine.map(count => ceiling(count, seed, setup, inBurst)));
    const result = run(policy, seed, setup);
    const done = inBurst(result, "done");
    return { done, could, ratio: done / could, refused: inBurst(result, "refused"), left: inBurst(result, "left"),
        leftBefore:
            result.outcomes.filter(({ program, outcome }) => outcome === "left" && program.startMs < burstFrom).length,
        wasted: result.wastedTokens / result.promptTokens };
}

const ceilings = new Map<string, number>();

function ceiling(count: number, seed: number, setup: Setup, done: (result: RunResult, outcome: "done") => number) {
    const key = `${count} ${seed}`;
    const found = ceilings.get(key) ?? done(run(count, seed, setup), "done");
    ceilings.set(key, found);
    return found;
}

function cache(policy: PolicyName, seed: number): Record<string, number> {
    const result = atLoad(policy, seed, 0.8);
    return { ratio: result.wastedTokens / result.promptTokens };
}

function slow(policy: PolicyName, seed: number): Record<string, number> {
    const load = 0.7;
    const slowed = run(policy, seed,
        () => ({ programs: trace(seed, steady(load)), slow: { engines: 2, factor: 5, from: 150_000, to: 155_000 } }));
    const usual = atLoad(policy, seed, load);
    const p99 = (result: RunResult) => quantile(latencies(result), 0.99);
    const shortP99 = (result: RunResult) => quantile(latencies(result, ({ program }) => isShort(program)), 0.99);
    return { slowedMs: p99(slowed), usualMs: p99(usual), ratio: p99(slowed) / p99(usual),
        shortRatio: shortP99(slowed) / shortP99(usual) };
}

function against(load: number): Measure {
    return (policy, seed) => {
        const own = latencies(atLoad(policy, seed, load));
        const base = latencies(atLoad("leastConnections", seed, load));
        return { p50Ms: quantile(own, 0.5), p99Ms: quantile(own, 0.99), p50: quantile(own, 0.5) / quantile(base, 0.5),
            p99: quantile(own, 0.99) / quantile(base, 0.99), refused: refusedShare(atLoad(policy, seed, load)) };
    };
}

const measures: Record<string, { readonly target: string; readonly of: Measure; }> = {
    headOfLine: { target: "ratio <= 1.10", of: headOfLine(0.8) },
    headOfLine50: { target: "ratio <= 1.10", of: headOfLine(0.5) },
    crest: { target: "ratio >= 0.95", of: crest },
    cache: { target: "ratio <= 0.03", of: cache },
    slow: { target: "ratio <= 1.25", of: slow },
    load80: { target: "p50, p99 <= 0.5", of: against(0.8) },
    load20: { target: "p50, p99 <= 1", of: against(0.2) },
};

function option(name: string): string | undefined {
    return process.argv.find(argument => argument.startsWith(`--${name}=`))?.slice(name.length + 3);
}

function show(rows: readonly Record<string, number>[]): string {
    return Object.keys(rows[0]!).map(key => {
        const values = rows.map(row => row[key]!);
        const digits = values.every(value => Math.abs(value) >= 20) ? 0 : 3;
        const range = `${Math.min(...values).toFixed(digits)}..${Math.max(...values).toFixed(digits)}`;
        return `${key} ${quantile(values, 0.5).toFixed(digits)} (${range})`;
    }).join("  ");
}

const seeds = Array.from({ length: Number(option("seeds") ?? 5) }, (_, index) => index + 1);
for (const [name, { target, of }] of Object.entries(measures)) {
    if ((option("measure") ?? name) !== name) {
        continue;
    }
    console.log(`${name}: target ${target}; median (lowest..highest) of ${seeds.length} seeds`);
    for (const policy of policyNames) {
        if ((option("policy") ?? policy) === policy) {
            console.log(`  ${policy.padEnd(16)} ${show(seeds.map(seed => of(policy, seed)))}`);
        }
    }
}
