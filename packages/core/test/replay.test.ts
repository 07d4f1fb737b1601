import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultEngineModel } from "../bench/engine.ts";
import { createTrace } from "../bench/trace.ts";
import { type Outcome, type Program, runScenario, type Scenario } from "../bench/world.ts";
import { createPolicy, createRandom, type PolicyName } from "../src/index.ts";

/** Simulates one daemon with one engine whose batch size is two, unless changed. */
function replay(programs: readonly Program[], change: Partial<Scenario> = {}, name: PolicyName = "attainedService") {
    const patienceMs = change.patienceMs ?? 5_000;
    return runScenario({ programs, engines: 1, daemons: 1, model: { ...defaultEngineModel, maxBatchSize: 2 },
        random: createRandom(1),
        createPolicy: daemon => createPolicy(name, { random: createRandom(daemon + 1), settings: { patienceMs } }),
        ...change });
}

function program(name: string, startMs: number, turns: number, outputTokens: number, newTokens = 400): Program {
    const turn = { newTokens, outputTokens, pauseMs: 100 };
    return { name, plan: "p", kind: "short", startMs, turns: Array.from({ length: turns }, () => turn) };
}

const count = (outcomes: readonly Outcome[], kind: Outcome["outcome"]) =>
    outcomes.filter(({ outcome }) => outcome === kind).length;

/** Six long programs that saturate the engine, then two short ones. */
const mixedPrograms = [...[1, 2, 3, 4, 5, 6].map(index => program(`long${index}`, 0, 6, 150, 3_000)),
    program("short1", 35_000, 2, 10), program("short2", 35_010, 2, 10)];

test("short programs overtake long ones (guards against head-of-line blocking and any change of the order)", () => {
    const attained = replay(mixedPrograms);
    const turnOfAll = (turn: number) => [1, 2, 3, 4, 5, 6].map(index => `long${index}#${turn}`);
    assert.deepEqual(attained.firstTokenOrder, [...[0, 1, 2, 3].flatMap(turnOfAll), "long1#4", "long2#4", "short1#0",
        "short2#0", "long3#4", "short1#1", "short2#1", "long4#4", "long5#4", "long6#4", ...turnOfAll(5)]);
    assert.deepEqual([count(attained.outcomes, "done"), count(attained.outcomes, "refused")], [8, 0]);
    assert.equal(attained.recomputedTokens, 0);
    const leastConnections = replay(mixedPrograms, {}, "leastConnections");
    const shortLatencyMs = ({ outcomes }: typeof leastConnections) =>
        outcomes.find(({ program: { name } }) => name === "short2")!.latencyMs;
    assert.ok(shortLatencyMs(attained) < shortLatencyMs(leastConnections) / 10,
        `${shortLatencyMs(attained)} ${shortLatencyMs(leastConnections)}`);
});

test("overload refuses new programs at once and active ones never (guards against waits without an outcome)", () => {
    const crowd = Array.from({ length: 120 }, (_, index) => program(`c${index}`, 60 * index, 3, 20));
    const { outcomes } = replay(crowd, { patienceMs: 2_000 });
    const refused = outcomes.filter(({ outcome }) => outcome === "refused");
    assert.deepEqual([count(outcomes, "done"), refused.length, count(outcomes, "left")], [17, 86, 17]);
    assert.ok(refused.every(({ turns, latencyMs }) => turns === 0 && latencyMs === 0));
});

test("the same seeds give the same run (guards against a simulation that is not deterministic)", () => {
    const trace = createTrace(createRandom(5), 3, [{ fromMs: 0, toMs: 10_000, load: 0.7 }]);
    const run = () => replay(trace, { engines: 3, daemons: 4, model: defaultEngineModel, random: createRandom(9) });
    assert.deepEqual(run(), run());
});

test("every program has an outcome when engines slow down and callers leave (guards against lost programs)", () => {
    for (let seed = 1; seed <= 5; seed += 1) {
        const trace = createTrace(createRandom(seed), 3, [{ fromMs: 0, toMs: 8_000, load: 1.5 }]);
        const { outcomes } = replay(trace, { engines: 3, daemons: 4, model: defaultEngineModel, patienceMs: 1_500,
            slow: { engines: 1, factor: 5, fromMs: 2_000, toMs: 4_000 }, random: createRandom(seed) });
        assert.equal(outcomes.length, trace.length);
    }
});
