import { createStore } from "@tamarackgauge/platform";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { openPeerLink } from "../src/peerLink.ts";
import { watchTable } from "../src/watch.ts";
import { call, collectText, createFleet, type Fleet, startRawServer, type TestGateway, turnCall, waitUntil,
    waitUntilReady } from "./harness.ts";

const malformedMessages = [Buffer.from([0xc1]), Buffer.from("{}"), pack({ id: 1 }), pack([]),
    pack({ id: 1, result: { rows: 7 } }), pack({ id: 1, call: { kind: "borrow" } }),
    pack({ id: "1", call: { kind: "read", range: {}, timeout: -1 } }), pack({ id: 1, failure: "odd", reason: 5 })];

async function assertServes(fleet: Fleet, gateway: TestGateway, id: string): Promise<void> {
    const executedBefore = fleet.engine.executed.length;
    assert.equal((await call(gateway, turnCall(id, `program of ${id}`))).status, 200);
    assert.equal(fleet.engine.executed.length, executedBefore + 1);
}

test("a malformed answer of a peer fails the requests of its link (guards against a process that crashes on one message)", async () => {
    for (const bytes of malformedMessages) {
        const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
        server.on("connection", socket => socket.on("message", () => socket.send(bytes)));
        await once(server, "listening");
        const link = openPeerLink({ host: "127.0.0.1", port: (server.address() as AddressInfo).port });
        await link.opened;
        await assert.rejects(link.request({ kind: "recall", holder: "h", program: "p" }, { timeout: 2_000 }));
        assert.equal(link.closed, true);
        server.close();
    }
});

test("a malformed message of a peer closes only its link (guards against a gateway that any client can crash)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    for (const bytes of malformedMessages) {
        const socket = new WebSocket(`ws://127.0.0.1:${gateway.settings.peerAddress!.port}`);
        await once(socket, "open");
        socket.send(bytes);
        await once(socket, "close");
    }
    await assertServes(fleet, gateway, "t1");
});

test("a malformed row of the gateway list excludes only its gateway (guards against a list that is never refreshed again)", async () => {
    await using fleet = await createFleet();
    fleet.rowStore.put("gateways", "", "odd", Buffer.from([0xc1]));
    fleet.rowStore.put("gateways", "", "empty", Buffer.alloc(0));
    fleet.rowStore.put("gateways", "", "short", pack(["127.0.0.1"]));
    const first = await fleet.startGateway({ name: "g1" });
    await waitUntilReady(first);
    await waitUntil(() => fleet.rowStore.keys("gateways").includes("g1"), "the first gateway is registered");
    const second = await fleet.startGateway({ name: "g2" });
    await waitUntilReady(second);
    // A gateway may be ready before it has read the list of gateways, without which it knows no other.
    await waitUntil(() => second.storeEndpoint.answeredReads("gateways") > 0, "the second gateway has read the list");
    second.storeEndpoint.setFault({ mode: "reset" });
    await waitUntil(async () => (await call(second, turnCall("t1", "p"))).status === 200,
        "the second gateway serves through the first");
});

/** Malformed bodies of store answers, each sent with status 200. */
const malformedStoreBodies = ["", "{", "null", "[]", "7", "{\"ver\":\"x\"}", "{\"ver\":1,\"rows\":{}}",
    "{\"ver\":1,\"rows\":[null]}", "{\"ver\":1,\"rows\":[{\"table\":\"t\",\"key\":\"k\",\"ver\":1,\"value\":9}]}"];

async function startStoreServer(listener: RequestListener) {
    const server = createServer(listener);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const store = createStore({ host: "127.0.0.1", port: (server.address() as AddressInfo).port });
    return { store, async [Symbol.asyncDispose]() {
        await store[Symbol.asyncDispose]();
        server.close();
    } };
}

test("a malformed answer of the store counts as a store failure (guards against a watch that ends permanently)", async () => {
    const bodies = [...malformedStoreBodies];
    let requestCount = 0;
    await using parts = await startStoreServer((_, response) => {
        requestCount += 1;
        response.end(
            bodies.shift() ?? "{\"ver\":5,\"rows\":[{\"table\":\"t\",\"key\":\"k\",\"ver\":5,\"value\":\"\"}]}",
        );
    });
    const seen: number[] = [];
    await using watch = watchTable({ store: parts.store, table: "t", part: "", now: () => performance.now(),
        log: { info: () => undefined, warn: () => undefined }, onChange: rows => void seen.push(rows.size) });
    await waitUntil(() => seen.includes(1), "the watch has read the table");
    assert.ok(requestCount > malformedStoreBodies.length);
    assert.ok(watch.age() < 20_000);
});

test("a table is read again after its listener throws (guards against changes that are lost permanently)", async () => {
    await using fleet = await createFleet();
    const storeEndpoint = await fleet.rowStore.open();
    await using store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    let remainingFaults = 2;
    const seen: string[][] = [];
    await using watch = watchTable({ store, table: "servers", part: "", now: () => performance.now(),
        log: { info: () => undefined, warn: () => undefined }, onChange(rows) {
        remainingFaults -= 1;
        assert.ok(remainingFaults < 0, "a fault");
        seen.push([...rows.keys()]);
    } });
    await waitUntil(() => seen.length > 0, "the listener has received the rows");
    assert.deepEqual(seen[0]?.toSorted(), ["i-engine", "i-tool"]);
    assert.ok(Number.isFinite(watch.age()));
});

/** Malformed or incomplete answers of an upstream. */
const malformedAnswers = ["", "\0\0\0", "HTTP/1.1 200 OK\r\n", "HTTP/9.9 abc\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    "HTTP/1.1 99999 OK\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nhello",
    "HTTP/1.1 101 Switching Protocols\r\n\r\nxyz",
    "HTTP/1.1 200 OK\r\nx-server-load: -5,x,1e99,-1\r\ncontent-length: 0\r\n\r\n"];

test("a malformed answer of an upstream fails only its call (guards against a process that a faulty upstream crashes)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    const pending = [...malformedAnswers];
    using upstream = await startRawServer(socket => {
        socket.once("data", () => socket.end(pending.shift() ?? ""));
    });
    fleet.registerUpstream(fleet.tool, { address: upstream.address });
    for (const [index] of malformedAnswers.entries()) {
        const before = pending.length;
        await waitUntil(async () => {
            const answer = await call(gateway, { path: "/pay/x", id: `c${index}.${pending.length}`, body: "x" });
            return pending.length < before && answer.status === 502;
        }, `answer ${index} is no success`);
    }
    await assertServes(fleet, gateway, "t1");
});

const malformedRequests = ["\0\0", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
    "POST /pay/x HTTP/1.1\r\nhost: fleet.test\r\ncontent-length: -1\r\n\r\n",
    "POST /pay/x HTTP/1.1\r\nhost: fleet.test\r\nx-request-id: a\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n",
    "POST /pay/x HTTP/1.1\r\nhost: fleet.test\r\nx-request-id: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
    "GET /pay/x HTTP/1.1\r\nhost: fleet.test\r\nhost: other\r\n\r\n",
    "POST /turn/x HTTP/1.1\r\nhost: fleet.test\r\nx-request-id: \r\nx-token-budget: -4\r\nx-token-usage: a,b\r\ncontent-length: 0\r\n\r\n",
    `GET /${"x".repeat(100_000)} HTTP/1.1\r\n\r\n`];

test("a malformed request closes only its connection (guards against a process that one caller crashes)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    for (const bytes of malformedRequests) {
        const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
        socket.on("error", () => undefined);
        const text = collectText(socket);
        socket.write(bytes);
        // An incomplete request would be ended by the header timeout; the test does not wait for it.
        await Promise.race([once(socket, "close"), waitUntil(() => text().length > 0, "an answer")]);
        assert.doesNotMatch(text(), /^HTTP\/1.1 2/);
        socket.destroy();
    }
    await assertServes(fleet, gateway, "t1");
});
