import assert from "node:assert/strict";
import { test } from "node:test";
import { answerTimeout } from "../../src/gateway/index.ts";

const targetLatency = 60;

/** Whether a call is served within `timeout`, if each of its attempts reaches an upstream that needs `latencies[attempt]`. */
function isServed(latencies: (attempt: number) => number, timeout: number, highLatency = 0): boolean {
    let elapsed = 0;
    for (let attempt = 0;; attempt += 1) {
        const timeLeft = timeout - elapsed;
        const attemptTimeout = answerTimeout({ targetLatency, highLatency, slowness: 1, timeouts: attempt, timeLeft });
        if (latencies(attempt) <= (attemptTimeout ?? timeLeft)) {
            return true;
        }
        if (attemptTimeout === undefined) {
            return false;
        }
        elapsed += attemptTimeout;
    }
}

test("a call is served by upstreams that are slow but sound, whatever their latency up to half of its time (guards against giving them up in turn)", () => {
    for (const timeout of [300, 1_000, 2_500, 6_000]) {
        for (const factor of [1, 2, 4, 8, 20]) {
            const latency = targetLatency * factor;
            if (latency <= timeout / 2) {
                assert.ok(isServed(() => latency, timeout), `${latency} of ${timeout} ms`);
            }
        }
    }
});

test("a stalled upstream is left early enough for the next one (guards against waiting for the stalled one)", () => {
    for (const timeout of [300, 400, 1_000]) {
        const latency = Math.min(timeout / 2, targetLatency * 4);
        assert.ok(isServed(attempt => attempt === 0 ? Infinity : latency, timeout), `${timeout} ms`);
    }
});

test("an attempt lasts as long as the service is seen to need (guards against work in vain at a service that is slow as a whole)", () => {
    const basis = { targetLatency, slowness: 1, timeouts: 0, timeLeft: 10_000 };
    assert.equal(answerTimeout({ ...basis, highLatency: 0 }), 240);
    assert.ok(answerTimeout({ ...basis, highLatency: 500 })! > 500);
    assert.ok(answerTimeout({ ...basis, highLatency: 500, slowness: 2 })! > 1_000);
    assert.equal(answerTimeout({ ...basis, highLatency: 500, timeLeft: 1_000 }), undefined);
});
