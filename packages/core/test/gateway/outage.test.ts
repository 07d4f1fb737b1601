import assert from "node:assert/strict";
import { test } from "node:test";
import { maxWait, outageEndsWithin, probeDelay, retryDelay } from "../../src/gateway/index.ts";

test("a call waits less than its caller's patience and less than half of its time (guards against callers that give up unanswered)", () => {
    assert.ok(maxWait({ timeLeft: 6_000, patience: 2_400 }) < 2_400);
    assert.ok(maxWait({ timeLeft: 6_000, patience: 2_400 }) > 1_800);
    assert.ok(maxWait({ timeLeft: 3_000, patience: 2_400 }) < 1_500);
    assert.equal(maxWait({ timeLeft: -5, patience: 2_400 }), 0);
});

test("calls that wait make probes more frequent, and probes are jittered (guards against gateways that probe together)", () => {
    assert.ok(probeDelay(true, () => 0.5) < probeDelay(false, () => 0.5));
    assert.ok(probeDelay(true, () => 1) > 2 * probeDelay(true, () => 0));
});

test("an outage is expected to last as long again as it has lasted so far (guards against turns that run and cannot be kept)", () => {
    assert.equal(outageEndsWithin(1_000, 900), true);
    assert.equal(outageEndsWithin(1_000, 1_100), false);
});

test("a refused call is told to return when it can be served (guards against tries that are used up while the cause lasts)", () => {
    const middle = () => 0.5;
    assert.equal(retryDelay({ kind: "storeAway", isolated: true }, middle), 0);
    assert.equal(retryDelay({ kind: "stopping" }, middle), 0);
    // After a wait for the store here, the next gateway lets the call wait again.
    assert.ok(retryDelay({ kind: "storeAway", isolated: false }, middle)! <= 200);
    assert.equal(retryDelay({ kind: "enginesFull", expectedWait: 600 }, middle), 600);
    assert.ok(retryDelay({ kind: "enginesFull", expectedWait: 60_000 }, middle)! <= 1_000);
    assert.equal(retryDelay({ kind: "outOfTime" }, middle), undefined);
});

test("callers that are refused together return at different times (guards against a second wave)", () => {
    const delays = [0, 0.5, 0.99].map(random => retryDelay({ kind: "enginesFull", expectedWait: 800 }, () => random)!);
    assert.ok(delays[2]! - delays[0]! > 300);
});
