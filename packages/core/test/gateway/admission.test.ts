import assert from "node:assert/strict";
import { test } from "node:test";
import { decideAdmission, retryDelay } from "../../src/gateway/index.ts";
import { simulateBurst } from "./burst.ts";

test("programs are admitted while slots are free, and refused with a retry delay otherwise (guards against refusals while slots are free)", () => {
    const ask = (occupancy: number | undefined, random: number) =>
        decideAdmission({ occupancy, excessLatency: 0, baselineLatency: 300, targetLatency: 250, priority: 0 }, () =>
            random);
    assert.equal(ask(undefined, 0), undefined);
    assert.equal(ask(1, 0), undefined);
    const refusal = ask(1.2, 0);
    assert.deepEqual(refusal, { kind: "enginesFull", expectedWait: 300 });
    assert.ok(retryDelay(refusal, () => 0)! >= 150);
    assert.equal(ask(1.2, 0.9), undefined);
    assert.ok(retryDelay({ kind: "enginesFull", expectedWait: 1e6 }, () => 0.99)! <= 1_250);
});

test("high excess latency refuses programs too, less urgent ones first (guards against overload of engines that slow down long before all slots are in use)", () => {
    for (const occupancy of [0.6, undefined]) {
        const ask = (delay: number, priority: number) =>
            decideAdmission({ occupancy, excessLatency: delay, baselineLatency: 300, targetLatency: 250, priority },
                () => 0.02);
        assert.equal(ask(90, 0), undefined);
        assert.equal(ask(90, 2), undefined);
        assert.equal(ask(150, 0), undefined);
        assert.ok(ask(150, 2) !== undefined);
        assert.ok(ask(300, 0) !== undefined);
    }
});

test("no program is refused while engines report that half of their slots are free (guards against refusals for delays that the engines do not cause)", () => {
    const ask = (occupancy: number) =>
        decideAdmission({ occupancy, excessLatency: 5_000, baselineLatency: 300, targetLatency: 250, priority: 2 },
            () => 0);
    assert.equal(ask(0), undefined);
    assert.equal(ask(0.49), undefined);
    assert.ok(ask(0.5) !== undefined);
});

test("after a burst, programs finish on time again (guards against engines that stay full after a burst)", context => {
    const seeds = [1, 2, 3];
    const without = seeds.map(seed => simulateBurst({ admissionControl: false }, seed).onTimeAfterBurst);
    const withAdmission = seeds.map(seed => simulateBurst({ admissionControl: true }, seed).onTimeAfterBurst);
    context.diagnostic(
        `on time after the burst: ${withAdmission.join(", ")}; without admission: ${without.join(", ")}`,
    );
    withAdmission.forEach((share, index) => assert.ok(share > without[index]!));
    assert.ok(Math.min(...withAdmission) >= 0.9);
});

/** A burst at a large site: many gateways with few calls each, and programs with little slack. */
const largeLoad = { engines: 49, slots: 8, baseRate: 0.11, burstRate: 0.6, burstFrom: 2_000, burstTo: 6_000,
    lastArrival: 14_000, turns: 4, pause: 60, queueTimeout: 3_000, gateways: 195, maxStretch: 1.5 };

test("with admission control, more programs finish on time in a burst beyond the engines' capacity (guards against gateways that refuse nothing because they see too few calls)", context => {
    const seeds = [1, 2, 3];
    const without = seeds.map(seed => simulateBurst({ admissionControl: false, load: largeLoad }, seed).onTime);
    const withAdmission = seeds.map(seed => simulateBurst({ admissionControl: true, load: largeLoad }, seed).onTime);
    context.diagnostic(`on time: ${withAdmission.join(", ")}; without admission: ${without.join(", ")}`);
    withAdmission.forEach((share, index) => assert.ok(share > without[index]!));
});

/** The large site between bursts: a few engines are slow at any time, and answers differ in length. */
const steadyLoad = { ...largeLoad, burstRate: largeLoad.baseRate, slowEngineShare: 0.15, batchSlowdown: 0.3,
    eventCountSpread: 0.6 };

test("without a burst, at most 2% of first turns are refused (guards against refusals caused by a few calls at a slow engine)", context => {
    const results = [1, 2, 3].map(seed => simulateBurst({ admissionControl: true, load: steadyLoad }, seed));
    context.diagnostic(`first turns refused: ${results.map(({ refused }) => refused).join(", ")}`);
    results.forEach(({ refused }) => assert.ok(refused <= 0.02));
});
