import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { type ActiveRequest, createUpstreamClient, type UpstreamClient,
    type UsedConnections } from "../src/upstreamClient.ts";
import { waitUntil } from "./harness.ts";

interface TestUpstream extends AsyncDisposable {
    readonly client: UpstreamClient;
    /** Ids of the received calls, in order. */
    readonly receivedIds: readonly string[];
    /** Number of connections that were opened. */
    connections(): number;
    /** Answers the oldest unanswered call. */
    answerOldest(): void;
}

/** Starts an upstream that answers on request, and a client that may open one connection to it. */
async function startUpstream(): Promise<TestUpstream> {
    const receivedIds: string[] = [];
    const pending: { readonly id: string; readonly response: ServerResponse; }[] = [];
    const server = createServer((request, response) => {
        const id = String(request.headers["x-request-id"]);
        receivedIds.push(id);
        pending.push({ id, response });
    });
    let connections = 0;
    server.on("connection", () => connections += 1);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = createUpstreamClient({ host: "127.0.0.1", port: (server.address() as AddressInfo).port,
        maxConnections: () => 1, maxHeadBytes: 16_384 });
    return {
        client,
        receivedIds,
        connections: () => connections,
        answerOldest() {
            const { id, response } = pending.shift()!;
            response.writeHead(200, { "x-request-id": id, "x-response-signature": "signed" }).end();
        },
        async [Symbol.asyncDispose]() {
            await client[Symbol.asyncDispose]();
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
}

interface TestRequest {
    readonly activeRequest: ActiveRequest;
    /** Outcome of the request once it has ended. */
    end: string | undefined;
}

function send({ client }: TestUpstream, id: string, priority: number,
    usedConnections: UsedConnections = new WeakSet()): TestRequest {
    const result: { end: string | undefined; } = { end: undefined };
    const activeRequest = client.send({ callId: id, method: "GET", path: "/", headers: ["x-request-id", id],
        body: undefined, priority, usedConnections }, {
        head: () => undefined,
        data: () => undefined,
        end: () => result.end = "answered",
        fail: failure => result.end = failure,
    });
    return Object.assign(result, { activeRequest });
}

test("calls wait for a connection in order of priority (guards against calls refused just before a connection becomes free)", async () => {
    await using upstream = await startUpstream();
    const calls = [send(upstream, "first", 5), send(upstream, "late", 5), send(upstream, "urgent", 2),
        send(upstream, "last", 5)];
    for (const [index, expected] of ["first", "urgent", "late", "last"].entries()) {
        await waitUntil(() => upstream.receivedIds.length === index + 1, "the next call arrives");
        assert.equal(upstream.receivedIds[index], expected);
        upstream.answerOldest();
    }
    await waitUntil(() => calls.every(({ end }) => end === "answered"), "all calls are answered");
});

test("a call that gets no connection in time fails without being sent (guards against calls that wait for an upstream that completes none)", async () => {
    await using upstream = await startUpstream();
    send(upstream, "first", 0);
    const waiting = send(upstream, "second", 0);
    await waitUntil(() => waiting.end !== undefined, "the second call fails");
    assert.equal(waiting.end, "noRoom");
    assert.equal(waiting.activeRequest.wasSent(), false);
    assert.deepEqual(upstream.receivedIds, ["first"]);
});

test("a call that is cancelled while it waits for a connection is never sent (guards against work for callers that have disconnected)", async () => {
    await using upstream = await startUpstream();
    send(upstream, "first", 0);
    const left = send(upstream, "left", 0);
    const after = send(upstream, "after", 0);
    left.activeRequest.cancel();
    await waitUntil(() => upstream.receivedIds.length === 1, "the first call arrives");
    upstream.answerOldest();
    await waitUntil(() => upstream.receivedIds.length === 2, "the next call arrives");
    upstream.answerOldest();
    await waitUntil(() => after.end === "answered", "the waiting call is answered");
    assert.deepEqual(upstream.receivedIds, ["first", "after"]);
    assert.equal(left.end, undefined);
});

test("a call is never sent twice over one connection (guards against a late copy of its first answer that is taken for the second one)", async () => {
    await using upstream = await startUpstream();
    const usedConnections: UsedConnections = new WeakSet();
    for (const attempt of [1, 2, 3]) {
        const sent = send(upstream, "again", 0, usedConnections);
        await waitUntil(() => upstream.receivedIds.length === attempt, "the call arrives");
        upstream.answerOldest();
        await waitUntil(() => sent.end === "answered", "the call is answered");
    }
    assert.equal(upstream.connections(), 3);
    const other = send(upstream, "other", 0);
    await waitUntil(() => upstream.receivedIds.length === 4, "another call arrives");
    upstream.answerOldest();
    await waitUntil(() => other.end === "answered", "the other call is answered");
    assert.equal(upstream.connections(), 3);
});

test("calls that wait for a connection of a leaving upstream are not sent (guards against work on an upstream that goes away)", async () => {
    await using upstream = await startUpstream();
    const first = send(upstream, "first", 0);
    const waiting = send(upstream, "waiting", 0);
    await waitUntil(() => upstream.receivedIds.length === 1, "the first call arrives");
    upstream.client.retire();
    assert.equal(waiting.end, "noRoom");
    const late = send(upstream, "late", 0);
    await waitUntil(() => late.end !== undefined, "a later call fails");
    assert.deepEqual([late.end, late.activeRequest.wasSent()], ["unreachable", false]);
    upstream.answerOldest();
    await waitUntil(() => first.end === "answered", "the call under way ends");
    assert.deepEqual(upstream.receivedIds, ["first"]);
});
