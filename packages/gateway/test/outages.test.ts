import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { call, createFleet, type Fleet, type TestGateway, turnCall, waitUntil, waitUntilReady } from "./harness.ts";

function totalCalls({ reads, changes, feeds }: { reads: number; changes: number; feeds: number; }): number {
    return reads + changes + feeds;
}

/** Starts a gateway that has served the turn `t1` of the program `p` and has then detected an outage of the store. */
async function startInOutage(fleet: Fleet): Promise<TestGateway> {
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    assert.equal((await call(gateway, turnCall("t1", "p"))).status, 200);
    gateway.storeEndpoint.setFault({ mode: "reset" });
    await waitUntil(async () => await gateway.readinessStatus() === 503, "the outage is detected");
    return gateway;
}

test("a gateway that cannot reach the store serves calls through another gateway (guards against an outage of some gateways)", async () => {
    await using fleet = await createFleet();
    const connectedGateway = await fleet.startGateway();
    await waitUntilReady(connectedGateway);
    const isolatedGateway = await fleet.startGateway({ knownPeers: [connectedGateway.settings.peerAddress!] });
    await waitUntilReady(isolatedGateway);
    for (const mode of ["reset", "busy", "many", "silent"] as const) {
        isolatedGateway.storeEndpoint.setFault({ mode });
        await waitUntil(async () => (await call(isolatedGateway, turnCall(`warm-${mode}`, `w-${mode}`))).status === 200,
            `served despite ${mode}`);
        const answer = await call(isolatedGateway, turnCall(`next-${mode}`, `w-${mode}`, `warm-${mode}`));
        assert.equal(answer.status, 200, mode);
        assert.equal(await isolatedGateway.readinessStatus(), 200, mode);
        isolatedGateway.storeEndpoint.setFault(undefined);
        await waitUntil(
            () => isolatedGateway.logLines.filter(({ event }) => event === "store.way").at(-1)?.fields.way === "direct",
            "the store is reached directly again",
        );
    }
    const ways = isolatedGateway.logLines.filter(({ event }) => event === "store.way").map(({ fields }) => fields.way);
    assert.ok(ways.includes("peer"), "the log shows how the store is reached");
});

test("a gateway that cannot reach the store when it starts reads everything through another gateway (guards against a gateway that never becomes ready)", async () => {
    await using fleet = await createFleet();
    const connectedGateway = await fleet.startGateway();
    await waitUntilReady(connectedGateway);
    const isolatedGateway = await fleet.startGateway({ knownPeers: [connectedGateway.settings.peerAddress!] });
    isolatedGateway.storeEndpoint.setFault({ mode: "busy" });
    await waitUntilReady(isolatedGateway);
    assert.equal((await call(isolatedGateway, { path: "/pay/x", id: "1", body: "x" })).status, 200);
});

test("gateways that all start while the store is silent serve calls within 2 s of its recovery (guards against a store that is never called again)", async () => {
    await using fleet = await createFleet();
    const gateways: TestGateway[] = [];
    for (let started = 0; started < 3; started += 1) {
        const knownPeers = gateways.map(({ settings }) => settings.peerAddress!);
        gateways.push(await fleet.startGateway({ name: `g${started}`, knownPeers }, { mode: "silent" }));
    }
    const refusedReads = (gateway: TestGateway) =>
        gateway.logLines.filter(({ event, fields }) => event === "store.watch.failed" && fields.failure === "away");
    // The first call of each gateway has timed out, and several have failed immediately since.
    await waitUntil(() => gateways.every(gateway => refusedReads(gateway).length > 8),
        "every gateway treats the store as unavailable");
    gateways.forEach(({ storeEndpoint }) => storeEndpoint.setFault(undefined));
    const before = gateways.map(({ storeEndpoint }) => totalCalls(storeEndpoint.calls()));
    const returnedAt = performance.now();
    await Promise.all(gateways.map(waitUntilReady));
    assert.ok(performance.now() - returnedAt < 2_000, "ready within 2 s");
    const statuses = gateways.map(async (gateway, index) =>
        (await call(gateway, turnCall(`t${index}`, `p${index}`))).status
    );
    assert.deepEqual(await Promise.all(statuses), [200, 200, 200]);
    await waitUntil(() => performance.now() - returnedAt > 1_000, "a second has passed");
    for (const [index, { storeEndpoint }] of gateways.entries()) {
        assert.ok(totalCalls(storeEndpoint.calls()) - before[index]! < 40, "few calls in the first second");
    }
});

test("a turn that waits for the store is refused before its caller gives up (guards against callers that wait until their deadline)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    gateway.storeEndpoint.setFault({ mode: "reset" });
    await waitUntil(async () => await gateway.readinessStatus() === 503, "the gateway is not ready");
    const refused = turnCall("t1", "p");
    const answer = await call(gateway, { ...refused, headers: { ...refused.headers, "x-deadline-ms": "1000" } });
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.connection, "close");
    assert.ok(Number(answer.headers["retry-after"]) <= 0.2);
    const timeLeft = gateway.logLines.find(({ event }) => event === "call.refused")?.fields.timeLeft as number;
    assert.ok(timeLeft > 0, `${timeLeft} ms before the deadline`);
    assert.equal((await call(gateway, { path: "/pay/x", id: "2", body: "x" })).status, 200);
    gateway.storeEndpoint.setFault(undefined);
    await waitUntil(async () => await gateway.readinessStatus() === 200, "the gateway is ready again");
    assert.equal((await call(gateway, turnCall("t2", "p"))).status, 200);
});

test("a new program that waits for the store starts when it is back (guards against callers that use up their tries in an outage)", async () => {
    await using fleet = await createFleet();
    const gateway = await startInOutage(fleet);
    const answering = call(gateway, turnCall("n1", "new"));
    // Long enough for a gateway that refuses to have refused.
    await sleep(300);
    gateway.storeEndpoint.setFault(undefined);
    const returnedAt = performance.now();
    assert.equal((await answering).status, 200);
    assert.ok(performance.now() - returnedAt < 1_000, "it starts within a second of the return");
});

test("a gateway that starts in an outage holds calls until it knows the declaration (guards against tool calls that fail because their gateway has just started)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway({}, { mode: "busy" });
    const answering = call(gateway, { path: "/pay/x", id: "1", body: "x", headers: { "x-deadline-ms": "2500" } });
    await sleep(300);
    gateway.storeEndpoint.setFault(undefined);
    assert.equal((await answering).status, 200);
});

test("a gateway that reaches neither the store nor another gateway refuses turns at once (guards against calls held where they cannot be served)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway({ knownPeers: [1, 2, 3, 4].map(port => ({ host: "127.0.0.1", port })) });
    await waitUntilReady(gateway);
    gateway.storeEndpoint.setFault({ mode: "reset" });
    await waitUntil(async () => {
        const startedAt = performance.now();
        const { status } = await call(gateway, turnCall(`t${startedAt}`, "p"));
        return status === 503 && performance.now() - startedAt < 200;
    }, "a turn is refused at once");
});

test("a turn that cannot be expected to be stored in time does not run, although its tokens are granted (guards against wasted work)", async () => {
    await using fleet = await createFleet();
    const gateway = await startInOutage(fleet);
    const next = turnCall("t2", "p", "t1");
    const granted = await call(gateway, { ...next, headers: { ...next.headers, "x-deadline-ms": "500" } });
    assert.equal(granted.status, 503);
    assert.equal(fleet.engine.executed.length, 1);
});

test("a turn runs while the store is unavailable and completes when it recovers (guards against programs that end with an outage)", async () => {
    await using fleet = await createFleet();
    const gateway = await startInOutage(fleet);
    const answering = call(gateway, turnCall("t2", "p", "t1"));
    await waitUntil(() => fleet.engine.executed.length === 2, "the turn runs");
    assert.equal((await call(gateway, turnCall("n1", "new"))).status, 503);
    gateway.storeEndpoint.setFault(undefined);
    const answer = await answering;
    assert.ok(answer.whole);
    assert.match(answer.body, /event 5/);
    assert.ok(fleet.rowStore.keys("turns").includes("t2"), "the turn is stored");
});

test("a table is read again after its feed lost the history (guards against calls to an upstream that left in the gap)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    fleet.registerUpstream(fleet.spareEngine);
    fleet.rowStore.remove("servers", "", fleet.engine.id);
    fleet.rowStore.compact();
    await waitUntil(async () => {
        const before = fleet.engine.executed.length;
        await call(gateway, { path: "/plan/x", id: "1", body: "x" });
        return fleet.engine.executed.length === before;
    }, "the engine that left gets no call");
});

test("an unreadable declaration or entry is ignored (guards against one bad write that stops all calls)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    fleet.rowStore.put("op", "", "config", Buffer.from("{"));
    fleet.rowStore.put("servers", "", "odd", { state: 7 });
    await waitUntil(() => gateway.logLines.some(({ event }) => event === "declaration.unreadable"),
        "the unreadable declaration is logged");
    assert.equal((await call(gateway, { path: "/pay/x", id: "1", body: "x" })).status, 200);
});

test("a stopping gateway completes its calls (guards against answers cut off by a restart)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    fleet.engine.behave("serve");
    const stopping = gateway.gateway.shutDown();
    assert.equal(await gateway.readinessStatus(), 503);
    const answers = await Promise.all([1, 2, 3].map(index => call(gateway, turnCall(`t${index}`, `p${index}`))));
    assert.deepEqual(answers.map(({ whole, status }) => whole && status), [200, 200, 200]);
    await stopping;
});

test("a call that may outlast a stopping gateway is refused (guards against a call cut off by the end of the process)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway({ shutdownGrace: 4_000 });
    await waitUntilReady(gateway);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    fleet.engine.behave("pause");
    // The stream starts before the shutdown, so its connection stays open until the stream ends.
    const streaming = call(gateway, { path: "/plan/x", id: "1", body: "x", agent });
    await waitUntil(() => fleet.engine.paused() === 1, "the stream runs");
    // Another call in flight prevents the gateway from stopping immediately.
    fleet.tool.behave("silent");
    const lasting = call(gateway, { path: "/pay/x", id: "3", body: "x" });
    await waitUntil(() => fleet.tool.executed.length === 1, "the other call runs");
    const stopping = gateway.gateway.shutDown();
    const following = call(gateway, { path: "/plan/x", id: "2", body: "x", agent });
    setTimeout(() => fleet.engine.resume(), 2_400);
    assert.equal((await streaming).whole, true);
    const refused = await following.catch(() => undefined);
    assert.ok(refused === undefined || refused.status === 503, "refused, or closed before it was read");
    assert.deepEqual(fleet.engine.executed.map(({ id }) => id), ["1"]);
    assert.equal((await lasting).status, 504);
    await stopping;
    agent.destroy();
});

test("a turn that cannot be stored because the store is silent ends at the call's time limit (guards against callers that wait beyond it)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    fleet.engine.behave("pause");
    const next = turnCall("t1", "p");
    const startedAt = performance.now();
    const answering = call(gateway, { ...next, headers: { ...next.headers, "x-deadline-ms": "700" } });
    await waitUntil(() => fleet.engine.paused() === 1, "the turn runs");
    gateway.storeEndpoint.setFault({ mode: "silent" });
    fleet.engine.resume();
    const answer = await answering;
    const time = performance.now() - startedAt;
    assert.equal(answer.whole, false);
    assert.ok(time >= 650 && time < 1_150, `${time} ms`);
});
