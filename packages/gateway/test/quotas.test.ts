import { maxInWindow } from "@tamarackgauge/core/gateway";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { defaultPeerListTimes } from "../src/peerList.ts";
import { call, type CallerAnswer, createFleet, type TestGateway, turnCall, waitUntilReady } from "./harness.ts";

const quota = { window: 2_000, overage: 0.1, slack: 4 };
const limit = { ratePerSecond: 10, burst: 6 };
const tenants = [{ name: "north", apiKeys: ["north-key"], ratePerS: limit.ratePerSecond, burst: limit.burst }, {
    name: "south",
    apiKeys: ["south-key"],
}];
/** Short, so that the gateways agree soon. */
const times = { ...defaultPeerListTimes, secondRefreshDelay: 200, refreshInterval: 200, settling: 800 };
const gatewayCount = 4;

async function startGateways() {
    const fleet = await createFleet();
    fleet.declare({ tenants });
    const gateways = await Promise.all(
        Array.from({ length: gatewayCount },
            (_, index) => fleet.startGateway({ name: `g${index}`, quota }, undefined, times)),
    );
    await Promise.all(gateways.map(waitUntilReady));
    // Until the shares of the gateways that decide are full.
    await sleep(times.settling * 2 + 2_000);
    return { fleet, gateways, [Symbol.asyncDispose]: () => fleet[Symbol.asyncDispose]() };
}

let lastCall = 0;
const authorization = { authorization: "Bearer north-key" };
const look = (gateway: TestGateway, headers: Record<string, string> = authorization) =>
    call(gateway, { path: "/look/x", id: `q${lastCall += 1}`, headers });

/** Calls gateways in turn for a while. */
async function press(gateways: readonly TestGateway[], ms: number, pauseMs: number): Promise<readonly CallerAnswer[]> {
    const answers: Promise<CallerAnswer>[] = [];
    const endsAt = performance.now() + ms;
    for (let index = 0; performance.now() < endsAt; index += 1) {
        answers.push(look(gateways[index % gateways.length]!));
        await sleep(pauseMs);
    }
    return Promise.all(answers);
}

function mostIn(times: readonly number[], windowMs: number): number {
    return Math.max(0, ...times.map(start => times.filter(time => time >= start && time <= start + windowMs).length));
}

test("gateways hold a quota together, also when two of them end (guards against a quota for each gateway)", async () => {
    await using setup = await startGateways();
    const { fleet: { tool }, gateways } = setup;
    const allowed = maxInWindow(limit, quota);
    const answers = await press(gateways, 2_500, 12);
    const served = answers.filter(({ status }) => status === 200).length;
    const refused = answers.filter(({ status }) => status === 429);
    assert.equal(served + refused.length, answers.length);
    assert.ok(refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
    assert.ok(served >= 0.8 * (limit.ratePerSecond * 2 + limit.burst), `${served} served`);
    assert.equal(tool.arrivals.length, served);
    assert.equal((await look(gateways[0]!, { authorization: "Bearer south-key" })).status, 200);

    await Promise.all(gateways.slice(0, 2).map(gateway => gateway[Symbol.asyncDispose]()));
    const later = await press(gateways.slice(2), 3_000, 12);
    assert.ok(later.some(({ status }) => status === 429));
    const most = mostIn(tool.arrivals.map(({ at }) => at), quota.window);
    assert.ok(most <= allowed, `${most} requests in a window, ${allowed} allowed`);
});

test("a refused turn costs no tokens, and its refusal is explained in the log (guards against budgets spent on refusals)", async () => {
    await using setup = await startGateways();
    const [gateway] = setup.gateways as [TestGateway];
    const turns = await Promise.all(Array.from({ length: 60 }, (_, index) => {
        const turn = turnCall(`t${index}`, "program", undefined, 1_000_000);
        return call(gateway, { ...turn, headers: { ...turn.headers, ...authorization } });
    }));
    const refused = turns.filter(({ status }) => status === 429).length;
    assert.ok(refused > 0 && refused < 60, `${refused} refused`);
    const line = gateway.logLines.find(({ event, fields }) =>
        event === "call.refused" && fields.kind === "quotaExceeded"
    );
    assert.equal(line?.fields.team, "north");
    assert.equal(setup.fleet.engine.arrivals.length, 60 - refused);
});
