import { createForwarder, type Forwarder, freeAddress } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { connectDirectly, type DirectConnector } from "../src/directConnection.ts";
import { call, createFleet, declaration, type Fleet, openCall, registerPeer, type TestGateway, turnCall,
    waitForDeclaration, waitUntil, waitUntilReady } from "./harness.ts";

/** From this time after the beginning of a cut on, the callers of a gateway that is cut off are served as those of others. */
const noticeMs = 3_000;

/** The links of a gateway to its upstreams, which can be cut. */
interface Links extends AsyncDisposable {
    readonly connect: DirectConnector;
    /**
     * Cuts the links. `hang`: connections fall silent, and new ones do not open. `hangNew`: only the latter. `refuse`: they
     * are reset, and new ones refused.
     */
    cut(way: "hang" | "hangNew" | "refuse"): Promise<void>;
    heal(): Promise<void>;
    /** Bytes that upstreams have sent over the gateway's own connections. */
    bytes(): number;
}

async function createLinks(targets: readonly number[]): Promise<Links & { readonly ports: readonly number[]; }> {
    let hangs = false;
    let forwarders = await Promise.all(targets.map(target => createForwarder({ target })));
    const ports = forwarders.map(({ port }) => port);
    return {
        ports,
        connect: (address, timeoutMs, signal) =>
            hangs ? neverOpens(timeoutMs, signal) : connectDirectly(address, timeoutMs, signal),
        async cut(way) {
            hangs = way !== "refuse";
            if (way === "hang") {
                forwarders.forEach(forwarder => forwarder.silence("existing"));
            }
            else if (way === "refuse") {
                await Promise.all(forwarders.map(close));
            }
        },
        async heal() {
            if (!hangs) {
                forwarders = await Promise.all(
                    targets.map((target, index) => createForwarder({ target, port: ports[index]! })),
                );
            }
            hangs = false;
        },
        [Symbol.asyncDispose]: async () => void await Promise.all(forwarders.map(close)),
        bytes: () => forwarders.reduce((sum, forwarder) => sum + forwarder.counts().bytesDown, 0),
    };
}

const close = (forwarder: Forwarder) => forwarder[Symbol.asyncDispose]();

function neverOpens(timeoutMs: number, signal?: AbortSignal): Promise<never> {
    return new Promise((_, reject) => {
        setTimeout(() => reject(new Error("no answer")), timeoutMs);
        signal?.addEventListener("abort", () => reject(new Error("aborted")));
    });
}

/** Gateways of which one can be cut off from the upstreams. */
interface CutFleet {
    /** The upstreams, and the gateways that always reach them. */
    readonly home: Fleet;
    /** The store of the gateways that can be cut off. */
    readonly away: Fleet;
    readonly gateway: TestGateway;
    readonly relays: readonly TestGateway[];
    readonly links: Links;
}

/** Starts the gateways. That which can be cut off has a store of its own, in which the upstreams have other addresses. */
async function startCutFleet(context: TestContext, relayCount = 1): Promise<CutFleet> {
    const [home, away] = [await createFleet(), await createFleet()];
    context.after(() => home[Symbol.asyncDispose]());
    context.after(() => away[Symbol.asyncDispose]());
    const links = await createLinks([home.engine.port, home.tool.port]);
    context.after(() => links[Symbol.asyncDispose]());
    [away.engine, away.tool].forEach((upstream, index) =>
        away.registerUpstream(upstream, { address: `127.0.0.1:${links.ports[index]}` })
    );
    const relays: TestGateway[] = [];
    for (let index = 0; index < relayCount; index += 1) {
        const peerAddress = await freeAddress();
        relays.push(await home.startGateway({ name: `relay${index}`, peerAddress }));
        await waitUntilReady(relays[index]!);
        await registerPeer(away, `relay${index}`, peerAddress);
    }
    const gateway = await away.startGateway({ name: "cut", peerAddress: await freeAddress() }, undefined, undefined,
        links.connect);
    await waitUntilReady(gateway);
    return { home, away, gateway, relays, links };
}

/** Calls of all kinds, one of each route. */
async function callAll(gateway: TestGateway, prefix: string): Promise<readonly number[]> {
    const answers = await Promise.all([
        call(gateway, { path: "/look/x", id: `${prefix}-look` }),
        call(gateway, { path: "/pay/x", id: `${prefix}-pay`, body: "sum" }),
        call(gateway, { path: "/plan/x", id: `${prefix}-plan`, body: "plan" }),
        call(gateway, turnCall(`${prefix}-turn`, `${prefix}-program`)),
    ]);
    return answers.map(({ status, whole }) => whole ? status : 0);
}

const allServed = [200, 200, 200, 200];

/** Callers come while the cut is noticed; some of their calls are lost with the connections. */
async function callWhileNoticing(gateway: TestGateway): Promise<void> {
    const endsAt = performance.now() + noticeMs;
    for (let round = 0; performance.now() < endsAt; round += 1) {
        void callAll(gateway, `noticing${round}`).catch(() => undefined);
        await sleep(100);
    }
}

for (
    const [way, name] of [["hang", "connections hang"], ["refuse",
        "connections are reset and new ones refused"]] as const
) {
    test(`a gateway whose ${name} serves calls through another one, and by itself again later (guards against callers of a gateway that is cut off from all upstreams)`, async context => {
        const { home, gateway, links } = await startCutFleet(context);
        assert.deepEqual(await callAll(gateway, "before"), allServed);
        await links.cut(way);
        await callWhileNoticing(gateway);
        for (let round = 0; round < 5; round += 1) {
            assert.deepEqual(await callAll(gateway, `cut${round}`), allServed);
        }
        assert.equal(home.tool.executed.filter(({ id }) => id === "cut0-pay").length, 1);
        await links.heal();
        const bytes = links.bytes();
        let round = 0;
        await waitUntil(async () => {
            round += 1;
            assert.deepEqual(await callAll(gateway, `healed${round}`), allServed);
            return links.bytes() > bytes;
        }, "calls go directly again");
    });
}

test("a gateway whose kept connections live on while new ones are refused serves calls at once (guards against calls that need a further connection)", async context => {
    const { gateway, links } = await startCutFleet(context);
    assert.deepEqual(await callAll(gateway, "before"), allServed);
    await links.cut("hangNew");
    await Promise.all(
        Array.from({ length: 8 }, async (_, index) => assert.deepEqual(await callAll(gateway, `c${index}`), allServed)),
    );
});

test("another gateway that is cut off too opens no connections, and one that reaches upstreams is found (guards against calls that gateways without upstreams pass around)", async context => {
    const { away, gateway, links } = await startCutFleet(context);
    const other = await away.startGateway({ name: "cut too", peerAddress: await freeAddress() }, undefined, undefined,
        links.connect);
    await waitUntilReady(other);
    await links.cut("refuse");
    await callWhileNoticing(gateway);
    for (let round = 0; round < 5; round += 1) {
        assert.deepEqual(await callAll(gateway, `cut${round}`), allServed);
    }
});

test("a gateway that reaches no upstream and no other gateway refuses calls, which do not run later (guards against calls held until their time is over)", async context => {
    const { home, gateway, links } = await startCutFleet(context, 0);
    await links.cut("hang");
    await callWhileNoticing(gateway);
    const { status, headers } = await call(gateway, { path: "/pay/x", id: "refused", body: "sum" });
    assert.deepEqual([status, headers.connection], [503, "close"]);
    assert.ok(Number(headers["retry-after"]) < 1);
    await links.heal();
    await sleep(200);
    assert.ok(!home.tool.executed.some(({ id }) => id === "refused"));
});

test("a gateway that stops ends after the calls that others send through it (guards against calls cut off by the stop of a gateway that their callers do not know)", async context => {
    const { home, away, relays: [relay], gateway, links } = await startCutFleet(context);
    away.declare({ version: 2, routes: declaration.routes.map(route => ({ ...route, timeoutMs: 8_000 })) });
    await waitForDeclaration(gateway, 2);
    await links.cut("refuse");
    await callWhileNoticing(gateway);
    home.engine.behave("pause");
    const answer = call(gateway, { path: "/plan/x", id: "paused", body: "plan" });
    await waitUntil(() => home.engine.paused() === 1, "the engine works on the call");
    let isStopped = false;
    const stopped = relay!.gateway.shutDown().then(() => isStopped = true);
    // Without any calls it takes less than 4 s.
    await sleep(4_500);
    assert.equal(isStopped, false);
    home.engine.resume();
    const { status, whole } = await answer;
    assert.deepEqual([status, whole, home.engine.executed.filter(({ id }) => id === "paused").length], [200, true, 1]);
    await stopped;
});

test("calls through another gateway run once and end with their callers (guards against calls that run again or go on for nobody)", async context => {
    const { home, gateway, links } = await startCutFleet(context);
    await links.cut("refuse");
    await callWhileNoticing(gateway);
    home.tool.behave("lose");
    const lost = await call(gateway, { path: "/pay/x", id: "lost", body: "sum" });
    assert.equal(lost.status, 502);
    assert.equal(home.tool.executed.filter(({ id }) => id === "lost").length, 1);
    home.tool.behave("silent");
    const left = openCall(gateway, { path: "/pay/x", id: "left", body: "sum" });
    await waitUntil(() => home.tool.executed.some(({ id }) => id === "left"), "the call runs");
    left.destroy();
    await waitUntil(() => home.tool.cancelled.includes("left"), "the call ends");
});
