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

test("the bundle names invalid settings (guards against an error that is lost before the program is loaded)", async () => {
    await using bundle = await buildDeployedProgram();
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const file = join(await createSettingsFolder(), "settings.conf");
    await writeFile(file, settingsText(await fleet.rowStore.open(), addresses).replace("bounds.graceS=8", ""));
    await using gateway = spawnProcess(file, addresses, bundle.program);
    assert.equal(await gateway.exited, 2);
});
