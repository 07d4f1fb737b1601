import assert from "node:assert/strict";
import { test } from "node:test";
import { run, withFile } from "./terminal.ts";

test("check-settings reports every fault with its field, value and allowed values (guards against one fault found per start)", async () => {
    await withFile("settings.conf", "nodeName=a\nbounds.graceS=soon\n", async path => {
        const { code, error } = await run(`check-settings ${path}`);
        const lines = error.split("\n");
        assert.equal(code, 2);
        assert.ok(lines.includes("bounds.graceS=soon; allowed: seconds, 0 or more"));
        assert.ok(lines.some(line => line.startsWith("provider.address is missing")));
    });
    assert.equal((await run("check-settings /none")).code, 2);
});

test("explain prints the log lines of a call and fails if there are none (guards against a missing log taken for no fault)", async () => {
    const line = JSON.stringify({ level: 40, time: 0, vm: "a", event: "call.refused", call: "c1", status: 503 });
    await withFile("gateway.log", `${line}\n`, async path => {
        const found = await run(`explain c1 --from ${path}`);
        assert.equal(found.out, "1970-01-01T00:00:00.000Z a call.refused call=c1 status=503");
        const missing = await run(`explain c2 --from ${path}`);
        assert.equal(missing.code, 1);
    });
});
