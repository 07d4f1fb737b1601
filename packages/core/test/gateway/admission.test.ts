import assert from "node:assert/strict";
import { test } from "node:test";
import { decideAdmission } from "../../src/gateway/index.ts";
import { simulateBurst } from "./burst.ts";

test("a program begins while places are free, and is told when to come back else (guards against a refusal with free places)", () => {
    const ask = (occupancy: number | undefined, random: number) =>
        decideAdmission({ occupancy, excessLatency: 0, baselineLatency: 300, targetLatency: 250, priority: 0 }, () =>
            random);
    assert.equal(ask(undefined, 0), undefined);
    assert.equal(ask(1, 0), undefined);
    assert.ok(ask(1.2, 0)! >= 150);
    assert.equal(ask(1.2, 0.9), undefined);
    assert.ok(ask(5, 0.99)! <= 1_250);
});

test("calls that take long refuse programs too, the less urgent ones first (guards against engines that slow down long before their places are taken)", () => {
    const ask = (delay: number, priority: number) =>
        decideAdmission({ occupancy: 0.3, excessLatency: delay, baselineLatency: 300, targetLatency: 250, priority },
            () => 0.02);
    assert.equal(ask(90, 0), undefined);
    assert.equal(ask(90, 2), undefined);
    assert.equal(ask(150, 0), undefined);
    assert.ok(ask(150, 2) !== undefined);
    assert.ok(ask(300, 0) !== undefined);
});

test("after a burst programs end in time again (guards against engines that a burst fills for good)", context => {
    const seeds = [1, 2, 3];
    const without = seeds.map(seed => simulateBurst({ admissionControl: false }, seed).onTimeAfterBurst);
    const withAdmission = seeds.map(seed => simulateBurst({ admissionControl: true }, seed).onTimeAfterBurst);
    context.diagnostic(
        `in time after the burst: ${withAdmission.join(", ")}; without admission: ${without.join(", ")}`,
    );
    withAdmission.forEach((share, index) => assert.ok(share > without[index]!));
    assert.ok(Math.min(...withAdmission) >= 0.9);
});

/** The burst of the large site's day: many gateways, each with few calls, and programs that have little time to wait. */
const largeLoad = { engines: 49, slots: 8, baseRate: 0.11, burstRate: 0.6, burstFrom: 2_000, burstTo: 6_000,
    lastArrival: 14_000, turns: 4, pause: 60, queueTimeout: 3_000, gateways: 195, maxStretch: 1.5 };

test("in a burst over what engines carry more programs end in time (guards against gateways that know too little to refuse)", context => {
    const seeds = [1, 2, 3];
    const without = seeds.map(seed => simulateBurst({ admissionControl: false, load: largeLoad }, seed).onTime);
    const withAdmission = seeds.map(seed => simulateBurst({ admissionControl: true, load: largeLoad }, seed).onTime);
    context.diagnostic(`in time: ${withAdmission.join(", ")}; without admission: ${without.join(", ")}`);
    withAdmission.forEach((share, index) => assert.ok(share > without[index]!));
});

/** The large site between its bursts: a few engines are slow at any time, and answers differ in length. */
const steadyLoad = { ...largeLoad, burstRate: largeLoad.baseRate, slowEngineShare: 0.15, batchSlowdown: 0.3,
    eventCountSpread: 0.6 };

test("without a burst hardly any program is refused (guards against refusals for a few calls at a slow engine)", context => {
    const results = [1, 2, 3].map(seed => simulateBurst({ admissionControl: true, load: steadyLoad }, seed));
    context.diagnostic(`first turns refused: ${results.map(({ refused }) => refused).join(", ")}`);
    results.forEach(({ refused }) => assert.ok(refused <= 0.02));
});
