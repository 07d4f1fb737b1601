import type { SocketAddress } from "@tamarackgauge/core/gateway";
import { freeAddress } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { test, type TestContext } from "node:test";
import { connectDirectly } from "../src/directConnection.ts";
import { createMetrics } from "../src/metrics.ts";
import type { UpstreamKnowledge } from "../src/relayMessage.ts";
import { createRelays, type Relays, type UpstreamTarget } from "../src/relays.ts";
import { createRelayServer } from "../src/relayServer.ts";

const log = { info: () => undefined, warn: () => undefined };
const metrics = createMetrics({ limitedUpstreams: () => new Map() });
const forever = new AbortController().signal;

async function listenOn(context: TestContext, server: Server, address: SocketAddress): Promise<void> {
    server.listen(address.port, address.host);
    await once(server, "listening");
    context.after(() => void server.close());
}

/** An upstream whose connections a test takes one by one, and a gateway that opens connections to it for others. */
async function startRelay(context: TestContext, changes: { isCutOff?: () => boolean; } = {},
    known: Partial<UpstreamKnowledge> = {}, askedAddress?: SocketAddress) {
    const [upstreamAddress, peerAddress] = [await freeAddress(), await freeAddress()];
    const upstream = createServer({ allowHalfOpen: true });
    await listenOn(context, upstream, upstreamAddress);
    const target: UpstreamTarget = { id: "i/1", address: upstreamAddress, dataCentre: "a", isLeaving: false,
        requestsPerSecond: undefined };
    const learned: UpstreamKnowledge[] = [];
    const relayServer = createRelayServer({ findTarget: id => id === target.id ? { ...target, ...known } : undefined,
        isCutOff: () => false, openDirectly: ({ address }, timeoutMs) => connectDirectly(address, timeoutMs),
        maxConnections: 2, metrics, log, ...changes });
    context.after(() => relayServer[Symbol.dispose]());
    const peerServer = createHttpServer().on("connect",
        (request, socket: Socket) => relayServer.serve(request, socket));
    await listenOn(context, peerServer, peerAddress);
    const relays = createRelays({ name: "own", dataCentre: "a", isBackingOff: () => false, random: Math.random,
        onKnowledge: (_, knowledge) => learned.push(knowledge), now: () => performance.now(),
        peers:
            () => [{ name: "peer", address: askedAddress ?? peerAddress, dataCentre: "a", registeredAt: 1,
                cores: 1 }] });
    return { target, upstream, relays, relayServer, peerServer, peerAddress, learned };
}

async function openRelayed(context: TestContext, { target, upstream, relays }: {
    target: UpstreamTarget;
    upstream: Server;
    relays: Relays;
}): Promise<{ socket: Duplex; accepted: Socket; }> {
    const accepted = once(upstream, "connection").then(([socket]) => socket as Socket);
    const socket = await relays.open(target, forever);
    socket.on("error", () => undefined);
    context.after(async () => {
        socket.destroy();
        (await accepted).destroy();
    });
    return { socket, accepted: await accepted };
}

test("an answer that ends with its connection is told from one that is reset (guards against a part of an answer that is taken for whole)", async context => {
    const relay = await startRelay(context);
    for (const isReset of [false, true]) {
        const { socket, accepted } = await openRelayed(context, relay);
        const closed = new Promise<boolean>(resolve => {
            socket.once("error", () => resolve(true));
            socket.once("end", () => resolve(false));
        });
        const data = once(socket, "data");
        accepted.write("the beginning");
        assert.equal(String((await data)[0]), "the beginning");
        if (isReset) {
            accepted.resetAndDestroy();
        }
        else {
            accepted.end();
        }
        assert.equal(await closed, isReset);
    }
});

/** Resolves with whether a connection failed; false if it came to an orderly end. */
function failureOf(socket: Duplex): Promise<boolean> {
    return new Promise(resolve => {
        socket.once("error", () => resolve(true));
        socket.once("end", () => resolve(false));
        socket.resume();
    });
}

test("a relaying gateway that goes away within an answer is told from the end of the answer (guards against a part of an answer that is taken for whole)", async context => {
    const waysToGo: Record<string, (relay: Awaited<ReturnType<typeof startRelay>>, links: readonly Socket[]) => void> =
        {
            // As the operating system closes the connections of a process that is killed.
            "killed": (_, links) => links.forEach(link => link.end()),
            "stopped": ({ relayServer }) => relayServer[Symbol.dispose](),
            "idle": (_, links) => links.forEach(link => link.emit("timeout")),
        };
    for (const [way, goAway] of Object.entries(waysToGo)) {
        const relay = await startRelay(context);
        const links: Socket[] = [];
        relay.peerServer.on("connection", (link: Socket) => links.push(link));
        const { socket, accepted } = await openRelayed(context, relay);
        accepted.on("error", () => undefined);
        accepted.write("the beginning");
        assert.equal(String((await once(socket, "data"))[0]), "the beginning");
        const failed = failureOf(socket);
        goAway(relay, links);
        assert.equal(await failed, true, way);
    }
});

test("a connection through a gateway of a version without frames ends with a failure (guards against a part of an answer that is taken for whole during an upgrade)", async context => {
    const peerAddress = await freeAddress();
    await listenOn(context, createHttpServer().on("connect", (_, socket: Socket) => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        socket.end("an answer");
    }), peerAddress);
    const relay = await startRelay(context, {}, {}, peerAddress);
    const socket = await relay.relays.open(relay.target, forever);
    const data = once(socket, "data");
    assert.equal(String((await data)[0]), "an answer");
    assert.equal(await failureOf(socket), true);
});

test("a connection that its gateway closes is closed at the upstream (guards against work that goes on for nobody)", async context => {
    const { socket, accepted } = await openRelayed(context, await startRelay(context));
    accepted.resume();
    accepted.on("error", () => undefined);
    const ended = Promise.race([once(accepted, "end"), once(accepted, "close")]);
    socket.destroy();
    await ended;
});

test("no connection is opened to what is no upstream, beyond the limit, or by a gateway that is cut off itself (guards against a gateway that connects strangers to anything)", async context => {
    const relay = await startRelay(context);
    await assert.rejects(relay.relays.open({ ...relay.target, id: "other" }, forever));
    assert.equal(relay.relays.areExhausted(), false);
    const cutOff = await startRelay(context, { isCutOff: () => true });
    await assert.rejects(cutOff.relays.open(cutOff.target, forever));
    assert.equal(cutOff.relays.areExhausted(), true);
    const full = await startRelay(context);
    await openRelayed(context, full);
    await openRelayed(context, full);
    await assert.rejects(full.relays.open(full.target, forever));
});

test("a gateway that does not know that an upstream leaves, or names a limit, is told and gets no connection (guards against an upstream that is sent more than it takes, by way of a gateway that knows)", async context => {
    for (const knowledge of [{ isLeaving: true }, { requestsPerSecond: 1.5 }]) {
        const relay = await startRelay(context, {}, knowledge);
        await assert.rejects(relay.relays.open(relay.target, forever));
        assert.deepEqual(relay.learned, [{ isLeaving: false, requestsPerSecond: undefined, ...knowledge }]);
        await openRelayed(context, { ...relay, target: { ...relay.target, ...knowledge } });
    }
});

test("a request that names no upstream gets no connection (guards against a gateway that strangers end)", async context => {
    const { peerAddress } = await startRelay(context);
    const stranger = connect(peerAddress.port, peerAddress.host);
    const answer = once(stranger, "data");
    stranger.write("CONNECT upstream:1 HTTP/1.1\r\nhost: x\r\nupstream-id: %zz\r\n\r\n");
    assert.match(String((await answer)[0]), /^HTTP\/1\.1 502 /);
    await once(stranger, "close");
});
