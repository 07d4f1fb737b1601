import assert from "node:assert/strict";
import { test } from "node:test";
import { createStoreHealth } from "../../src/gateway/index.ts";

test("a store that refuses is away soon, one lost answer is not (guards against callers held while it is away)", () => {
    const health = createStoreHealth();
    health.begin(0, false).failed();
    assert.equal(health.isAway(100), false);
    health.begin(100, false).failed();
    health.begin(200, false).failed();
    assert.equal(health.isAway(210), true);
    health.begin(300, true).answered();
    assert.equal(health.isAway(301), false);
});

test("a silent store is away after a second, a slow one is not (guards against refusing what is only slow)", () => {
    const silent = createStoreHealth();
    silent.begin(0, false);
    assert.equal(silent.isAway(900), false);
    assert.equal(silent.isAway(1_001), true);
    const slow = createStoreHealth();
    slow.begin(0, false);
    slow.begin(600, false).answered();
    assert.equal(slow.isAway(1_100), false);
    const watch = createStoreHealth();
    watch.begin(0, true);
    assert.equal(watch.isAway(5_000), false);
});

test("an old answer does not end an outage (guards against flapping on answers that were under way)", () => {
    const health = createStoreHealth();
    const old = health.begin(0, true);
    [10, 20, 30].forEach(at => health.begin(at, false).failed());
    old.answered();
    assert.equal(health.isAway(400), true);
});
