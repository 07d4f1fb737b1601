import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { call, createFleet, declaration, type TestCall, type TestGateway, turnCall, waitForDeclaration,
    waitUntilReady } from "./harness.ts";

const teams = [{ name: "north", apiKeys: ["key-of-north", "old-key"], priority: 2 }, { name: "south",
    apiKeys: ["key-of-south"] }];
const routes = [...declaration.routes, { ...declaration.routes[2]!, name: "open", prefix: "/open/", public: true }];

async function startWithTeams() {
    const fleet = await createFleet();
    fleet.declare({ routes, tenants: teams });
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    return { fleet, gateway, [Symbol.asyncDispose]: () => fleet[Symbol.asyncDispose]() };
}

const withKey = (key: string, { headers, ...rest }: TestCall): TestCall => ({ ...rest,
    headers: { ...headers, authorization: `Bearer ${key}` } });
const look = (id: string): TestCall => ({ path: "/look/x", id });
const statusOf = async (gateway: TestGateway, made: TestCall) => (await call(gateway, made)).status;

test("a call without a valid key gets 401 and reaches no upstream (guards against service to strangers)", async () => {
    await using setup = await startWithTeams();
    assert.equal(await statusOf(setup.gateway, look("1")), 401);
    assert.equal(await statusOf(setup.gateway, withKey("unknown", look("2"))), 401);
    assert.equal(await statusOf(setup.gateway, withKey("key-of-north", look("3"))), 200);
    assert.deepEqual(setup.fleet.tool.executed.map(({ id }) => id), ["3"]);
});

test("an upstream learns the team and never the key (guards against keys that leak and teams that callers choose)", async () => {
    await using setup = await startWithTeams();
    const forged = { "x-tenant": "south" };
    const { headers, ...made } = withKey("key-of-north", look("1"));
    assert.equal(await statusOf(setup.gateway, { ...made, headers: { ...forged, ...headers } }), 200);
    assert.equal(await statusOf(setup.gateway, withKey("key-of-south", turnCall("2", "p"))), 200);
    assert.equal(await statusOf(setup.gateway, { path: "/open/x", id: "3", headers: forged }), 200);
    assert.equal(await statusOf(setup.gateway, withKey("unknown", { path: "/open/x", id: "4" })), 200);
    const executed = [...setup.fleet.tool.executed, ...setup.fleet.engine.executed];
    const tenants = new Map(executed.map(({ id, headers: received }) => [id, received["x-tenant"]]));
    assert.deepEqual(tenants, new Map([["1", "north"], ["3", undefined], ["4", undefined], ["2", "south"]]));
    assert.ok(executed.every(({ headers: received }) => received.authorization === undefined));
});

test("without teams the headers of callers are forwarded (guards against a change for earlier declarations)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    const { headers, ...made } = withKey("any", look("1"));
    assert.equal(await statusOf(gateway, { ...made, headers: { ...headers, "x-tenant": "some" } }), 200);
    const received = fleet.tool.executed[0]!.headers;
    assert.deepEqual([received.authorization, received["x-tenant"]], ["Bearer any", "some"]);
});

test("no log line, row or answer holds a key (guards against keys in what operators copy)", async () => {
    await using setup = await startWithTeams();
    const { gateway, fleet: { rowStore } } = setup;
    const answers = [await call(gateway, withKey("key-of-north", turnCall("1", "p"))),
        await call(gateway, withKey("wrong-key", look("2"))),
        await call(gateway, withKey("key-of-north", turnCall("3", "p", "none")))];
    const keys = ["turns", "budgets", "gateways"].flatMap(table => rowStore.keys(table));
    const written = JSON.stringify([gateway.logLines, answers.map(({ headers, body }) => [headers, body]), keys]);
    assert.match(written, /call.keyRefused/);
    assert.doesNotMatch(written, /key-of-north|wrong-key/);
});

test("a turn of another team does not exist, also after a restart (guards against conversations read by others)", async () => {
    await using setup = await startWithTeams();
    const { fleet, gateway } = setup;
    assert.equal(await statusOf(gateway, withKey("key-of-north", turnCall("t1", "p"))), 200);
    const restarted = await fleet.startGateway();
    await waitUntilReady(restarted);
    for (const [index, target] of [gateway, restarted].entries()) {
        assert.equal(await statusOf(target, withKey("key-of-south", turnCall(`s${index}`, "p", "t1"))), 404);
        assert.equal(await statusOf(target, withKey("key-of-south", turnCall(`f${index}`, "p", "north@t1"))), 404);
        assert.equal(await statusOf(target, withKey("key-of-north", turnCall(`n${index}`, "p", "t1"))), 200);
    }
});

test("a turn that was kept before teams were declared can be continued (guards against lost conversations)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    assert.equal(await statusOf(gateway, turnCall("t1", "p")), 200);
    fleet.declare({ version: 2, routes, tenants: teams });
    await waitForDeclaration(gateway, 2);
    assert.equal(await statusOf(gateway, withKey("key-of-south", turnCall("t2", "p", "t1"))), 200);
    assert.equal(await statusOf(gateway, withKey("key-of-south", turnCall("t3", "p", "t2"))), 200);
});

test("programs of two teams may have the same id (guards against a budget that another team spends)", async () => {
    await using setup = await startWithTeams();
    for (const [index, key] of ["key-of-north", "key-of-south"].entries()) {
        const first = withKey(key, turnCall(`a${index}`, "p", undefined, 60));
        assert.equal(await statusOf(setup.gateway, first), 200);
    }
});

test("a withdrawn key is refused on a kept connection (guards against access after its end)", async () => {
    await using setup = await startWithTeams();
    const { fleet, gateway } = setup;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const kept = (key: string, id: string) => statusOf(gateway, { ...withKey(key, look(id)), agent });
    assert.equal(await kept("old-key", "1"), 200);
    fleet.declare({ version: 2, routes,
        tenants: [{ ...teams[0], apiKeys: ["key-of-north"] }, { ...teams[1], apiKeys: [] }, { name: "east",
            apiKeys: ["key-of-south"] }] });
    await waitForDeclaration(gateway, 2);
    assert.deepEqual([await kept("old-key", "2"), await kept("key-of-north", "3"), await kept("key-of-south", "4")], [
        401,
        200,
        200,
    ]);
    assert.equal(fleet.tool.executed.at(-1)?.headers["x-tenant"], "east", "a key that moved names its new team");
    agent.destroy();
});

test("a key that cannot be checked gets 503 (guards against 401 for a key that was just added)", async () => {
    await using fleet = await createFleet();
    fleet.declare({ routes, tenants: teams });
    const gateway = await fleet.startGateway({ maxKeyAge: 0 });
    await waitUntilReady(gateway);
    assert.equal(await statusOf(gateway, withKey("key-of-north", look("1"))), 503, "no key is older than allowed");
    assert.equal(await statusOf(gateway, { path: "/open/x", id: "2" }), 200);
});
