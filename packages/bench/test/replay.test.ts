import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { firstDifference } from "../src/replay/compare.ts";
import { readReplay, type Replay, writeReplay } from "../src/replay/file.ts";
import { simulate } from "../src/replay/simulate.ts";

const folder = join(import.meta.dirname, "../replays");
const files = readdirSync(folder);

function loadReplay(file: string): Replay {
    return readReplay(readFileSync(join(folder, file), "utf8")).caseOf({
        Left: problem => assert.fail(problem),
        Right: replay => replay,
    });
}

for (const file of files) {
    test(`${file} replays with its recorded outcomes (guards against changes of who is served when)`, () => {
        const replay = loadReplay(file);
        assert.ok(replay.outcomes.length > 0);
        assert.equal(firstDifference(replay.outcomes, simulate(replay)), undefined);
    });
}

test("a different order, time or number of outcomes is found (guards against a comparison that always passes)", () => {
    const { outcomes } = loadReplay(files[0]!);
    const [first, second, ...rest] = outcomes;
    assert.match(firstDifference([second!, first!, ...rest], outcomes) ?? "", /^outcome 1: expected /);
    assert.match(firstDifference([{ ...first!, atMs: first!.atMs + 0.001 }, second!, ...rest], outcomes) ?? "",
        /^outcome 1/);
    assert.match(firstDifference(outcomes.slice(1), outcomes) ?? "", /^outcome 1/);
    assert.match(firstDifference(outcomes, outcomes.slice(0, -1)) ?? "", /but was nothing$/);
});

test("written replay files read back unchanged and problems name the line (guards against skipped lines)", () => {
    const replay = loadReplay(files[0]!);
    const text = writeReplay(replay);
    assert.deepEqual(readReplay(text).extract(), replay);
    assert.match(readReplay(text.replace("\"served\"", "\"done\"")).swap().orDefault(""), /^line \d+, outcome: /);
    assert.match(readReplay(text.split("\n").slice(1).join("\n")).swap().orDefault(""), /first line/);
    assert.match(readReplay("").swap().orDefault(""), /first line/);
});
