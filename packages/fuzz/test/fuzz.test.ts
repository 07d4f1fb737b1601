import assert from "node:assert/strict";
import { test } from "node:test";
import { runFuzzer, sides } from "../src/index.ts";
import { describeRun } from "../src/report.ts";

/** The three sides together take a minute at most. */
const maxMs = 12_000;
const maxShrinkMs = 5_000;
const seeds = { engine: 101, caller: 102, store: 103 } as const;
const runs = 120;

for (const side of sides) {
    test(`generated traffic of the ${side} side breaks no rule (guards against bytes on the wire that no test thought of)`, async () => {
        const result = await runFuzzer({ side, seed: seeds[side], runs, maxMs, maxShrinkMs });
        assert.equal(result.find, undefined, describeRun(result).join("\n"));
        assert.ok(result.plays > 0);
    });
}
