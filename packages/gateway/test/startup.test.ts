import assert from "node:assert/strict";
import { writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { describeError, endingOf, stoppedEnding } from "../src/ending.ts";
import { listen } from "../src/listen.ts";
import { createProcessLog } from "../src/processLog.ts";
import { chooseAddresses, createSettingsFolder, type GatewayAddresses, occupyPort, settingsText,
    spawnProcess } from "./gatewayProcess.ts";
import { call, createFleet, fetchReadinessStatus, type Fleet, freeAddress, turnCall, waitUntil,
    waitUntilReady } from "./harness.ts";

/** Time for which a step of a start is held open before and after the rows change. */
const heldStartMs = 500;
const names = ["callerAddress", "readinessAddress", "peerAddress", "metricsAddress"] as const;

/** Starts a process without waiting until it is ready. */
async function spawnGateway(fleet: Fleet, addresses: GatewayAddresses, writeSettings = true) {
    const settingsFile = join(await createSettingsFolder(), "settings.conf");
    const text = settingsText(await fleet.rowStore.open(), addresses);
    if (writeSettings) {
        await writeFile(settingsFile, text);
    }
    return { gateway: spawnProcess(settingsFile, addresses), settingsFile, text };
}

async function waitUntilServing(fleet: Fleet, addresses: GatewayAddresses): Promise<void> {
    await waitUntil(async () => await fetchReadinessStatus(addresses.readinessAddress.port) === 200, "it is ready");
    assert.equal((await call({ settings: addresses }, turnCall("t1", "p"))).status, 200);
}

for (const name of names) {
    test(`a gateway whose ${name} is in use at the start serves once it is free (guards against a process that stays unready or ends again and again)`, async () => {
        await using fleet = await createFleet();
        const addresses = await chooseAddresses();
        const occupied = await occupyPort(addresses[name]);
        const { gateway } = await spawnGateway(fleet, addresses);
        await using process = gateway;
        // The sources take some time to load; the address must be in use when the process listens.
        await Promise.race([process.exited, new Promise(resolve => setTimeout(resolve, 3_000))]);
        assert.equal(process.child.exitCode, null);
        await occupied[Symbol.asyncDispose]();
        await waitUntilServing(fleet, addresses);
    });
}

for (const name of ["metricsAddress", "peerAddress"] as const) {
    test(`a gateway serves although its ${name} stays in use, and listens there once it is free (guards against a process that serves nobody for lack of metrics or of links)`, async () => {
        await using fleet = await createFleet();
        const addresses = await chooseAddresses();
        const occupied = await occupyPort(addresses[name]);
        const { gateway } = await spawnGateway(fleet, addresses);
        await using process = gateway;
        await waitUntilServing(fleet, addresses);
        const report = `"event":"gateway.waiting","awaited":"127.0.0.1:${occupied.port}","reason":"listen EADDRINUSE`;
        await waitUntil(() => process.output().includes(report), "the reason is logged");
        await occupied[Symbol.asyncDispose]();
        await waitUntil(async () => await fetchReadinessStatus(occupied.port) !== 0, "it listens there");
    });
}

for (const name of ["callerAddress", "readinessAddress"] as const) {
    test(`a gateway whose ${name} stays in use waits, names it and is not ready (guards against a process that ends again and again)`, async () => {
        await using fleet = await createFleet();
        const addresses = await chooseAddresses();
        const occupied = await occupyPort(addresses[name]);
        const { gateway } = await spawnGateway(fleet, addresses);
        await using process = gateway;
        const report = `"event":"gateway.waiting","awaited":"127.0.0.1:${occupied.port}","reason":"listen EADDRINUSE`;
        const reportCount = () => process.output().split(report).length - 1;
        // The fourth report comes 15 s after the first one, which is longer than any wait of the past.
        await waitUntil(() => reportCount() >= 4, "it reports at intervals");
        await sleep(500);
        assert.equal(process.child.exitCode, null);
        assert.notEqual(await fetchReadinessStatus(addresses.readinessAddress.port), 200);
        await occupied[Symbol.asyncDispose]();
        await waitUntilServing(fleet, addresses);
    });
}

for (const code of ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]) {
    test(`a gateway that starts while there are no resources for a socket (${code}) listens once there are (guards against a process that ends for what passes)`, async () => {
        const server = createServer();
        const listenNow = server.listen.bind(server) as (options: object) => typeof server;
        let refusals = 2;
        server.listen = ((options: object) => {
            refusals -= 1;
            if (refusals < 0) {
                return listenNow(options);
            }
            server.emit("error", Object.assign(new Error(`listen ${code}`), { code }));
            return server;
        }) as typeof server.listen;
        const address = await freeAddress();
        await listen(server, () => address, createProcessLog());
        assert.equal(server.listening, true);
        server.close();
    });
}

test("a gateway that may not use a port ends and names it (guards against a process that waits for what does not pass)", async () => {
    const refusal = Object.assign(new Error("listen EACCES: permission denied"), { code: "EACCES" });
    const server = createServer();
    server.listen = () => {
        server.emit("error", refusal);
        return server;
    };
    const ending = await endingOf(async () => {
        await listen(server, () => ({ host: "127.0.0.1", port: 81 }), createProcessLog());
        return stoppedEnding;
    });
    assert.deepEqual(ending, { exitCode: 3,
        causes: ["cannot listen on 127.0.0.1:81: listen EACCES: permission denied"] });
});

test("any thrown value can be described (guards against a process that ends as it logs an error that no part expected)", () => {
    const reasons = [undefined, null, "text", Symbol("s"), Object.create(null) as object, { toString: 1 },
        new Proxy({}, {})];
    reasons.forEach(reason => assert.equal(typeof describeError(reason), "string"));
    assert.equal(describeError("text"), "text");
});

test("a gateway that waits for a port ends when it is asked to stop (guards against a process that the platform has to kill)", async () => {
    await using fleet = await createFleet();
    for (const name of ["callerAddress", "readinessAddress"] as const) {
        const addresses = await chooseAddresses();
        await using occupied = await occupyPort(addresses[name]);
        const { gateway } = await spawnGateway(fleet, addresses);
        await using process = gateway;
        await new Promise(resolve => setTimeout(resolve, 2_000));
        process.child.kill("SIGTERM");
        assert.equal(await process.exited, 0, `${name} ${occupied.port}`);
    }
});

test("a gateway that is asked to stop while its readiness port is in use answers the call that it has (guards against calls cut off by a stop that takes the process for not started)", async () => {
    await using fleet = await createFleet();
    fleet.tool.behave("silent");
    const addresses = await chooseAddresses();
    await using occupied = await occupyPort(addresses.readinessAddress);
    const { gateway } = await spawnGateway(fleet, addresses);
    await using process = gateway;
    await waitUntil(() => process.output().includes(`"awaited":"127.0.0.1:${occupied.port}"`), "it waits for the port");
    await waitUntil(() => process.output().includes("declaration.taken"), "the declaration is known");
    const silent = call({ settings: addresses }, { path: "/pay/x", id: "c1", body: "x",
        headers: { "x-deadline-ms": "4000" } });
    await waitUntil(() => fleet.tool.executed.length === 1, "the call runs");
    process.child.kill("SIGTERM");
    const { status, whole } = await silent;
    assert.deepEqual([status, whole], [504, true]);
    assert.equal(await process.exited, 0);
});

/** Events that tell that an error came up which no part expected, or that sound rows could not be applied. */
const faultEvents = ["gateway.fault", "store.watch.broken", "declaration.unreadable", "peers.broken", "call.broken"];

for (const name of ["peerAddress", "readinessAddress"] as const) {
    test(`rows and calls that come while a start waits for the ${name} are handled (guards against state that is used before it is set)`, async () => {
        await using fleet = await createFleet();
        const [callerAddress, heldAddress] = await Promise.all([freeAddress(), freeAddress()]);
        const occupied = await occupyPort(heldAddress);
        const starting = fleet.startGateway({ callerAddress, [name]: heldAddress });
        await sleep(heldStartMs);
        fleet.registerUpstream(fleet.spareEngine);
        fleet.registerUpstream(fleet.tool, { address: "127.0.0.1:99999" });
        fleet.registerUpstream(fleet.tool, { sequence: 2 });
        fleet.declare({ version: 2 });
        await sleep(heldStartMs);
        const early = await call({ settings: { callerAddress } }, { path: "/look/x", id: "early" });
        await occupied[Symbol.asyncDispose]();
        const gateway = await starting;
        await waitUntilReady(gateway);
        assert.equal(early.status, 200);
        assert.deepEqual(gateway.logLines.filter(({ event }) => faultEvents.includes(event)), []);
        assert.ok(gateway.logLines.some(({ event, fields }) => event === "declaration.taken" && fields.version === 2));
    });
}

test("a start that fails leaves nothing behind (guards against ports that a gateway holds that does not exist)", async () => {
    await using fleet = await createFleet();
    const [callerAddress, peerAddress] = await Promise.all([freeAddress(), freeAddress()]);
    const readinessAddress = { host: "127.0.0.1", port: 70_000 };
    await assert.rejects(fleet.startGateway({ callerAddress, peerAddress, readinessAddress }), /port/);
    for (const { port } of [callerAddress, peerAddress]) {
        await using free = await occupyPort({ port });
        assert.equal(free.port, port);
    }
});

test("a gateway waits for settings that are missing, empty, cut or wrong until they are whole, and names the reason (guards against a process that ends again and again)", async () => {
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const { gateway, settingsFile, text } = await spawnGateway(fleet, addresses, false);
    await using process = gateway;
    const waitForReason = (reason: string) => {
        const line = new RegExp(`"event":"gateway.waiting","awaited":"settings","reason":"[^"]*${reason}`);
        return waitUntil(() => line.test(process.output()), reason);
    };
    await waitForReason("ENOENT: no such file");
    // No try may be the last one: this is longer than any wait of the past.
    await sleep(5_500);
    await writeFile(settingsFile, "");
    await waitForReason("nodeName is missing");
    await writeFile(settingsFile, text.slice(0, text.length / 2));
    await waitForReason("provider.rowBytes is missing");
    await writeFile(settingsFile, text.replace("bounds.graceS=8", "bounds.graceS=soon"));
    await waitForReason("bounds.graceS=soon");
    await writeFile(settingsFile, text);
    await waitUntilServing(fleet, addresses);
});

test("a gateway that waits for an address that is not there takes the one of new settings (guards against a process that waits for an address that its VM has lost)", async () => {
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const { gateway, settingsFile, text } = await spawnGateway(fleet, addresses, false);
    await using process = gateway;
    await writeFile(settingsFile, text.replace("bind.front=127.0.0.1", "bind.front=203.0.113.9"));
    await waitUntil(() => /"gateway.waiting","awaited":"203.0.113.9:.*EADDRNOTAVAIL/.test(process.output()),
        "it waits");
    await writeFile(settingsFile, text);
    await waitUntilServing(fleet, addresses);
});

test("a gateway that waits for its settings ends when it is asked to stop (guards against a process that the platform has to kill)", async () => {
    await using fleet = await createFleet();
    const { gateway } = await spawnGateway(fleet, await chooseAddresses(), false);
    await using process = gateway;
    await waitUntil(() => process.output().includes("gateway.waiting"), "it waits");
    process.child.kill("SIGTERM");
    assert.equal(await process.exited, 0);
});

test("a gateway whose log has no reader keeps serving (guards against a process that a closed pipe ends)", async () => {
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const { gateway } = await spawnGateway(fleet, addresses);
    await using process = gateway;
    process.child.stdout!.destroy();
    process.child.stderr!.destroy();
    await waitUntilServing(fleet, addresses);
    for (let index = 0; index < 20; index += 1) {
        assert.equal((await call(process, turnCall(`u${index}`, `q${index}`))).status, 200);
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    assert.equal(process.child.exitCode, null);
});

test("a gateway that starts while the store is away serves when it is back (guards against a process that ends or stays unready)", async () => {
    await using fleet = await createFleet();
    for (const mode of ["reset", "silent", "busy"] as const) {
        const addresses = await chooseAddresses();
        const settingsFile = join(await createSettingsFolder(), "settings.conf");
        const storeEndpoint = await fleet.rowStore.open();
        storeEndpoint.setFault({ mode });
        await writeFile(settingsFile, settingsText(storeEndpoint, addresses, { name: `g-${mode}` }));
        await using process = spawnProcess(settingsFile, addresses);
        await waitUntil(async () => await fetchReadinessStatus(addresses.readinessAddress.port) === 503, "it answers");
        await new Promise(resolve => setTimeout(resolve, 1_500));
        assert.equal(process.child.exitCode, null);
        storeEndpoint.setFault(undefined);
        await waitUntilServing(fleet, addresses);
    }
});
