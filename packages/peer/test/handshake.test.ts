import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { WebSocket } from "ws";
import { endpointPath } from "../src/connect.ts";
import { createAccepterHandshake, createDialerHandshake } from "../src/handshake.ts";
import { LinkError } from "../src/index.ts";
import { messageKinds, pack } from "../src/wire.ts";
import { closeCode, clusterKey, collect, connectRaw, createCall, createMember, generateTexts, neverAborted, sleep,
    startPeers } from "./support.ts";

test("a daemon with another cluster key gets no link (guards against calls of unauthenticated daemons)", async () => {
    const served: string[] = [];
    await using a = await startPeers("a", { clusterKey: "not the key of the cluster", linkWaitTimeoutMs: 200 });
    await using b = await startPeers("b", {
        handleCall: from => {
            served.push(from);
            return generateTexts(1);
        },
    });
    a.setMembers([createMember("b", b.port)]);
    b.setMembers([createMember("a", a.port)]);
    await assert.rejects(
        collect(a.call("b", createCall(1), neverAborted)),
        (error: unknown) => error instanceof LinkError && !error.sent,
    );
    assert.equal(a.links().some(link => link.up) || b.links().some(link => link.up), false);
    assert.deepEqual(served, []);
    await assert.rejects(connectRaw("b", b.port, "another key altogether"), /unauthenticated: 4401/);
});

test("a connection intended for another daemon is refused (guards against a reused address)", async () => {
    await using b = await startPeers("b");
    await assert.rejects(connectRaw("c", b.port), /wrong_name: 4403/);
});

test("a frame before the handshake closes the connection (guards against calls without a proof of the key)", async () => {
    const served: string[] = [];
    await using b = await startPeers("b", {
        handleCall: from => {
            served.push(from);
            return generateTexts(1);
        },
    });
    const socket = new WebSocket(`ws://127.0.0.1:${b.port}${endpointPath}`);
    await once(socket, "open");
    socket.send(pack([[messageKinds.call, 1, pack(createCall(1))]]));
    assert.equal(await closeCode(socket), 4401);
    assert.deepEqual(served, []);
});

test("a connection that sends nothing is closed after the handshake timeout (guards against sockets that stay open)", async () => {
    await using b = await startPeers("b", { handshakeTimeoutMs: 200 });
    const socket = new WebSocket(`ws://127.0.0.1:${b.port}${endpointPath}`);
    await once(socket, "open");
    const openedAt = performance.now();
    assert.equal(await closeCode(socket), 4408);
    assert.ok(performance.now() - openedAt < 600);
});

test("a large message before the handshake closes the connection (guards against memory used by unauthenticated peers)", async () => {
    await using b = await startPeers("b", { handshakeTimeoutMs: 5000 });
    const socket = new WebSocket(`ws://127.0.0.1:${b.port}${endpointPath}`);
    socket.on("error", () => {});
    await once(socket, "open");
    socket.send("x".repeat(1_000_000));
    assert.equal(await closeCode(socket), 1006);
    const rawSocket = connect(b.port, "127.0.0.1");
    rawSocket.on("error", () => {});
    rawSocket.write(`GET ${endpointPath} HTTP/1.1\r\nx: ${"x".repeat(20_000)}`);
    rawSocket.resume();
    await once(rawSocket, "close");
});

test("a proof is rejected in the other role and in another handshake (guards against reflection and replay)", () => {
    const key = Buffer.from("k".repeat(32));
    const self = { name: "a", incarnation: "1" };
    const other = { name: "b", incarnation: "1" };
    const dialer = createDialerHandshake(self, "b", key);
    const firstAccepter = createAccepterHandshake(other, key);
    const challenge = firstAccepter.receive(dialer.firstMessage ?? "").send ?? "";
    const proof = dialer.receive(challenge).send ?? "";
    assert.throws(() => dialer.receive(proof), /4401/);
    const secondAccepter = createAccepterHandshake(other, key);
    secondAccepter.receive(dialer.firstMessage ?? "");
    assert.throws(() => secondAccepter.receive(proof), /4401/);
    assert.deepEqual(firstAccepter.receive(proof).identity, self);
});

test("a link of a new incarnation replaces that of the old one (guards against calls to a terminated process)", async () => {
    const linkChanges: string[] = [];
    await using b = await startPeers("b", { onLinkChange: (peer, state) => linkChanges.push(`${peer} ${state}`) });
    const oldSocket = await connectRaw("b", b.port);
    const closed = closeCode(oldSocket);
    await sleep(20);
    const newSocket = await connectRaw("b", b.port, clusterKey, "2");
    assert.equal(await closed, 4420);
    assert.deepEqual(linkChanges, ["raw up", "raw down", "raw up"]);
    newSocket.terminate();
});
