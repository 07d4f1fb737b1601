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

test("SIGHUP reloads the settings and interrupts nothing (guards against a process that ends on a changed setting)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    gateway.child.kill("SIGHUP");
    await waitUntil(() => gateway.output().includes("settings.reloaded"), "the settings are reloaded");
    await writeFile(gateway.settingsFile, "nodeName=");
    gateway.child.kill("SIGHUP");
    await waitUntil(() => gateway.output().includes("settings.unreadable"), "unreadable settings are logged");
    assert.equal((await call(gateway, turnCall("t1", "p"))).status, 200);
});

test("SIGHUP during startup is handled after startup (guards against a process that is ended by the signal)", async () => {
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const file = join(await createSettingsFolder(), "settings.conf");
    const text = settingsText(await fleet.rowStore.open(), addresses);
    // The settings file is a named pipe, so the process blocks in its read until the test writes the settings.
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

test("SIGTERM ends the process after its answers are complete (guards against turns interrupted by a restart)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const running = call(gateway, turnCall("t1", "p"));
    await waitUntil(() => fleet.engine.executed.length === 1, "the turn runs");
    gateway.child.kill("SIGTERM");
    await waitUntil(async () => await fetchReadinessStatus(gateway.settings.readinessAddress.port) === 503,
        "the gateway is no longer ready");
    // A second signal must not end the process at once.
    gateway.child.kill("SIGTERM");
    const lateAnswer = await call(gateway, turnCall("t2", "q"));
    assert.ok((await running).whole);
    assert.ok(lateAnswer.whole);
    assert.equal(await gateway.exited, 0);
});

test("SIGINT and SIGQUIT stop a process as SIGTERM does, and further signals change nothing (guards against calls cut by a signal)", async () => {
    await using fleet = await createFleet();
    for (const [index, signal] of (["SIGINT", "SIGQUIT"] as const).entries()) {
        await using gateway = await startProcess(fleet, { name: signal });
        const running = call(gateway, turnCall(`t${index}`, `p${index}`));
        await waitUntil(() => fleet.engine.executed.length === index + 1, "the turn runs");
        gateway.child.kill(signal);
        await waitUntil(() => gateway.output().includes("gateway.stopping"), "it stops");
        for (const further of ["SIGTERM", "SIGINT", "SIGQUIT", "SIGHUP", "SIGUSR1", "SIGUSR2"] as const) {
            gateway.child.kill(further);
        }
        assert.ok((await running).whole);
        assert.equal(await gateway.exited, 0);
        assert.match(gateway.output(), /"event":"gateway.ended","exitCode":0,"cause":"asked to stop"/);
    }
});

test("SIGUSR1 and SIGUSR2 are logged and change nothing (guards against a process that ends, or opens its inspector, on a signal)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    for (const signal of ["SIGUSR1", "SIGUSR2"] as const) {
        gateway.child.kill(signal);
        await waitUntil(() => gateway.output().includes(`"event":"signal.ignored","signal":"${signal}"`), signal);
    }
    assert.equal((await call(gateway, turnCall("t1", "p"))).status, 200);
    assert.doesNotMatch(gateway.errors(), /Debugger listening/);
});

test("a process that ends logs its exit code and the cause (guards against an end that no log explains)", async () => {
    await using fleet = await createFleet();
    await using stopped = await startProcess(fleet);
    stopped.child.kill("SIGTERM");
    assert.equal(await stopped.exited, 0);
    assert.match(stopped.output(), /"vm":"g","event":"gateway.ended","exitCode":0,"cause":"asked to stop"/);
});

test("a graceful shutdown under load answers every accepted call (guards against accepted calls that are interrupted without an answer)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const results = { completeCount: 0, failures: [] as string[] };
    let stopped = false;
    void gateway.exited.then(() => stopped = true);

    /** Sends calls over one connection until the gateway closes it, then opens the next one. */
    async function sendCalls(caller: number): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        // A call on a connection that is being closed may fail, but only if it has not run.
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
                if (fleet.tool.executed.some(ran => ran.id === id)) {
                    results.failures.push(`${id} ${String(error)}`);
                }
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        }
        agent.destroy();
    }

    const callers = Array.from({ length: 20 }, (_, caller) => sendCalls(caller));
    await waitUntil(() => results.completeCount > 200, "calls are being answered");
    gateway.child.kill("SIGTERM");
    const countAtSignal = results.completeCount;
    assert.equal(await gateway.exited, 0);
    await Promise.all(callers);
    assert.ok(results.completeCount > countAtSignal,
        "calls are accepted until the load balancer has removed the gateway");
    assert.deepEqual(results.failures, []);
});

test("a request of which a part arrives after SIGTERM is answered (guards against connections that are closed before their first request)", async () => {
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
    assert.ok(fleet.tool.executed.some(ran => ran.id === "late"));
    assert.equal(await gateway.exited, 0);
});

test("after all processes were killed, turns can be continued and budgets are not exceeded (guards against state kept only in memory)", async () => {
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
    assert.match(fleet.engine.executed[1]!.body, /^input of t1;event 1 of t1\n/);
    let turns = 2;
    while ((await call(second, turnCall(`t${turns + 1}`, "p", undefined, budget))).status === 200) {
        turns += 1;
    }
    // Each turn generates 50 tokens; the grant of the killed process counts as spent.
    assert.ok(turns * 50 <= budget);
    assert.ok(turns >= 4);
});
