import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { once } from "node:events";
import { open, rename, writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { connect } from "node:net";
import { join } from "node:path";
import { test } from "node:test";
import { chooseAddresses, createSettingsFolder, settingsText, spawnProcess, startProcess } from "./gatewayProcess.ts";
import { call, collectText, createFleet, fetchReadinessStatus, turnCall, waitUntil } from "./harness.ts";

test("SIGHUP reads the settings again and ends nothing (guards against a process that a changed setting ends)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    gateway.child.kill("SIGHUP");
    await waitUntil(() => gateway.output().includes("settings.reloaded"), "the settings are read");
    await writeFile(gateway.settingsFile, "nodeName=");
    gateway.child.kill("SIGHUP");
    await waitUntil(() => gateway.output().includes("settings.unreadable"), "unreadable settings are told");
    assert.equal((await call(gateway, turnCall("t1", "p"))).status, 200);
});

test("SIGHUP while the settings are being read is kept for later (guards against a process that ends as it starts)", async () => {
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const file = join(await createSettingsFolder(), "settings.conf");
    const text = settingsText(await fleet.rowStore.open(), addresses);
    // The process waits in its read of a named pipe until the test has written the settings.
    spawnSync("mkfifo", [file]);
    await using gateway = spawnProcess(file, addresses);
    const first = await open(file, "w");
    gateway.child.kill("SIGHUP");
    await first.writeFile(text);
    await writeFile(`${file}.next`, text);
    await rename(`${file}.next`, file);
    await first.close();
    await waitUntil(() => gateway.output().includes("settings.reloaded"), "the settings are read again");
});

test("SIGTERM ends the process when its answers have ended (guards against turns cut by a restart)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const running = call(gateway, turnCall("t1", "p"));
    await waitUntil(() => fleet.engine.ran.length === 1, "the turn runs");
    gateway.child.kill("SIGTERM");
    await waitUntil(async () => await fetchReadinessStatus(gateway.settings.readinessAddress.port) === 503,
        "no more connections are asked for");
    const lateAnswer = await call(gateway, turnCall("t2", "q"));
    assert.ok((await running).whole);
    assert.ok(lateAnswer.whole);
    assert.equal(await gateway.exited, 0);
});

test("a planned stop under load answers every call that it takes (guards against calls just accepted that are cut without an answer)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const results = { completeCount: 0, failures: [] as string[] };
    let stopped = false;
    void gateway.exited.then(() => stopped = true);

    /** Uses one connection for as long as the gateway lets it, then opens the next one. */
    async function sendCalls(caller: number): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        // What comes too late for a connection that is being closed is refused as a whole, before it is read.
        for (let index = 0; !stopped; index += 1) {
            const id = `c${caller}.${index}`;
            try {
                const answer = await call(gateway, { path: "/look/x", id, agent });
                results.completeCount += answer.whole && answer.status === 200 ? 1 : 0;
                if (!answer.whole || answer.status !== 200) {
                    results.failures.push(`${id} ${answer.status} ${answer.body}`);
                }
            }
            catch (error) {
                if (fleet.tool.ran.some(ran => ran.id === id)) {
                    results.failures.push(`${id} ${String(error)}`);
                }
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        }
        agent.destroy();
    }

    const callers = Array.from({ length: 20 }, (_, caller) => sendCalls(caller));
    await waitUntil(() => results.completeCount > 200, "callers press");
    gateway.child.kill("SIGTERM");
    const countAtSignal = results.completeCount;
    assert.equal(await gateway.exited, 0);
    await Promise.all(callers);
    assert.ok(results.completeCount > countAtSignal, "calls are taken until the balancer has turned away");
    assert.deepEqual(results.failures, []);
});

test("a request that arrives in parts across a stop is answered (guards against connections that are cut before their first request)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
    socket.on("error", () => undefined);
    const answer = collectText(socket);
    await once(socket, "connect");
    socket.write("GET /look/x HTTP/1.1\r\nhost: fleet");
    gateway.child.kill("SIGTERM");
    await waitUntil(async () => await fetchReadinessStatus(gateway.settings.callerAddress.port) === 0,
        "the gateway listens no more");
    socket.write(".test\r\nx-request-id: late\r\n\r\n");
    await waitUntil(() => socket.destroyed, "the connection ends");
    assert.match(answer(), /^HTTP\/1.1 200 /);
    assert.ok(fleet.tool.ran.some(ran => ran.id === "late"));
    assert.equal(await gateway.exited, 0);
});

test("after the loss of all processes turns go on and budgets hold (guards against state kept in memory)", async () => {
    await using fleet = await createFleet();
    const budget = 400;
    {
        await using first = await startProcess(fleet);
        assert.ok((await call(first, turnCall("t1", "p", undefined, budget))).whole);
        first.child.kill("SIGKILL");
        await first.exited;
    }
    await using second = await startProcess(fleet);
    const answer = await call(second, turnCall("t2", "p", "t1", budget));
    assert.ok(answer.whole);
    assert.match(fleet.engine.ran[1]!.body, /^input of t1;event 1 of t1\n/);
    let turns = 2;
    while ((await call(second, turnCall(`t${turns + 1}`, "p", undefined, budget))).status === 200) {
        turns += 1;
    }
    // Each turn generates 50 tokens; what the first process held counts as spent.
    assert.ok(turns * 50 <= budget);
    assert.ok(turns >= 4);
});
