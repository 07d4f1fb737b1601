import assert from "node:assert/strict";
import { execFileSync, spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { after, test } from "node:test";

const root = resolve(import.meta.dirname, "../../..");
const folder = mkdtempSync(join(tmpdir(), "tamarackgauge-binary-"));
after(() => rmSync(folder, { recursive: true }));

/** Builds into a folder of its own and returns the bundle and the executable. */
function build(name: string, ...options: string[]): { bundle: string; executable: string; } {
    const out = join(folder, name);
    execFileSync(process.execPath, [join(root, "scripts/build.mjs"), "--out", out, ...options], { stdio: "pipe" });
    return { bundle: join(out, "tamarackgauge.cjs"), executable: join(out, "tamarackgauge") };
}

/** Runs a program in an empty folder, where neither sources nor libraries can be found. */
function runIsolated(program: string, ...args: string[]) {
    const cwd = mkdtempSync(join(folder, "empty-"));
    return spawnSync(program, args, { cwd, encoding: "utf8", timeout: 30_000 });
}

test("bundle and executable start in an empty folder (guards against parts left out of the binary)", () => {
    const { bundle, executable } = build("main");
    for (const result of [runIsolated(process.execPath, bundle, "--help"), runIsolated(executable, "--help")]) {
        assert.equal(result.status, 0, result.stderr);
        assert.equal(result.stderr, "");
    }
});

test("every library works inside the executable (guards against libraries that load files at run time)", () => {
    const { executable } = build("libraries", "--entry", join(import.meta.dirname, "everyLibrary.ts"));
    const result = runIsolated(executable);
    assert.equal(result.status, 0, result.stderr);
    assert.deepEqual(JSON.parse(result.stdout), { right: 1, maximum: 7, metrics: "string" });
});

test("a failed build leaves no binary (guards against an old binary taken for the new one)", () => {
    const out = join(folder, "failed");
    const { bundle } = build("failed", "--bundle-only");
    const args = [join(root, "scripts/build.mjs"), "--out", out, "--entry", "missing.ts"];
    assert.notEqual(spawnSync(process.execPath, args, { encoding: "utf8" }).status, 0);
    assert.equal(existsSync(bundle), false);
});
