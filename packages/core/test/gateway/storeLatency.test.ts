import assert from "node:assert/strict";
import { test } from "node:test";
import { createStoreLatency } from "../../src/gateway/index.ts";

test("a call is hedged after 150 ms while the store is fast (guards against callers kept waiting by one lost answer)", () => {
    const latency = createStoreLatency();
    assert.equal(latency.hedgeDelay(), 150);
    Array.from({ length: 50 }, () => latency.record(4));
    assert.equal(latency.hedgeDelay(), 150);
});

test("while the store is slow, no call is hedged within the average latency (guards against doubling the load on a slow store)", () => {
    const latency = createStoreLatency();
    // The latency rises from 4 ms to 240 ms and falls again.
    Array.from({ length: 50 }, () => latency.record(4));
    Array.from({ length: 5 }, () => latency.record(240));
    assert.ok(latency.hedgeDelay() > 240);
    Array.from({ length: 20 }, () => latency.record(4));
    assert.equal(latency.hedgeDelay(), 150);
});
