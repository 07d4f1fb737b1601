import assert from "node:assert/strict";
import { test } from "node:test";
import { explainRateLimits } from "../src/explain.ts";
import { call, createFleet, freeAddress, type TestGateway, turnCall, waitUntilReady } from "./harness.ts";

async function startFleet() {
    const fleet = await createFleet();
    const metricsAddress = await freeAddress();
    const gateway = await fleet.startGateway({ metricsAddress });
    await waitUntilReady(gateway);
    return { fleet, gateway, metricsAddress, [Symbol.asyncDispose]: () => fleet[Symbol.asyncDispose]() };
}

let lastCall = 0;

function callTool(gateway: TestGateway) {
    return call(gateway, { path: "/pay/x", id: `c${lastCall += 1}`, body: "x" });
}

function callEngine(gateway: TestGateway) {
    lastCall += 1;
    return call(gateway, turnCall(`t${lastCall}`, `p${lastCall}`));
}

/** The logged changes of an upstream's rate limit. */
function changesOf({ logLines }: TestGateway, upstream: string): readonly unknown[] {
    return logLines.filter(({ event, fields }) => event === "upstream.limited" && fields.upstream === upstream)
        .map(({ fields: { kind, before, after } }) => [kind, before, after]);
}

test("an upstream that names, changes and ends a limit is logged and counted once each (guards against a limit that operators cannot see)", async () => {
    await using parts = await startFleet();
    const { fleet: { tool, engine }, gateway, metricsAddress } = parts;
    for (const limit of [8, 8, 8.5, 20, undefined, undefined]) {
        tool.limit(limit);
        await callTool(gateway);
    }
    engine.limit(5);
    await callEngine(gateway);
    assert.deepEqual(changesOf(gateway, "i-tool"), [["named", undefined, 8], ["changed", 8, 20], ["ended", 20,
        undefined]]);
    assert.deepEqual(changesOf(gateway, "i-engine"), [["named", undefined, 5]]);
    const { body: metrics } = await call({ settings: { callerAddress: metricsAddress } }, { path: "/", id: "m" });
    for (const change of ["named", "changed", "ended"]) {
        assert.ok(metrics.includes(`tamarackgauge_rate_limit_changes_total{service="tools",change="${change}"} 1\n`));
    }
    assert.ok(metrics.includes("tamarackgauge_limited_upstreams{service=\"models\"} 1\n"));
    assert.ok(!metrics.includes("tamarackgauge_limited_upstreams{service=\"tools\"}"));
});

test("a refusal and a failure name a limit too (guards against a limit that is learned only after a success)", async () => {
    for (const behaviour of ["refuse", "fail"] as const) {
        await using parts = await startFleet();
        parts.fleet.tool.behave(...Array.from({ length: 9 }, () => behaviour));
        parts.fleet.tool.limit(2);
        await callTool(parts.gateway);
        assert.deepEqual(changesOf(parts.gateway, "i-tool"), [["named", undefined, 2]], behaviour);
    }
});

test("a limit that cannot be read or that another one names states nothing (guards against an upstream that a faulty answer limits or frees)", async () => {
    await using parts = await startFleet();
    const { fleet: { tool }, gateway } = parts;
    for (const limit of ["x", "-1", "1, 2", "1e3", ""]) {
        tool.limit(limit);
        assert.equal((await callTool(gateway)).status, 200);
    }
    tool.limit(3);
    tool.behave("foreign", "unsigned");
    await callTool(gateway);
    await callTool(gateway);
    assert.deepEqual(changesOf(gateway, "i-tool"), []);
    await callTool(gateway);
    tool.limit("x");
    await callTool(gateway);
    tool.limit(undefined);
    tool.behave("foreign", "unsigned");
    await callTool(gateway);
    await callTool(gateway);
    assert.deepEqual(changesOf(gateway, "i-tool"), [["named", undefined, 3]]);
});

test("a new incarnation has no limit (guards against a restarted upstream that is held back)", async () => {
    await using parts = await startFleet();
    const { fleet, gateway } = parts;
    fleet.tool.limit(3);
    await callTool(gateway);
    fleet.tool.limit(undefined);
    fleet.registerUpstream(fleet.tool, { born: 2 });
    fleet.registerUpstream(fleet.spareEngine);
    // The spare engine was registered after it, so the gateway has read the entry of the tool too.
    while (fleet.spareEngine.executed.length === 0) {
        assert.equal((await callEngine(gateway)).status, 200);
    }
    await callTool(gateway);
    assert.deepEqual(changesOf(gateway, "i-tool"), [["named", undefined, 3]]);
});

test("a call that a limit refuses is told when to come back, and its log line names the limit (guards against refusals that nobody can explain)", async () => {
    await using parts = await startFleet();
    const { fleet, gateway } = parts;
    fleet.tool.limit(0.2);
    await callTool(gateway);
    const answers = await Promise.all(
        ["r1", "r2", "r3", "r4"].map(id => call(gateway, { path: "/pay/x", id, body: "x" })),
    );
    const refused = answers.findIndex(({ status }) => status === 503);
    assert.ok(Number(answers[refused]?.headers["retry-after"]) > 0);
    const lines = gateway.logLines.map((line, time) => ({ ...line, time, vm: "g" }));
    const [reason, limit] = explainRateLimits(lines, `r${refused + 1}`);
    assert.match(reason!, /rate limits were reached/);
    assert.match(limit!, /^i-tool of tools takes 0.2 requests a second/);
});

test("a first turn that can get no permit is refused without a call of the store (guards against refusals that wait for tokens)", async () => {
    await using parts = await startFleet();
    const { fleet, gateway } = parts;
    fleet.engine.limit(0.2);
    let refused = 0;
    for (let index = 0; refused === 0; index += 1) {
        refused += (await call(gateway, turnCall(`first${index}`, `p${index}`))).status === 503 ? 1 : 0;
    }
    const changes = gateway.storeEndpoint.calls().changes;
    const { status, body } = await call(gateway, turnCall("second", "another"));
    assert.equal(status, 503);
    assert.match(body, /rate limits/);
    assert.equal(gateway.storeEndpoint.calls().changes, changes);
});
