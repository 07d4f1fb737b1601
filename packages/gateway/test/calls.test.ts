import { createForwarder, type FleetBehaviour } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { call, createFleet, openCall, waitUntil, waitUntilReady } from "./harness.ts";

async function startFleet() {
    const fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    return { fleet, gateway, [Symbol.asyncDispose]: () => fleet[Symbol.asyncDispose]() };
}

test("a call and its answer pass unchanged (guards against a gateway that rewrites what it forwards)", async () => {
    await using parts = await startFleet();
    const answer = await call(parts.gateway, { path: "/pay/a?b=c", id: "1", body: "deposit",
        headers: { "x-deadline-ms": "900", "x-private": "kept" } });
    assert.equal(answer.status, 200);
    assert.equal(answer.body, "answer of i-tool to 1");
    assert.equal(answer.headers["x-response-signature"], "signed.i-tool");
    const [ran] = parts.fleet.tool.ran;
    assert.equal(ran?.path, "/pay/a?b=c");
    assert.equal(ran?.body, "deposit");
    assert.equal(ran?.headers["x-private"], "kept");
    assert.equal(ran?.headers["x-target-instance"], "i-tool");
    assert.ok(Number(ran?.headers["x-deadline-ms"]) <= 900);
});

test("what is not declared is refused for good (guards against callers that try again)", async () => {
    await using parts = await startFleet();
    assert.equal((await call(parts.gateway, { path: "/none/", id: "1" })).status, 404);
    assert.equal((await call(parts.gateway, { path: "/pay/", id: "1", body: "x".repeat(100_001) })).status, 413);
});

test("a call that may not run again is sent once (guards against a deposit charged twice)", async () => {
    await using parts = await startFleet();
    for (const behaviour of ["lose", "foreign", "unsigned"] as const) {
        parts.fleet.tool.behave(behaviour);
        const answer = await call(parts.gateway, { path: "/pay/x", id: behaviour, body: "x" });
        assert.equal(answer.status, 502, behaviour);
    }
    assert.deepEqual(parts.fleet.tool.ran.map(({ id }) => id), ["lose", "foreign", "unsigned"]);
});

test("a call that has not run is sent again (guards against a refusal while a place is free)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave("refuse", "refuse");
    assert.equal((await call(parts.gateway, { path: "/pay/x", id: "1", body: "x" })).status, 200);
    assert.equal(parts.fleet.tool.ran.length, 1);
});

function refusals(count: number): readonly FleetBehaviour[] {
    return Array.from({ length: count }, () => "refuse");
}

test("a call waits for room that an upstream has within half a second (guards against a tool call refused at a short crest)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave(...refusals(6));
    assert.equal((await call(parts.gateway, { path: "/pay/x", id: "1", body: "x" })).status, 200);
    assert.equal(parts.fleet.tool.ran.length, 1);
});

test("one gateway takes a twelfth of an upstream's connections (guards against connections that the upstream resets in the middle of calls)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave(...Array.from({ length: 40 }, () => "silent" as const));
    const calls = Array.from({ length: 40 },
        (_, index) => openCall(parts.gateway, { path: "/pay/x", id: `c${index}`, body: "x" }));
    // The service takes 110 connections.
    await waitUntil(() => parts.fleet.tool.ran.length >= 9, "the share is used");
    await sleep(200);
    assert.equal(parts.fleet.tool.ran.length, 9);
    calls.forEach(abandonedCall => abandonedCall.destroy());
});

test("a call whose new connection the upstream closes at once has not run (guards against a 502 for a call that may be sent again)", async () => {
    await using parts = await startFleet();
    await using forwarder = await createForwarder({ target: parts.fleet.tool.port });
    forwarder.refuse(true);
    parts.fleet.registerUpstream(parts.fleet.tool, { address: `127.0.0.1:${forwarder.port}` });
    await waitUntil(async () => {
        await call(parts.gateway, { path: "/look/x", id: "probe" });
        return forwarder.counts().refused > 0;
    }, "the tool is reached through the forwarder");
    const ran = parts.fleet.tool.ran.length;
    const retried = call(parts.gateway, { path: "/pay/x", id: "1", body: "x" });
    const refused = forwarder.counts().refused;
    await waitUntil(() => forwarder.counts().refused > refused, "the call's connection is closed");
    forwarder.refuse(false);
    assert.equal((await retried).status, 200);
    assert.equal(parts.fleet.tool.ran.length, ran + 1);
    forwarder.refuse(true);
    forwarder.cut();
    const refusal = await call(parts.gateway, { path: "/pay/x", id: "2", body: "x" });
    assert.equal(refusal.status, 503);
    assert.ok(refusal.headers["retry-after"] !== undefined);
});

test("an upstream without room makes a refusal that says when to come back (guards against a false 502)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave(...refusals(20));
    const answer = await call(parts.gateway, { path: "/pay/x", id: "1", body: "x" });
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.equal(parts.fleet.tool.ran.length, 0);
});

test("a refusal after a send of unknown fate is no promise (guards against a false claim that nothing ran)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave("lose", ...refusals(20));
    assert.equal((await call(parts.gateway, { path: "/look/x", id: "1" })).status, 502);
});

test("a call that may run again survives a lost answer (guards against failures a repeat would hide)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave("lose", "foreign", "silent");
    assert.equal((await call(parts.gateway, { path: "/look/x", id: "1" })).status, 200);
    assert.equal(parts.fleet.tool.ran.length, 4);
});

test("an upstream's own failure is passed on (guards against hiding what the upstream said)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave("fail");
    const answer = await call(parts.gateway, { path: "/pay/x", id: "1", body: "x" });
    assert.equal(answer.status, 500);
    assert.equal(answer.headers["x-response-signature"], "signed.i-tool");
});

test("a resumable stream goes on after a break, with no event twice (guards against pieces joined wrongly)", async () => {
    await using parts = await startFleet();
    parts.fleet.engine.behave("break");
    const answer = await call(parts.gateway, { path: "/plan/x", id: "1", body: "x" });
    assert.ok(answer.whole);
    assert.deepEqual(answer.body.match(/^id: \d/gm), ["id: 1", "id: 2", "id: 3", "id: 4", "id: 5"]);
    assert.equal(parts.fleet.engine.ran[1]?.headers["last-event-id"], "2");
});

test("a stream that cannot go on looks incomplete (guards against half an answer taken for a whole one)", async () => {
    await using parts = await startFleet();
    parts.fleet.engine.behave("break");
    const answer = await call(parts.gateway, { path: "/turn/x", id: "1", body: "x" });
    assert.equal(answer.whole, false);
    assert.equal(parts.fleet.engine.ran.length, 1);
});

test("the operator's time limit ends a call (guards against callers held without an answer)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.behave("silent");
    const startedAt = performance.now();
    const answer = await call(parts.gateway, { path: "/pay/x", id: "1", body: "x",
        headers: { "x-deadline-ms": "400" } });
    assert.equal(answer.status, 504);
    assert.ok(performance.now() - startedAt >= 390);
    await waitUntil(() => parts.fleet.tool.cancelled.length === 1, "the tool's connection is closed");
});

test("a draining upstream gets no new call (guards against work on an upstream that leaves)", async () => {
    await using parts = await startFleet();
    parts.fleet.registerUpstream(parts.fleet.spareEngine);
    parts.fleet.registerUpstream(parts.fleet.engine, { state: "draining" });
    await waitUntil(async () => {
        const before = parts.fleet.engine.ran.length;
        await call(parts.gateway, { path: "/plan/x", id: "probe", body: "x" });
        return parts.fleet.engine.ran.length === before && parts.fleet.spareEngine.ran.length > 0;
    }, "calls go to the other engine");
    const before = parts.fleet.engine.ran.length;
    for (let index = 0; index < 5; index += 1) {
        await call(parts.gateway, { path: "/plan/x", id: `n${index}`, body: "x" });
    }
    assert.equal(parts.fleet.engine.ran.length, before);
});

test("a newer declaration is in force at once and an older one never again (guards against going back)", async () => {
    await using parts = await startFleet();
    parts.fleet.declare({ version: 5, routes: [] });
    await waitUntil(async () => (await call(parts.gateway, { path: "/pay/x", id: "1", body: "x" })).status === 404,
        "the route is gone");
    parts.fleet.declare({ version: 4 });
    parts.fleet.declare({ version: 5, limits: { maxBodyBytes: 7 } });
    await sleep(100);
    assert.equal((await call(parts.gateway, { path: "/pay/x", id: "2", body: "x" })).status, 404);
});

test("callers who leave do not make an upstream look broken (guards against engines avoided at a give-up)", async () => {
    await using parts = await startFleet();
    parts.fleet.registerUpstream(parts.fleet.spareEngine, { zone: "b" });
    const engineCalls = () => parts.fleet.engine.ran.length + parts.fleet.spareEngine.ran.length;
    await waitUntil(async () => {
        await call(parts.gateway, { path: "/plan/x", id: "warm", body: "x" });
        return engineCalls() > 0;
    }, "the engines are known");
    for (let index = 0; index < 3; index += 1) {
        const before = parts.fleet.engine.ran.length;
        parts.fleet.engine.behave("silent");
        const abandoned = openCall(parts.gateway, { path: "/plan/x", id: `leaves-${index}`, body: "x" });
        await waitUntil(() => parts.fleet.engine.ran.length > before, "the engine runs it");
        abandoned.destroy();
        await waitUntil(() => parts.fleet.engine.cancelled.includes(`leaves-${index}`), "the engine is told");
    }
    const before = parts.fleet.spareEngine.ran.length;
    await call(parts.gateway, { path: "/plan/x", id: "next", body: "x" });
    assert.equal(parts.fleet.spareEngine.ran.length, before);
});
