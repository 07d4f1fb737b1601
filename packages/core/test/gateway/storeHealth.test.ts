import assert from "node:assert/strict";
import { test } from "node:test";
import { createStoreHealth } from "../../src/gateway/index.ts";

test("a store is unavailable after failures of three parts, but not after one lost answer (guards against callers kept waiting during an outage)", () => {
    const health = createStoreHealth();
    health.begin(0, "a", false).failed();
    assert.equal(health.isUnavailable(100), false);
    health.begin(100, "b", false).failed();
    health.begin(200, "c", false).failed();
    assert.equal(health.isUnavailable(210), true);
    health.begin(300, "a", true).answered();
    assert.equal(health.isUnavailable(301), false);
});

test("a store that answers no call for a second after a failure is unavailable, whichever part was called (guards against late detection of an outage)", () => {
    const health = createStoreHealth();
    health.begin(0, "a", false).failed();
    assert.equal(health.isSuspected(1), true);
    assert.equal(health.isUnavailable(1_001), true);
});

test("repeated failures of one part make only that part unavailable (guards against turns refused while most of the store answers)", () => {
    const health = createStoreHealth();
    for (const at of [0, 100, 200, 300]) {
        health.begin(at, "down", false).failed();
        health.begin(at, "up", false).answered();
    }
    assert.equal(health.isPartUnavailable("down", 310), true);
    assert.equal(health.isPartUnavailable("up", 310), false);
    assert.equal(health.isUnavailable(310), false);
    health.begin(320, "down", false).answered();
    assert.equal(health.isPartUnavailable("down", 321), false);
});

test("a store that answers nothing for a second is unavailable, a slow one is not (guards against refusals while the store is only slow)", () => {
    const silent = createStoreHealth();
    silent.begin(0, "a", false);
    assert.equal(silent.isUnavailable(900), false);
    assert.equal(silent.isUnavailable(1_001), true);
    const slow = createStoreHealth();
    slow.begin(0, "a", false);
    slow.begin(600, "a", false).answered();
    assert.equal(slow.isUnavailable(1_100), false);
    const watch = createStoreHealth();
    watch.begin(0, "a", true);
    assert.equal(watch.isUnavailable(5_000), false);
});

test("an answer to a call from before the failures does not end an outage (guards against flapping on answers in flight)", () => {
    const health = createStoreHealth();
    const old = health.begin(0, "a", true);
    ["a", "b", "c"].forEach((part, index) => health.begin(10 * (index + 1), part, false).failed());
    old.answered();
    assert.equal(health.isUnavailable(400), true);
});
