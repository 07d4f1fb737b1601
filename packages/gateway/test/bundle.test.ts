import assert from "node:assert/strict";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import { buildDeployedProgram, chooseAddresses, createSettingsFolder, settingsText, spawnProcess,
    startProcess } from "./gatewayProcess.ts";
import { call, createFleet, turnCall } from "./harness.ts";

test("the bundle serves turns and tool calls (guards against a module that is left out although it is used)", async () => {
    await using bundle = await buildDeployedProgram();
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet, bundle);
    assert.equal((await call(gateway, turnCall("t1", "p"))).status, 200);
    assert.equal((await call(gateway, turnCall("t2", "p", "t1"))).status, 200);
    assert.equal((await call(gateway, { path: "/pay/x", id: "1", body: "x" })).status, 200);
    gateway.child.kill("SIGTERM");
    assert.equal(await gateway.exited, 0);
});

test("the bundle names all invalid settings once they have stayed the same (guards against an error that is lost before the program is loaded)", async () => {
    await using bundle = await buildDeployedProgram();
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const file = join(await createSettingsFolder(), "settings.conf");
    const text = settingsText(await fleet.rowStore.open(), addresses);
    await writeFile(file,
        text.replace("graceS=8", "graceS=soon").replace(/bind.front=.*/, "bind.front=127.0.0.1:70000"));
    const startedAt = performance.now();
    await using gateway = spawnProcess(file, addresses, bundle.program);
    assert.equal(await gateway.exited, 2);
    assert.ok(performance.now() - startedAt >= 15_000);
    assert.match(gateway.errors(), /^bind.front=127.0.0.1:70000; allowed: .*\nbounds.graceS=soon; allowed: .*\n$/);
    assert.match(gateway.output(), /"event":"gateway.waiting","awaited":"settings","reason":"bind.front=127/);
    assert.match(gateway.output(), /"event":"gateway.ended","exitCode":2,"cause":"bind.front=.*bounds.graceS=soon; /);
});
