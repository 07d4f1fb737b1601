import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { createForwarder } from "../src/index.ts";
import type { Forwarder } from "../src/index.ts";
import { send, until } from "./client.ts";

async function createEcho() {
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

function open(forwarder: Forwarder): Socket {
    return connect(forwarder.port, "127.0.0.1").on("error", () => {});
}

/** The echo of a text, or undefined when none came in time. */
async function echo(socket: Socket, text: string, timeoutMs = 5000): Promise<string | undefined> {
    const answer = once(socket, "data", { signal: AbortSignal.timeout(timeoutMs) });
    socket.write(text);
    return answer.then(([bytes]) => String(bytes), () => undefined);
}

void test("silent connections stay open and mute while new ones work (guards against a link that looks alive)", async () => {
    using target = await createEcho();
    await using forwarder = await createForwarder({ target: target.port });
    const old = open(forwarder);
    assert.equal(await echo(old, "a"), "a");
    forwarder.silence("existing");
    assert.equal(await echo(old, "b", 100), undefined);
    assert.equal(await echo(open(forwarder), "c"), "c");
    forwarder.silence("all");
    assert.equal(await echo(open(forwarder), "d", 100), undefined);
    forwarder.silence("none");
    assert.equal(await echo(open(forwarder), "e"), "e");
    assert.equal(await echo(old, "f", 100), undefined);
    assert.equal(old.destroyed, false);
});

void test("cut breaks the open connections and refuse the new ones", async () => {
    using target = await createEcho();
    await using forwarder = await createForwarder({ target: target.port, controlPort: 0 });
    const control = { ...forwarder, url: `http://127.0.0.1:${forwarder.controlPort}` };
    const old = open(forwarder);
    assert.equal(await echo(old, "a"), "a");
    await send(control, "POST", "/control/cut");
    await until(() => old.destroyed);
    await send(control, "POST", "/control/refuse", {});
    const refused = open(forwarder);
    await until(() => refused.destroyed);
    await send(control, "POST", "/control/refuse", { on: false });
    assert.equal(await echo(open(forwarder), "b"), "b");
    assert.deepEqual([forwarder.counts().accepted, forwarder.counts().refused], [2, 1]);
});

void test("the delay counts once for each direction and keeps the order", async () => {
    using target = await createEcho();
    await using forwarder = await createForwarder({ target: target.port, delayMs: 20 });
    const socket = open(forwarder);
    await once(socket, "connect");
    const start = performance.now();
    assert.equal(await echo(socket, "a"), "a");
    assert.ok(performance.now() - start >= 40);
    let received = "";
    socket.on("data", bytes => {
        received += String(bytes);
    });
    for (let index = 0; index < 10; index++) {
        socket.write(String(index));
        forwarder.delay(20 - 2 * index);
    }
    await until(() => received.length === 10);
    assert.equal(received, "0123456789");
});

void test("an end of one side reaches the other", async () => {
    using target = await createEcho();
    await using forwarder = await createForwarder({ target: target.port, delayMs: 5 });
    const socket = open(forwarder);
    socket.resume();
    socket.end("bye");
    await once(socket, "close");
    await until(() => forwarder.counts().open === 0);
});
