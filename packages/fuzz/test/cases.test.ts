import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { parseCase, playAndJudge } from "../src/index.ts";

const folder = join(import.meta.dirname, "../cases");
/** Plays at once of each case, as some failures depend on timing. */
const plays = 4;

for (const name of readdirSync(folder).sort()) {
    test(`the case ${name} breaks no rule (guards against the fault that its cause names)`, async () => {
        const { cause, script } = parseCase(readFileSync(join(folder, name), "utf8"));
        const results = await Promise.all(Array.from({ length: plays }, () => playAndJudge(script)));
        assert.deepEqual(results.flatMap(({ violations }) => violations), [], cause);
    });
}
