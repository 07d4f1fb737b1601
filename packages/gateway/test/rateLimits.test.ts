import { UpstreamState } from "@tamarackgauge/core/gateway";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMetrics } from "../src/metrics.ts";
import { createRateLimits } from "../src/rateLimits.ts";

const entry = { id: "u", service: "s", address: "127.0.0.1", port: 1, dataCentre: "a", slots: 12, draining: false,
    startedAt: 1 };
const permitDelayMs = 20;

/** Whether a permit may be used by a process that continues so many milliseconds after its time. */
async function isUsable(requestsPerSecond: number, latenessMs: number): Promise<boolean> {
    let now = 0;
    const state = new UpstreamState(entry, 0);
    state.rateLimit.record({ kind: "limited", requestsPerSecond }, { sentAt: 0, receivedAt: 0 });
    const rateLimits = createRateLimits({
        permits: { request: async () => ({ decision: { kind: "granted", delay: permitDelayMs } }),
            report: () => undefined, prepare: () => undefined },
        metrics: createMetrics({ limitedUpstreams: () => new Map() }),
        log: { info: () => undefined, warn: () => undefined },
        now: () => now,
    });
    const acquired = rateLimits.acquire(state, permitDelayMs, new AbortController().signal);
    setTimeout(() => now = permitDelayMs + latenessMs, permitDelayMs / 2);
    return acquired;
}

test("a permit is used until the next one is due, and not later (guards against a call that has waited and is refused, and against requests that pile up)", async () => {
    assert.deepEqual(await Promise.all([isUsable(2, 490), isUsable(2, 510)]), [true, false]);
    assert.deepEqual(await Promise.all([isUsable(30, 240), isUsable(30, 260)]), [true, false]);
    assert.deepEqual(await Promise.all([isUsable(0, 990), isUsable(0, 1_010)]), [true, false]);
});
