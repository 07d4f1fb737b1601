import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { type ActiveRequest, createUpstreamClient, type UpstreamClient } from "../src/upstreamClient.ts";
import { until } from "./harness.ts";

interface TestUpstream extends AsyncDisposable {
    readonly client: UpstreamClient;
    /** Calls that arrived, in order. */
    readonly receivedIds: readonly string[];
    /** Answers the call that has waited longest. */
    answerOldest(): void;
}

/** An upstream that answers when told, and a client that may open one connection to it. */
async function startUpstream(): Promise<TestUpstream> {
    const receivedIds: string[] = [];
    const pending: { readonly id: string; readonly response: ServerResponse; }[] = [];
    const server = createServer((request, response) => {
        const id = String(request.headers["x-request-id"]);
        receivedIds.push(id);
        pending.push({ id, response });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = createUpstreamClient({ host: "127.0.0.1", port: (server.address() as AddressInfo).port,
        maxConnections: () => 1, maxHeadBytes: 16_384 });
    return {
        client,
        receivedIds,
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
    /** How it ended, once it has. */
    end: string | undefined;
}

function send({ client }: TestUpstream, id: string, priority: number): TestRequest {
    const result: { end: string | undefined; } = { end: undefined };
    const activeRequest = client.send({ callId: id, method: "GET", path: "/", headers: ["x-request-id", id],
        body: undefined, priority }, {
        head: () => undefined,
        data: () => undefined,
        end: () => result.end = "answered",
        fail: failure => result.end = failure,
    });
    return Object.assign(result, { activeRequest });
}

test("calls wait for a connection, the most urgent first (guards against calls refused while a connection is about to be free)", async () => {
    await using upstream = await startUpstream();
    const calls = [send(upstream, "first", 5), send(upstream, "late", 5), send(upstream, "urgent", 2),
        send(upstream, "last", 5)];
    for (const [index, expected] of ["first", "urgent", "late", "last"].entries()) {
        await until(() => upstream.receivedIds.length === index + 1, "the next call arrives");
        assert.equal(upstream.receivedIds[index], expected);
        upstream.answerOldest();
    }
    await until(() => calls.every(({ end }) => end === "answered"), "all calls are answered");
});

test("a call that waits for a connection in vain has not run (guards against calls held for an upstream that ends none)", async () => {
    await using upstream = await startUpstream();
    send(upstream, "first", 0);
    const waiting = send(upstream, "second", 0);
    await until(() => waiting.end !== undefined, "the second call is given back");
    assert.equal(waiting.end, "noRoom");
    assert.equal(waiting.activeRequest.wasSent(), false);
    assert.deepEqual(upstream.receivedIds, ["first"]);
});

test("a call that is given up while it waits for a connection is never sent (guards against work for callers that have left)", async () => {
    await using upstream = await startUpstream();
    send(upstream, "first", 0);
    const left = send(upstream, "left", 0);
    const after = send(upstream, "after", 0);
    left.activeRequest.cancel();
    await until(() => upstream.receivedIds.length === 1, "the first call arrives");
    upstream.answerOldest();
    await until(() => upstream.receivedIds.length === 2, "the next call arrives");
    upstream.answerOldest();
    await until(() => after.end === "answered", "the call that waits is answered");
    assert.deepEqual(upstream.receivedIds, ["first", "after"]);
    assert.equal(left.end, undefined);
});
