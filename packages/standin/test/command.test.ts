import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const main = fileURLToPath(new URL("../src/main.ts", import.meta.url));

void test("each stand-in starts as a process, prints its address, and exits cleanly on SIGTERM", async () => {
    for (const args of [["platform"], ["engine", "--fenced", "true"], ["service"], ["forwarder", "--target", "1"]]) {
        const child = spawn(process.execPath, ["--import", "tsx", main, ...args, "--port", "0"]);
        const [line] = await once(child.stdout, "data") as [Buffer];
        assert.match(String(line), new RegExp(`^${args[0]} listening on 127\\.0\\.0\\.1:\\d+\\n$`));
        child.kill("SIGTERM");
        assert.deepEqual(await once(child, "exit"), [0, null]);
    }
});

void test("an invalid setting ends the process with an error message", async () => {
    const child = spawn(process.execPath, ["--import", "tsx", main, "engine", "--scale", "0"]);
    let errors = "";
    child.stderr.on("data", bytes => {
        errors += String(bytes);
    });
    const [code] = await once(child, "close") as [number];
    assert.equal(code, 1);
    assert.match(errors, /engine cannot start:[^]*scale/);
});
