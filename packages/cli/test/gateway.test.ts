import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Readable } from "node:stream";
import { test } from "node:test";
import { runCommand } from "../src/commands.ts";

async function run(words: readonly string[]) {
    const out: string[] = [];
    const error: string[] = [];
    const terminal = { environment: {}, input: Readable.from([]), out: (line: string) => out.push(line),
        error: (line: string) => error.push(line) };
    const code = await runCommand(terminal, async () => 0, words);
    return { code, out, error };
}

async function withFile(text: string, use: (path: string) => Promise<void>): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "tamarackgauge-"));
    try {
        const path = join(folder, "file");
        await writeFile(path, text);
        await use(path);
    }
    finally {
        await rm(folder, { recursive: true });
    }
}

test("check-settings tells each fault with its field, value and what is allowed (guards against a guess at each start)", async () => {
    await withFile("nodeName=a\nbounds.graceS=soon\n", async path => {
        const { code, error } = await run(["check-settings", path]);
        assert.equal(code, 2);
        assert.ok(error.includes("bounds.graceS=soon; allowed: seconds, 0 or more"));
        assert.ok(error.some(line => line.startsWith("provider.address is missing")));
    });
    assert.equal((await run(["check-settings", "/none"])).code, 2);
});

test("explain prints the lines of a call, and fails if there are none (guards against silence taken for no fault)", async () => {
    const line = JSON.stringify({ level: 40, time: 0, vm: "a", event: "call.refused", call: "c1", status: 503 });
    await withFile(`${line}\n`, async path => {
        const found = await run(["explain", "c1", "--from", path]);
        assert.deepEqual(found.out, ["1970-01-01T00:00:00.000Z a call.refused call=c1 status=503"]);
        const missing = await run(["explain", "c2", "--from", path]);
        assert.equal(missing.code, 1);
    });
});
