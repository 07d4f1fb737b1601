import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { createForwarder } from "../src/index.ts";
import type { Forwarder } from "../src/index.ts";
import { sendRequest, waitUntil } from "./client.ts";

async function startEchoServer() {
    const server = createServer(socket => {
        socket.on("error", () => {});
        socket.pipe(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        port: (server.address() as AddressInfo).port,
        [Symbol.dispose]: () => {
            server.close();
        },
    };
}

function connectTo(forwarder: Forwarder): Socket {
    return connect(forwarder.port, "127.0.0.1").on("error", () => {});
}

/** Sends a text and returns its echo, or undefined when none arrives within the timeout. */
async function exchange(socket: Socket, text: string, timeoutMs = 5000): Promise<string | undefined> {
    const answer = once(socket, "data", { signal: AbortSignal.timeout(timeoutMs) });
    socket.write(text);
    return answer.then(([bytes]) => String(bytes), () => undefined);
}

void test("silent connections stay open while new ones work (guards against a dead link that looks alive)", async () => {
    using target = await startEchoServer();
    await using forwarder = await createForwarder({ target: target.port });
    const old = connectTo(forwarder);
    assert.equal(await exchange(old, "a"), "a");
    forwarder.silence("existing");
    assert.equal(await exchange(old, "b", 100), undefined);
    assert.equal(await exchange(connectTo(forwarder), "c"), "c");
    forwarder.silence("all");
    assert.equal(await exchange(connectTo(forwarder), "d", 100), undefined);
    forwarder.silence("none");
    assert.equal(await exchange(connectTo(forwarder), "e"), "e");
    assert.equal(await exchange(old, "f", 100), undefined);
    assert.equal(old.destroyed, false);
});

void test("cut resets the open connections and refuse resets new ones", async () => {
    using target = await startEchoServer();
    await using forwarder = await createForwarder({ target: target.port, controlPort: 0 });
    const control = { ...forwarder, url: `http://127.0.0.1:${forwarder.controlPort}` };
    const old = connectTo(forwarder);
    assert.equal(await exchange(old, "a"), "a");
    await sendRequest(control, "POST", "/control/cut");
    await waitUntil(() => old.destroyed);
    await sendRequest(control, "POST", "/control/refuse", {});
    const refused = connectTo(forwarder);
    await waitUntil(() => refused.destroyed);
    await sendRequest(control, "POST", "/control/refuse", { on: false });
    assert.equal(await exchange(connectTo(forwarder), "b"), "b");
    assert.deepEqual([forwarder.counts().accepted, forwarder.counts().refused], [2, 1]);
});

void test("the delay applies once in each direction and keeps the order of bytes", async () => {
    using target = await startEchoServer();
    await using forwarder = await createForwarder({ target: target.port, delayMs: 20 });
    const socket = connectTo(forwarder);
    await once(socket, "connect");
    const start = performance.now();
    assert.equal(await exchange(socket, "a"), "a");
    assert.ok(performance.now() - start >= 40);
    let received = "";
    socket.on("data", bytes => {
        received += String(bytes);
    });
    for (let index = 0; index < 10; index++) {
        socket.write(String(index));
        forwarder.delay(20 - 2 * index);
    }
    await waitUntil(() => received.length === 10);
    assert.equal(received, "0123456789");
});

void test("the end of one side's stream is forwarded to the other side", async () => {
    using target = await startEchoServer();
    await using forwarder = await createForwarder({ target: target.port, delayMs: 5 });
    const socket = connectTo(forwarder);
    socket.resume();
    socket.end("bye");
    await once(socket, "close");
    await waitUntil(() => forwarder.counts().open === 0);
});
