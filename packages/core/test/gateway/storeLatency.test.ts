import assert from "node:assert/strict";
import { test } from "node:test";
import { createStoreLatency } from "../../src/gateway/index.ts";

test("a lost answer is asked for again after 150 ms while the store is fast (guards against callers held by one reply)", () => {
    const latency = createStoreLatency();
    assert.equal(latency.hedgeDelay(), 150);
    Array.from({ length: 50 }, () => latency.record(4));
    assert.equal(latency.hedgeDelay(), 150);
});

test("while the store is slow no call is made twice within its usual time (guards against twice the load on a slow store)", () => {
    const latency = createStoreLatency();
    // Answers of 4 ms become answers of 240 ms, and fast again.
    Array.from({ length: 50 }, () => latency.record(4));
    Array.from({ length: 5 }, () => latency.record(240));
    assert.ok(latency.hedgeDelay() > 240);
    Array.from({ length: 20 }, () => latency.record(4));
    assert.equal(latency.hedgeDelay(), 150);
});
