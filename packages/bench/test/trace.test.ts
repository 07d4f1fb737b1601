import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { type Experiment, parseExperiment } from "../src/experiment.ts";
import { generateRunTrace, runNames } from "../src/runs.ts";
import { readTrace, writeTrace } from "../src/trace.ts";
import { callsOf, maxCompletablePrograms, minEngineTimeMs } from "../src/work.ts";

const experimentTexts = ["southern-brazil", "zahorie"].map(name =>
    readFileSync(join(import.meta.dirname, `../experiments/${name}.json`), "utf8")
);

function loadExperiment(text: string): Experiment {
    return parseExperiment(text).caseOf({
        Left: problems => assert.fail(problems.join("\n")),
        Right: experiment => experiment,
    });
}

test("the same seed always gives the same trace (guards against comparing policies on different programs)", () => {
    for (const experiment of experimentTexts.map(loadExperiment)) {
        for (const name of runNames) {
            assert.deepEqual(generateRunTrace(experiment, name, 7), generateRunTrace(experiment, name, 7));
        }
        assert.notDeepEqual(generateRunTrace(experiment, "load80", 7), generateRunTrace(experiment, "load80", 8));
    }
});

test("the run alone has exactly the short programs of load80 (guards against blocking measured on others)", () => {
    const experiment = loadExperiment(experimentTexts[0]!);
    const allPrograms = generateRunTrace(experiment, "load80", 1);
    assert.deepEqual(generateRunTrace(experiment, "alone", 1), allPrograms.filter(({ long }) => !long));
    assert.ok(allPrograms.some(({ long }) => long));
});

test("arrivals give the requested load (guards against a trace with less load than its name says)", () => {
    const experiment = { ...loadExperiment(experimentTexts[0]!), steadyMs: 1_000_000 };
    const [pool] = experiment.pools;
    const engineTimeMs = generateRunTrace(experiment, "load80", 1).reduce(
        (sum, each) => sum + minEngineTimeMs(callsOf(each), pool),
        0,
    );
    const measuredLoad = engineTimeMs / pool.engines / experiment.steadyMs;
    assert.ok(Math.abs(measuredLoad - 0.8) < 0.03, String(measuredLoad));
});

test("a trace reads back as written, problems name the line (guards against a silently shortened trace)", () => {
    const programs = generateRunTrace(loadExperiment(experimentTexts[1]!), "load20", 1);
    assert.deepEqual(readTrace(writeTrace(programs)).extract(), programs);
    const invalidTrace = writeTrace(programs).replace(/"promptTokens":\d+/, "\"promptTokens\":-1");
    assert.match(readTrace(invalidTrace).swap().orDefault(""), /^line \d+, steps\.\d+(\.steps\.\d+)?\.promptTokens: /);
    assert.match(readTrace("{\n").swap().orDefault(""), /^line 1, /);
    assert.match(readTrace("").swap().orDefault(""), /has no program/);
});

test("problems of experiment files name line and field (guards against a run with unintended settings)", () => {
    const invalidText = experimentTexts[0]!.replace("\"scale\": 4", "\"scale\": 0").replace("\"retries\": 1",
        "\"retires\": 1");
    const problems = parseExperiment(invalidText).swap().orDefault([]);
    assert.ok(problems.some(problem => /^4:\d+ scale: /.test(problem)), problems.join("\n"));
    assert.ok(problems.some(problem => problem.includes("retries")), problems.join("\n"));
    const duplicateField = experimentTexts[0]!.replace("\"retries\": 1", "\"retries\": 1,\n    \"retries\": 2");
    assert.match(parseExperiment(duplicateField).swap().orDefault([]).join("\n"), /retries: occurs twice/);
    assert.match(parseExperiment("{").swap().orDefault([]).join("\n"), /^1:\d+ \(file\): /);
    const reversedRange = experimentTexts[0]!.replace("\"turns\": [1, 3]", "\"turns\": [3, 1]");
    assert.match(parseExperiment(reversedRange).swap().orDefault([]).join("\n"), /kinds\[0\]\.turns: .*low <= high/);
});

test("the bound excludes programs that cannot meet their deadline (guards against a distorted ratio to it)", () => {
    const experiment = loadExperiment(experimentTexts[0]!);
    const [pool] = experiment.pools;
    const longPromptStep = { type: "model" as const, model: pool.model, promptTokens: 80_000, outputTokens: 1,
        pauseMs: 0 };
    const programs = Array.from({ length: 50 },
        (_, index) => ({ name: `p${index}`, plan: "p", kind: "k", long: false, startMs: 0, steps: [longPromptStep] }));
    // Each program takes 10 s on one engine, or 1 s on all ten; its deadline is the patience plus one step.
    assert.equal(maxCompletablePrograms(programs, pool, 5_000), 5);
});
