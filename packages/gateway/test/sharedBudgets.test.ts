import { hash, rankByRendezvous } from "@tamarackgauge/core/gateway";
import { createStore } from "@tamarackgauge/platform";
import { pack, unpack } from "msgpackr";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { WebSocketServer } from "ws";
import type { Log } from "../src/log.ts";
import { createMetrics } from "../src/metrics.ts";
import { createPeerContacts } from "../src/peerContacts.ts";
import { createSharedBudgets } from "../src/sharedBudgets.ts";
import { call, createFleet, declaration, type Fleet, type TestCall, type TestGateway, turnCall, waitUntil,
    waitUntilReady } from "./harness.ts";

const home = "one";
let serial = 0;

/** Creates the id of a program whose home is the wanted one of the gateways. */
function createProgramId(names: readonly string[] = ["one", "two"], wantedHome = home): string {
    do {
        serial += 1;
    }
    while (rankByRendezvous(`p${serial}`, names)[0] !== wantedHome);
    return `p${serial}`;
}

/** A turn of at most 60 tokens that generates 50 and is not stored. */
function turnWithoutRetention(id: string, program: string, budget = 1_000): TestCall {
    return { ...turnCall(id, program, undefined, budget), path: "/plan/x" };
}

async function startGateways() {
    const fleet = await createFleet();
    const one = await fleet.startGateway({ name: home });
    await waitUntilReady(one);
    const two = await fleet.startGateway({ name: "two" });
    await waitUntilReady(two);
    await waitUntil(async () => {
        const before = two.storeEndpoint.calls().changes;
        assert.equal((await call(two, turnWithoutRetention("warm", createProgramId()))).status, 200);
        return two.storeEndpoint.calls().changes === before;
    }, "the home lends tokens");
    return { fleet, one, two, [Symbol.asyncDispose]: () => fleet[Symbol.asyncDispose]() };
}

/** A peer that accepts connections and never answers, like a frozen gateway. */
async function createSilentPeer() {
    const server = new WebSocketServer({ host: "127.0.0.1", port: 0, autoPong: false });
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    return {
        port,
        async [Symbol.asyncDispose]() {
            server.clients.forEach(client => client.terminate());
            await new Promise(resolve => server.close(resolve));
        },
    };
}

function countChanges(gateways: readonly TestGateway[]): number {
    return gateways.reduce((sum, { storeEndpoint }) => sum + storeEndpoint.calls().changes, 0);
}

test("a program's turns at several gateways need one write while its home has tokens (guards against a write for each gateway)", async () => {
    await using setup = await startGateways();
    const gateways = [setup.one, setup.two];
    const program = createProgramId();
    assert.equal((await call(setup.two, turnWithoutRetention("t0", program))).status, 200);
    const before = countChanges(gateways);
    for (const index of [1, 2]) {
        assert.equal((await call(gateways[index % 2]!, turnWithoutRetention(`t${index}`, program))).status, 200);
    }
    assert.equal(countChanges(gateways), before);
});

test("the first turn of a gateway waits for the link to the home (guards against a grant of its own beside that of the home)", async () => {
    await using fleet = await createFleet();
    const homeGateway = await fleet.startGateway({ name: home });
    await waitUntilReady(homeGateway);
    const two = await fleet.startGateway({ name: "two" });
    await waitUntilReady(two);
    await waitUntil(() =>
        two.logLines.some(({ event }) => event === "gateway.started") &&
        two.storeEndpoint.answeredReads("gateways") >= 2, "the list of gateways is read");
    const before = two.storeEndpoint.calls().changes;
    assert.equal((await call(two, turnWithoutRetention("t0", createProgramId()))).status, 200);
    assert.equal(two.storeEndpoint.calls().changes, before);
});

test("a running program continues at any gateway while the store is unavailable (guards against programs that end with an outage)", async () => {
    await using setup = await startGateways();
    const gateways = [setup.one, setup.two];
    const program = createProgramId();
    assert.equal((await call(setup.two, turnWithoutRetention("t0", program))).status, 200);
    gateways.forEach(({ storeEndpoint }) => storeEndpoint.setFault({ mode: "reset" }));
    await waitUntil(async () => (await call(setup.two, turnWithoutRetention("new", createProgramId()))).status === 503,
        "a new program is refused");
    assert.equal((await call(setup.two, turnWithoutRetention("t1", program))).status, 200);
    assert.equal((await call(setup.one, turnWithoutRetention("t2", program))).status, 200);
});

test("a budget is enforced across a home and its borrowers, and unused tokens become available again (guards against loans that leak)", async () => {
    await using setup = await startGateways();
    const gateways = [setup.one, setup.two];
    const program = createProgramId();
    const answers = await Promise.all(
        [0, 1, 2, 3].map(index => call(gateways[index % 2]!, turnWithoutRetention(`t${index}`, program, 150))),
    );
    assert.deepEqual(answers.map(({ status }) => status).sort(), [200, 200, 402, 402]);
    // Two turns generated 100 tokens; a third one fits only if both returned their unused tokens.
    assert.equal((await call(setup.two, turnWithoutRetention("t4", program, 160))).status, 200);
    assert.equal((await call(setup.two, turnWithoutRetention("t5", program, 160))).status, 402);
});

test("a turn is refused at its time limit while neither its home nor its own gateway gets an answer of the store (guards against turns that are held for the sum of both waits)", async () => {
    await using setup = await startGateways();
    const program = createProgramId();
    [setup.one, setup.two].forEach(({ storeEndpoint }) => storeEndpoint.setFault({ mode: "silent", call: "change" }));
    const startedAt = performance.now();
    assert.equal((await call(setup.two, turnWithoutRetention("t0", program))).status, 503);
    const elapsed = performance.now() - startedAt;
    const { timeoutMs } = declaration.routes[0]!;
    assert.ok(elapsed < timeoutMs + 400, `the answer came after ${Math.round(elapsed)} ms`);
});

test("tokens that a home lends after the time limit of a turn are returned to it (guards against loans that leak)", async () => {
    await using setup = await startGateways();
    const [program, budget] = [createProgramId(), 60];
    const turn = turnWithoutRetention("t0", program, budget);
    setup.one.storeEndpoint.setFault({ mode: "slow", ms: 1_200, call: "change" });
    const { status } = await call(setup.two, { ...turn, headers: { ...turn.headers, "x-deadline-ms": "1000" } });
    assert.equal(status, 503);
    setup.one.storeEndpoint.setFault(undefined);
    await waitUntil(
        async () =>
            (await call(setup.two, turnWithoutRetention(`t${performance.now()}`, program, budget))).status === 200,
        "the tokens are available",
    );
});

/** Tokens that a program's row counts as generated, and those in grants. */
function countsOf({ rowStore }: Fleet, program: string) {
    const [spent, grants] = unpack(rowStore.get("budgets", String(hash(program) % 512), program)!) as [number,
        [string, number, number][]];
    return { spent, granted: grants.reduce((sum, [, , tokens]) => sum + tokens, 0) };
}

test("a turn that generates more than its most with tokens of its home is counted in full (guards against a budget that is overspent by each last event)", async () => {
    await using setup = await startGateways();
    const program = createProgramId();
    // Each turn generates 5 events of 10 tokens.
    const turn = (id: string) => {
        const wanted = turnWithoutRetention(id, program, 225);
        return { ...wanted, headers: { ...wanted.headers, "x-token-usage": "100,45" } };
    };
    // The turns end while the tokens of an earlier one are being written.
    setup.two.storeEndpoint.setFault({ mode: "slow", ms: 100, call: "change" });
    const answers = await Promise.all(["t1", "t2", "t3", "t4"].map(id => call(setup.two, turn(id))));
    assert.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200]);
    await waitUntil(() => countsOf(setup.fleet, program).granted === 0, "all grants are given back");
    await waitUntil(() => countsOf(setup.fleet, program).spent === 200, "all tokens are counted");
    assert.equal((await call(setup.two, turn("t5"))).status, 402);
});

test("a turn waits for a home that waits for a slow store (guards against a second grant, whose write would queue behind the first)", async () => {
    await using setup = await startGateways();
    setup.one.storeEndpoint.setFault({ mode: "slow", ms: 400, call: "change" });
    const before = setup.two.storeEndpoint.calls().changes;
    assert.equal((await call(setup.two, turnWithoutRetention("t0", createProgramId()))).status, 200);
    assert.equal(setup.two.storeEndpoint.calls().changes, before);
    assert.ok(!setup.two.logLines.some(({ event }) => event === "budget.homeAway"));
});

test("a program continues after its home has ended (guards against programs that end with one gateway)", async () => {
    await using setup = await startGateways();
    const program = createProgramId();
    assert.equal((await call(setup.two, turnWithoutRetention("t0", program))).status, 200);
    await setup.one[Symbol.asyncDispose]();
    assert.equal((await call(setup.two, turnWithoutRetention("t1", program))).status, 200);
});

test("a silent home delays only one turn (guards against a frozen gateway that delays all programs)", async () => {
    await using fleet = await createFleet();
    const storeEndpoint = await fleet.rowStore.open();
    await using silentPeer = await createSilentPeer();
    await using store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    await store.change({
        puts: [{ table: "gateways", part: "", key: "mute",
            value: Buffer.from(pack(["127.0.0.1", silentPeer.port, "a"])) }],
    }, { timeout: 1_000 });
    const gateway = await fleet.startGateway({ name: home });
    await waitUntilReady(gateway);
    const countHomeAwayLines = () => gateway.logLines.filter(({ event }) => event === "budget.homeAway").length;
    const program = () => createProgramId([home, "mute"], "mute");
    await waitUntil(async () => {
        assert.equal((await call(gateway, turnWithoutRetention("warm", program()))).status, 200);
        return countHomeAwayLines() > 0;
    }, "the failure of the home is logged");
    const started = performance.now();
    for (const id of ["t1", "t2", "t3"]) {
        assert.equal((await call(gateway, turnWithoutRetention(id, program()))).status, 200);
    }
    assert.ok(performance.now() - started < 600);
});

test("idle tokens at another gateway are recalled before a turn is refused because the budget is spent (guards against a false 402)", async () => {
    await using fleet = await createFleet();
    // Gateways of two data centres do not share a home.
    const one = await fleet.startGateway({ name: "one" });
    const two = await fleet.startGateway({ name: "two", dataCentre: "b" });
    await Promise.all([waitUntilReady(one), waitUntilReady(two)]);
    await waitUntil(async () => {
        const program = createProgramId();
        // The first gateway reserves 144 of 360 tokens and keeps 94 of them for 3 s.
        assert.equal((await call(one, turnWithoutRetention("t0", program, 360))).status, 200);
        const statuses = await Promise.all(
            [1, 2, 3, 4, 5].map(async index =>
                (await call(two, turnWithoutRetention(`t${index}`, program, 360))).status
            ),
        );
        return statuses.every(status => status === 200);
    }, "five more turns run");
});

test("a grant whose write was not answered is returned (guards against tokens that a gateway holds without knowing)", async () => {
    await using fleet = await createFleet();
    const one = await fleet.startGateway({ name: "one" });
    const two = await fleet.startGateway({ name: "two", dataCentre: "b" });
    await Promise.all([waitUntilReady(one), waitUntilReady(two)]);
    [one, two].forEach(({ storeEndpoint }) => storeEndpoint.setFault({ mode: "lostReply", call: "change" }));
    assert.equal((await call(one, turnWithoutRetention("t1", "p", 110))).status, 503);
    [one, two].forEach(({ storeEndpoint }) => storeEndpoint.setFault(undefined));
    await waitUntil(
        async () => (await call(two, turnWithoutRetention(`t${performance.now()}`, "p", 110))).status === 200,
        "the tokens are available",
    );
});

test("a holder that has been missing in the list of gateways for long counts as ended (guards against a program that is told to come back for ever)", async () => {
    let time = 0;
    const log: Log = { info: () => undefined, warn: () => undefined };
    const now = () => time;
    using contacts = createPeerContacts({ log, now });
    const { recallFrom } = createSharedBudgets({ contacts, log, now,
        metrics: createMetrics({ limitedUpstreams: () => new Map() }), peers: () => [],
        settings: { name: "one", dataCentre: "a" }, ownBudgets: () => assert.fail("no tokens are reserved") });
    assert.equal(await recallFrom("two/1", "p"), "pending");
    // A gateway that has just started is in the list within less than this time.
    time = 30_000;
    assert.equal(await recallFrom("two/1", "p"), "pending");
    time = 3_600_000;
    assert.equal(await recallFrom("two/1", "p"), "gone");
    assert.equal(await recallFrom("two/2", "p"), "pending");
});

test("a turn is refused with a retry delay while another gateway may still return tokens (guards against a false 402)", async () => {
    await using fleet = await createFleet();
    const one = await fleet.startGateway({ name: "one" });
    const two = await fleet.startGateway({ name: "two", dataCentre: "b" });
    await Promise.all([waitUntilReady(one), waitUntilReady(two)]);
    assert.equal((await call(one, turnWithoutRetention("t1", "p", 110))).status, 200);
    // Its holder cannot return the grant for longer than a turn may wait.
    one.storeEndpoint.setFault({ mode: "silent", call: "change" });
    const answer = await call(two, turnWithoutRetention("t2", "p", 110));
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    one.storeEndpoint.setFault(undefined);
    await waitUntil(
        async () => (await call(two, turnWithoutRetention(`t${performance.now()}`, "p", 110))).status === 200,
        "the tokens are available",
    );
    assert.equal((await call(two, turnWithoutRetention("t4", "p", 110))).status, 402);
});
