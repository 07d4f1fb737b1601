import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { loadProgram, writeProgramCache } from "../src/programCache.ts";

test("a program runs from its compiled code, and without it if that is missing, damaged or of another build (guards against old code that runs, and a start that fails)", async () => {
    const folder = await mkdtemp(join(tmpdir(), "program-"));
    try {
        const program = join(folder, "program.cjs");
        const cache = join(folder, "program.cache");
        const resultOf = () => (loadProgram(program) as { readonly answer: () => number; }).answer();
        await writeFile(program, "module.exports = { answer: () => 41 };");
        assert.equal(resultOf(), 41);
        writeProgramCache(program);
        assert.equal(resultOf(), 41);
        const sound = await readFile(cache);
        for (const damaged of [sound.subarray(0, sound.length / 2), Buffer.alloc(0), sound.map(byte => byte ^ 1)]) {
            await writeFile(cache, damaged);
            assert.equal(resultOf(), 41);
        }
        await writeFile(cache, sound);
        await writeFile(program, "module.exports = { answer: () => 42 };");
        assert.equal(resultOf(), 42);
    }
    finally {
        await rm(folder, { recursive: true });
    }
});
