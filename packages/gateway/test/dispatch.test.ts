import { createStoreHealth, hash, type UpstreamEntry } from "@tamarackgauge/core/gateway";
import { createStore, decodeDeclaration } from "@tamarackgauge/platform";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { WebSocketServer } from "ws";
import { createAuthorities } from "../src/authorities.ts";
import { createDispatch, type Dispatch, type Placement, type PlacementRequest } from "../src/dispatch.ts";
import { createDispatcher, type Dispatcher } from "../src/dispatcher.ts";
import { createMetrics } from "../src/metrics.ts";
import { createPeerContacts, type PeerContacts } from "../src/peerContacts.ts";
import { openPeerLink } from "../src/peerLink.ts";
import { defaultPeerListTimes, type Peer } from "../src/peerList.ts";
import { createPeerServer } from "../src/peerServer.ts";
import { call, createFleet, declaration as wireDeclaration, freeAddress, type TestGateway, turnCall, waitUntil,
    waitUntilReady } from "./harness.ts";

const declaration = decodeDeclaration(Buffer.from(JSON.stringify(wireDeclaration)));
const engine: UpstreamEntry = { id: "i-engine", service: "models", address: "127.0.0.1", port: 1, dataCentre: "a",
    slots: 1, draining: false, startedAt: 1 };
const now = () => performance.now();
const log = { info: () => undefined, warn: () => undefined };
const metrics = createMetrics({ limitedUpstreams: () => new Map() });
const signal = new AbortController().signal;

function request(program: string, maxWait = 20_000): PlacementRequest {
    return { service: "models", parts: [{ id: "shared", tokens: 100 }], promptTokens: 120, maxTokens: 10,
        dataCentre: "a", tried: [], excluded: [], priority: 0, precedingTurns: 0, team: "", program: hash(program),
        maxWait, timeLeft: 60_000 };
}

function startDispatcher(context: TestContext): Dispatcher {
    const dispatcher = createDispatcher({ declaration: () => declaration, metrics, log, now, random: Math.random });
    context.after(() => dispatcher[Symbol.dispose]());
    dispatcher.setUpstreams([engine]);
    return dispatcher;
}

/** A gateway that takes the given one for the dispatcher. */
function createAsker(context: TestContext, peer: Peer, gateways = 24): { dispatch: Dispatch; contacts: PeerContacts; } {
    const contacts = createPeerContacts({ log, now });
    context.after(() => contacts[Symbol.dispose]());
    const authorities = createAuthorities({ name: "asker", hasPeers: true, settlingTime: 0, contacts, now });
    const dispatch = createDispatch({
        authorities: { establishedCount: () => gateways, rankCapable: () => [peer],
            ask: (ranked, call, limits) => authorities.ask(ranked, call, limits) },
        contacts,
        session: { place: async () => assert.fail("the other gateway is the dispatcher"), notify: () => undefined,
            [Symbol.dispose]: () => undefined },
        declaration: () => declaration,
        metrics,
        log,
        now,
        random: Math.random,
    });
    return { dispatch, contacts };
}

async function startPeer(context: TestContext): Promise<Peer> {
    const dispatcher = startDispatcher(context);
    const address = await freeAddress();
    const store = { read: assert.fail, change: assert.fail, feed: assert.fail };
    const server = createPeerServer(
        { address, store, health: createStoreHealth(), dispatcher, log, now,
            lender: { lend: assert.fail, acceptReturn: assert.fail, recall: assert.fail },
            permitIssuer: { issue: assert.fail, learn: assert.fail } } as unknown as Parameters<
                typeof createPeerServer
            >[0],
    );
    context.after(() => server[Symbol.asyncDispose]());
    return { name: "dispatcher", address, dataCentre: "a" } as Peer;
}

/** Asks until the dispatcher answers: on a busy machine it may show no sign of life for 150 ms. */
async function ask(dispatch: Dispatch, program: string, maxWait?: number) {
    for (;;) {
        const answer = await dispatch.place(request(program, maxWait), signal);
        if (answer !== undefined) {
            return answer;
        }
        await sleep(100);
    }
}

async function placeAt(dispatch: Dispatch, program: string): Promise<Placement> {
    const answer = await ask(dispatch, program);
    assert.ok(answer.kind === "placed");
    return answer;
}

test("a gateway's calls wait for places that others release, over links (guards against places that nobody gets)", async context => {
    const peer = await startPeer(context);
    const [first, second] = [createAsker(context, peer), createAsker(context, peer)];
    const placement = await placeAt(first.dispatch, "p1");
    assert.equal(placement.upstream, "i-engine");
    const next = ask(second.dispatch, "p2");
    assert.equal(await Promise.race([next, sleep(60, "waits")]), "waits");
    placement.release("answered");
    assert.equal((await next).kind, "placed");
    const refused = await ask(first.dispatch, "p3", 10);
    assert.ok(refused.kind === "refused" && refused.cause.kind === "noPlace" && refused.cause.retryAfter >= 100);
});

test("the places of a gateway that ends, and of a caller that leaves, are free again (guards against engines that stay full)", async context => {
    const peer = await startPeer(context);
    const [first, second, third] = [createAsker(context, peer), createAsker(context, peer), createAsker(context, peer)];
    await placeAt(first.dispatch, "p1");
    const leaving = new AbortController();
    const left = second.dispatch.place(request("p2"), leaving.signal);
    await sleep(30);
    leaving.abort();
    assert.equal((await left)?.kind, "withdrawn");
    first.contacts[Symbol.dispose]();
    await placeAt(third.dispatch, "p3");
});

test("a gateway decides alone at once without a dispatcher, and asks again later (guards against calls that wait for a gateway that is gone)", async context => {
    const silent = createServer(() => undefined);
    const address = await freeAddress();
    await new Promise<void>(resolve => silent.listen(address.port, address.host, resolve));
    const { dispatch } = createAsker(context, { name: "silent", address, dataCentre: "a" } as Peer);
    const startedAt = now();
    assert.equal(await dispatch.place(request("p1"), signal), undefined);
    assert.ok(now() - startedAt < 1_000);
    assert.equal(dispatch.isInForce("models"), false);
    const askedAgainAt = now();
    assert.equal(await dispatch.place(request("p2"), signal), undefined);
    assert.ok(now() - askedAgainAt < 100, "the gateway does not ask again at once");
    silent.close();
    await waitUntil(() => dispatch.isInForce("models"), "the dispatcher is asked again");
});

test("nothing is asked among few gateways, or for a service without a model (guards against a changed choice)", async context => {
    const peer = { name: "none", address: { host: "127.0.0.1", port: 1 }, dataCentre: "a" } as Peer;
    const few = createAsker(context, peer, 23);
    assert.equal(few.dispatch.isInForce("models"), false);
    assert.equal(await few.dispatch.place(request("p1"), signal), undefined);
    assert.equal(createAsker(context, peer).dispatch.isInForce("tools"), false);
});

/** The second one ranks first for the service. */
const gatewayNames = ["g2", "g1"];

test("turns at two gateways among 24 are placed by one of them (guards against a dispatcher that no call reaches)", async context => {
    const fleet = await createFleet();
    context.after(() => fleet[Symbol.asyncDispose]());
    const storeEndpoint = await fleet.rowStore.open();
    const store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    context.after(() => store[Symbol.asyncDispose]());
    // Their VMs are small, so that none of them is asked.
    const value = Buffer.from(pack(["127.0.0.1", 1, "a", 1, 0.01]));
    const puts = Array.from({ length: 22 },
        (_, index) => ({ table: "gateways", part: "", key: `small${index}`, value }));
    await store.change({ puts }, { timeout: 1_000 });
    const times = { ...defaultPeerListTimes, secondRefreshDelay: 200, refreshInterval: 200, settling: 400 };
    const gateways: TestGateway[] = [];
    for (const name of gatewayNames) {
        const gateway = await fleet.startGateway({ name, peerAddress: await freeAddress() }, undefined, times);
        await waitUntilReady(gateway);
        gateways.push(gateway);
    }
    const [asker, dispatcher] = gateways;
    const isDispatcher = ({ logLines }: TestGateway) => logLines.some(({ event }) => event === "dispatch.started");
    let turns = 0;
    await waitUntil(async () => {
        turns += 1;
        assert.equal((await call(asker!, turnCall(`t${turns}`, `p${turns}`))).status, 200);
        return isDispatcher(dispatcher!);
    }, "a turn is placed by the other gateway");
    assert.equal((await call(dispatcher!, turnCall("own", "own"))).status, 200);
    assert.equal(isDispatcher(asker!), false);
});

test("a gateway that waits for a place notices a dispatcher that freezes meanwhile (guards against calls that wait for it in vain)", async context => {
    const server = new WebSocketServer({ port: 0, host: "127.0.0.1", autoPong: false });
    context.after(() => server.close());
    let pongs = 0;
    server.on("connection", socket => socket.on("ping", () => (pongs += 1) <= 2 && socket.pong()));
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const link = openPeerLink({ host: "127.0.0.1", port });
    context.after(() => link.terminate());
    await link.opened;
    const call = { kind: "place", key: 1, ...request("p1") } as const;
    await assert.rejects(link.request(call, { timeout: 10_000, silenceTimeout: 300 }), /silent/);
    assert.ok(pongs >= 3, `${pongs} pings`);
});
