import assert from "node:assert/strict";
import { test } from "node:test";
import { ServiceEstimate, UpstreamState } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";

const idle = { running: 1, waiting: 0, slots: 64, slowness: 1 };

test("the prefill rate is learned for slow and fast engines (guards against constants that fit only one type of engine)", () => {
    for (const tokensPerMs of [30, 256]) {
        const random = createRandom(7);
        const service = new ServiceEstimate();
        for (let call = 0; call < 60; call += 1) {
            const read = 200 + random() * 6_000;
            service.recordFirstByte({ timeToFirstByte: 12 + read / tokensPerMs + random() * 4, prefillTokens: read,
                load: idle }, call * 100);
        }
        assert.ok(Math.abs(service.prefillTokensPerMs / tokensPerMs - 1) < 0.2,
            `${service.prefillTokensPerMs} of ${tokensPerMs}`);
    }
});

test("calls that wait or run on a busy engine do not change the prefill rate (guards against an estimate that falls with the load)", () => {
    const service = new ServiceEstimate();
    const before = service.prefillTokensPerMs;
    for (let call = 0; call < 60; call += 1) {
        const load = call % 2 === 0 ? { ...idle, waiting: 3 } : { ...idle, running: 60 };
        service.recordFirstByte({ timeToFirstByte: 2_000 + call, prefillTokens: call * 100, load }, call);
    }
    assert.equal(service.prefillTokensPerMs, before);
});

test("ten seconds of high load do not become the baseline (guards against programs admitted because all calls are slow)", () => {
    const service = new ServiceEstimate();
    const random = createRandom(3);
    const call = (slowness: number, now: number) => {
        const timeToFirstByte = (20 + random() * 10) * slowness;
        const latency = timeToFirstByte + 8 * 20 * slowness;
        service.recordCompletedCall({ latency, timeToFirstByte, events: 9, slowness: 1 }, now);
    };
    for (let at = 0; at < 10_000; at += 100) {
        call(1, at);
    }
    const baseline = service.baselineLatency;
    assert.ok(service.excessLatency(10_000) < baseline * 0.2, "no excess latency without load");
    for (let at = 10_000; at < 20_000; at += 100) {
        call(4, at);
    }
    assert.ok(service.baselineLatency < baseline * 1.2, "the baseline stays");
    assert.ok(service.excessLatency(20_000) > baseline * 2, "excess latency rises under load");
    for (let at = 20_000; at < 25_000; at += 100) {
        call(1, at);
    }
    assert.ok(service.excessLatency(25_000) < baseline * 0.3, "excess latency falls after the load");
});

test("an engine without a recent load report is assumed to be as busy as the others (guards against all gateways choosing it)", () => {
    const service = new ServiceEstimate();
    const state = (id: string) =>
        new UpstreamState({ id, service: "s", address: "10.0.0.1", port: 1, dataCentre: "a", slots: 8, draining: false,
            startedAt: 1 }, 1e5, service);
    const [reporting, silent, stale] = [state("reporting"), state("silent"), state("stale")];
    stale.recordLoad({ running: 0, waiting: 0, slots: 8, slowness: 1 }, 0);
    reporting.recordLoad({ running: 8, waiting: 4, slots: 8, slowness: 1 }, 10_000);
    assert.ok(silent.estimatedCalls(10_000) > 10);
    assert.ok(stale.estimatedCalls(10_000) > 10);
    assert.equal(reporting.estimatedCalls(10_000), 12);
});
