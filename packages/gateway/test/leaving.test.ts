import { createGatewayUpstream, type GatewayUpstream } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { test } from "node:test";
import { call, createFleet, type Fleet, type TestGateway, turnCall, waitUntil, waitUntilReady } from "./harness.ts";

/** Calls that would reach an upstream that is still used, with all but certainty. */
const manyCalls = 30;

/** A fleet with a second tool. */
async function startFleet() {
    const fleet = await createFleet();
    const spareTool = await createGatewayUpstream({ id: "i-spare-tool" });
    fleet.registerUpstream(spareTool, { backend: "tools" });
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    return { fleet, gateway, spareTool, async [Symbol.asyncDispose]() {
        await fleet[Symbol.asyncDispose]();
        await spareTool[Symbol.asyncDispose]();
    } };
}

let lastCall = 0;

/** Makes calls until one of them has been executed by the upstream. */
async function callUntilReached(gateway: TestGateway, upstream: GatewayUpstream, path = "/look/x"): Promise<void> {
    const before = upstream.executed.length;
    await waitUntil(async () => {
        await call(gateway, { path, id: `r${lastCall += 1}` });
        return upstream.executed.length > before;
    }, `a call reaches ${upstream.id}`);
}

/** Makes many calls, all of which must be served; returns how many of them reached the upstream. */
async function countReached(gateway: TestGateway, upstream: GatewayUpstream, path = "/look/x"): Promise<number> {
    const before = upstream.executed.length;
    const answers = await Promise.all(
        Array.from({ length: manyCalls }, () => call(gateway, { path, id: `m${lastCall += 1}` })),
    );
    assert.ok(answers.every(({ status }) => status === 200));
    return upstream.executed.length - before;
}

const leavingLines = ({ logLines }: TestGateway) => logLines.filter(({ event }) => event === "upstream.leaving");

test("an upstream that announces in an answer that it leaves gets no further call (guards against work on an upstream that goes away)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.leave();
    await callUntilReached(parts.gateway, parts.fleet.tool);
    assert.equal(await countReached(parts.gateway, parts.fleet.tool), 0);
    assert.deepEqual(leavingLines(parts.gateway).map(({ fields }) => fields.upstream), ["i-tool"]);
    // Its entry is renewed and still says that it is ready.
    parts.fleet.registerUpstream(parts.fleet.tool, { sequence: 2 });
    await callUntilReached(parts.gateway, parts.spareTool);
    assert.equal(await countReached(parts.gateway, parts.fleet.tool), 0);
});

test("an engine that announces it in the head of a stream gets no further turn, also of the program whose cache it has (guards against a preferred engine that goes away)", async () => {
    await using parts = await startFleet();
    parts.fleet.engine.leave();
    assert.equal((await call(parts.gateway, turnCall("t1", "p"))).status, 200);
    parts.fleet.registerUpstream(parts.fleet.spareEngine);
    await waitUntil(
        async () => (await call(parts.gateway, turnCall(`u${lastCall += 1}`, `q${lastCall}`))).status === 200,
        "the spare engine is known",
    );
    assert.equal((await call(parts.gateway, turnCall("t2", "p", "t1"))).status, 200);
    assert.deepEqual(parts.fleet.engine.executed.map(({ id }) => id), ["t1"]);
});

test("a refusal and a late answer announce it too (guards against upstreams that are left only after a success)", async () => {
    for (const behaviour of ["refuse", "fail", "late"] as const) {
        await using parts = await startFleet();
        if (behaviour === "late") {
            parts.fleet.engine.behave("pause");
            const late = call(parts.gateway, turnCall("t1", "p"));
            await waitUntil(() => parts.fleet.engine.paused() === 1, "the turn runs");
            parts.fleet.engine.leave();
            parts.fleet.engine.resume();
            assert.equal((await late).status, 200);
            assert.equal((await call(parts.gateway, turnCall("t2", "q"))).status, 200);
            assert.equal((await call(parts.gateway, turnCall("t3", "r"))).status, 503);
            continue;
        }
        parts.fleet.tool.behave(...Array.from({ length: 9 }, () => behaviour));
        parts.fleet.tool.leave();
        await waitUntil(async () => {
            await call(parts.gateway, { path: "/look/x", id: `l${lastCall += 1}` });
            return leavingLines(parts.gateway).length === 1;
        }, `${behaviour} announces it`);
        assert.equal(await countReached(parts.gateway, parts.fleet.tool), 0, behaviour);
    }
});

test("an announcement counts while the store is away, and a restarted gateway learns it from the next answer (guards against one that waits for the entry)", async () => {
    await using parts = await startFleet();
    await using second = await parts.fleet.startGateway();
    await waitUntilReady(second);
    parts.gateway.storeEndpoint.setFault({ mode: "reset" });
    parts.fleet.tool.leave();
    await callUntilReached(parts.gateway, parts.fleet.tool);
    assert.equal(await countReached(parts.gateway, parts.fleet.tool), 0);
    await callUntilReached(second, parts.fleet.tool);
    assert.equal(await countReached(second, parts.fleet.tool), 0);
});

test("if all upstreams leave, calls are refused with a delay (guards against calls that wait in vain, and a false 502)", async () => {
    await using parts = await startFleet();
    for (const tool of [parts.fleet.tool, parts.spareTool]) {
        tool.leave();
        await callUntilReached(parts.gateway, tool);
    }
    const startedAt = performance.now();
    const answer = await call(parts.gateway, { path: "/pay/x", id: "1", body: "x" });
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.ok(performance.now() - startedAt < 1_000);
});

test("only a new incarnation ends it (guards against an upstream that is used again because its entry expired for a moment)", async () => {
    await using parts = await startFleet();
    parts.fleet.tool.leave();
    await callUntilReached(parts.gateway, parts.fleet.tool);
    parts.fleet.rowStore.remove("servers", "", "i-tool");
    parts.fleet.registerUpstream(parts.fleet.tool, { sequence: 9 });
    parts.fleet.registerUpstream(parts.fleet.spareEngine, { sequence: 9 });
    // The spare engine was registered after it, so the gateway has read the entry of the tool too.
    await waitUntil(async () => {
        await call(parts.gateway, turnCall(`e${lastCall += 1}`, `e${lastCall}`));
        return parts.fleet.spareEngine.executed.length > 0;
    }, "the entries are read");
    assert.equal(await countReached(parts.gateway, parts.fleet.tool), 0);
    parts.fleet.registerUpstream(parts.fleet.tool, { sequence: 1, born: 2 });
    await callUntilReached(parts.gateway, parts.fleet.tool);
});

test("a header that is not the upstream's own announcement takes no upstream out (guards against a service that a faulty answer empties)", async () => {
    await using parts = await startFleet();
    for (const value of ["0", "yes", "", "11", "1, 0", "true"]) {
        parts.fleet.tool.leave(value);
        await callUntilReached(parts.gateway, parts.fleet.tool);
    }
    parts.fleet.tool.leave();
    for (const behaviour of ["foreign", "unsigned"] as const) {
        parts.fleet.tool.behave(behaviour);
        const before = parts.fleet.tool.executed.length;
        await waitUntil(async () => {
            await call(parts.gateway, { path: "/pay/x", id: `p${lastCall += 1}`, body: "x" });
            return parts.fleet.tool.executed.length > before;
        }, behaviour);
    }
    assert.deepEqual(leavingLines(parts.gateway), []);
    parts.fleet.tool.leave("1, 1");
    await callUntilReached(parts.gateway, parts.fleet.tool);
    assert.equal(await countReached(parts.gateway, parts.fleet.tool), 0);
});

test("an address that another upstream has taken over takes nobody out (guards against an announcement of another one that counts)", async () => {
    await using parts = await startFleet();
    parts.spareTool.leave();
    // The entry of the first tool leads to the second one, which answers 421.
    const { address, port } = parts.spareTool;
    parts.fleet.rowStore.put("servers", "", "i-moved", { backend: "tools", address: `${address}:${port}`, zone: "a",
        slots: 12, state: "ready", sequence: 1, born: 1 });
    parts.fleet.rowStore.remove("servers", "", "i-spare-tool");
    for (let index = 0; index < manyCalls; index += 1) {
        assert.equal((await call(parts.gateway, { path: "/look/x", id: `f${index}` })).status, 200);
    }
    assert.deepEqual(leavingLines(parts.gateway).filter(({ fields }) => fields.upstream === "i-moved"), []);
});

/** Starts a tool that takes the place of others. */
async function startTool(fleet: Fleet, index: number): Promise<GatewayUpstream> {
    const tool = await createGatewayUpstream({ id: `i-tool-${index}` });
    fleet.registerUpstream(tool, { backend: "tools" });
    return tool;
}

test("fifty upstreams that are replaced one after the other under load lose no call, and none gets a call after its announcement (guards against calls lost in a release)", async () => {
    await using parts = await startFleet();
    let stopped = false;
    const failures: string[] = [];
    const load = Array.from({ length: 8 }, async (_, caller) => {
        for (let index = 0; !stopped; index += 1) {
            const path = index % 2 === 0 ? "/pay/x" : "/look/x";
            const answer = await call(parts.gateway, { path, id: `c${caller}.${index}`, body: "x" });
            if (answer.status !== 200 || !answer.whole) {
                failures.push(`${path} ${answer.status} ${answer.body}`);
            }
        }
    });
    const tools = [parts.fleet.tool, parts.spareTool];
    for (let index = 0; index < 50; index += 1) {
        const next = await startTool(parts.fleet, index);
        tools.push(next);
        await waitUntil(() => next.executed.length > 0, `${next.id} gets calls`);
        const leaving = tools.shift()!;
        leaving.leave();
        await waitUntil(() => leavingLines(parts.gateway).some(({ fields }) => fields.upstream === leaving.id),
            `${leaving.id} has announced that it leaves`);
        const executedAtAnnouncement = leaving.executed.length;
        // Calls that were sent before the announcement was read may still arrive.
        await waitUntil(() => next.executed.length > 10, `${next.id} gets more calls`);
        assert.ok(leaving.executed.length - executedAtAnnouncement <= 8, leaving.id);
        parts.fleet.rowStore.remove("servers", "", leaving.id);
        if (leaving !== parts.fleet.tool && leaving !== parts.spareTool) {
            await leaving[Symbol.asyncDispose]();
        }
    }
    stopped = true;
    await Promise.all(load);
    await Promise.all(tools.map(tool => tool[Symbol.asyncDispose]()));
    assert.deepEqual(failures, []);
});
