import { StoreError } from "@tamarackgauge/core/gateway";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { callWithRetries, type HedgeableStore, patientRetryPolicy, urgentRetryPolicy } from "../src/storeRetry.ts";

const hedgeDelay = 20;
const unused = () => Promise.reject(new StoreError("away", "unused"));
const store: HedgeableStore = { hedgeDelay: () => hedgeDelay, read: unused, change: unused, feed: unused };

test("a call whose first three answers are lost is answered by the fourth (guards against waiting for an answer that never comes)", async () => {
    let calls = 0;
    const started = performance.now();
    const answer = await callWithRetries(store, () => {
        calls += 1;
        return calls < 4 ? new Promise<string>(() => undefined) : Promise.resolve("done");
    }, urgentRetryPolicy);
    assert.equal(answer, "done");
    assert.ok(performance.now() - started < urgentRetryPolicy.callTimeout);
});

test("a call that is answered in time is made once (guards against doubling the load)", async () => {
    let calls = 0;
    await callWithRetries(store, () => {
        calls += 1;
        return Promise.resolve();
    }, urgentRetryPolicy);
    await sleep(hedgeDelay * 5);
    assert.equal(calls, 1);
});

test("an unavailable store fails urgent calls immediately, and patient calls are retried (guards against completed turns that are discarded)", async () => {
    let calls = 0;
    const away = () => {
        calls += 1;
        return calls < 3 ? Promise.reject(new StoreError("away", "no way")) : Promise.resolve("done");
    };
    await assert.rejects(callWithRetries(store, away, urgentRetryPolicy), StoreError);
    assert.equal(calls, 1);
    assert.equal(await callWithRetries(store, away, patientRetryPolicy), "done");
});
