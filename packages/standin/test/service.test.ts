import assert from "node:assert/strict";
import { test } from "node:test";
import { createService } from "../src/index.ts";
import { sendRequest, waitUntil } from "./client.ts";

const key = { "idempotency-key": "k" };

void test("a request with a repeated key is executed again without deduplication, and once with it", async () => {
    for (const dedupe of [false, true]) {
        await using service = await createService({ dedupe });
        await sendRequest(service, "POST", "/book", { n: 1 }, key);
        const second = await sendRequest(service, "POST", "/book", { n: 1 }, key);
        assert.deepEqual(second.body, { ok: true, execution: dedupe ? 1 : 2, echo: { n: 1 } });
        assert.deepEqual(service.counts().byIdempotencyKey, { k: dedupe ? 1 : 2 });
    }
});

void test("a request is executed on a lost reply and a hang after, not on a hang before and an error", async () => {
    await using service = await createService();
    const call = (standin: object, timeoutMs = 5000) =>
        fetch(`${service.url}/book`, {
            method: "POST",
            body: JSON.stringify({ standin }),
            signal: AbortSignal.timeout(timeoutMs),
        });
    await assert.rejects(call({ loseReply: true }));
    await assert.rejects(call({ hang: "after" }, 300));
    await waitUntil(() => service.counts().executions === 2);
    await assert.rejects(call({ hang: "before" }, 300));
    await waitUntil(() => service.counts().requests === 3);
    assert.equal((await call({ error: 503 })).status, 503);
    assert.deepEqual([service.counts().executions, service.counts().requests], [2, 4]);
});

void test("a behaviour set by control ends after its count", async () => {
    await using service = await createService();
    await sendRequest(service, "POST", "/control/behaviour", { error: 500, count: 1 });
    assert.equal((await sendRequest(service, "POST", "/a", {})).status, 500);
    assert.equal((await sendRequest(service, "POST", "/a", {})).status, 200);
});
