import assert from "node:assert/strict";
import { test } from "node:test";
import { refuseBeginning } from "../../src/gateway/index.ts";
import { playBurst } from "./burst.ts";

test("a program begins while places are free, and is told when to come back else (guards against a refusal with free places)", () => {
    const ask = (occupancy: number | undefined, random: number) =>
        refuseBeginning({ occupancy, delay: 0, callTime: 300, target: 250, priority: 0 }, () => random);
    assert.equal(ask(undefined, 0), undefined);
    assert.equal(ask(1, 0), undefined);
    assert.ok(ask(1.2, 0)! >= 150);
    assert.equal(ask(1.2, 0.9), undefined);
    assert.ok(ask(5, 0.99)! <= 1_250);
});

test("calls that take long refuse programs too, the less urgent ones first (guards against engines that slow down long before their places are taken)", () => {
    const ask = (delay: number, priority: number) =>
        refuseBeginning({ occupancy: 0.3, delay, callTime: 300, target: 250, priority }, () => 0.02);
    assert.equal(ask(90, 0), undefined);
    assert.equal(ask(90, 2), undefined);
    assert.equal(ask(150, 0), undefined);
    assert.ok(ask(150, 2) !== undefined);
    assert.ok(ask(300, 0) !== undefined);
});

test("after a burst programs end in time again (guards against engines that a burst fills for good)", context => {
    const seeds = [1, 2, 3];
    const without = seeds.map(seed => playBurst({ admits: false }, seed).inTime);
    const withAdmission = seeds.map(seed => playBurst({ admits: true }, seed).inTime);
    context.diagnostic(
        `in time after the burst: ${withAdmission.join(", ")}; without admission: ${without.join(", ")}`,
    );
    withAdmission.forEach((share, index) => assert.ok(share > without[index]!));
    assert.ok(Math.min(...withAdmission) >= 0.9);
});

/** The burst of the large site's day: many gateways, each with few calls, and programs that have little time to wait. */
const largeLoad = { engines: 49, slots: 8, usualRate: 0.11, burstRate: 0.6, burstFrom: 2_000, burstTo: 6_000,
    lastArrival: 14_000, turns: 4, pause: 60, patience: 3_000, gateways: 195, aim: 1.5 };

test("in a burst over what engines carry more programs end in time (guards against gateways that know too little to refuse)", context => {
    const seeds = [1, 2, 3];
    const without = seeds.map(seed => playBurst({ admits: false, load: largeLoad }, seed).inTimeOfAll);
    const withAdmission = seeds.map(seed => playBurst({ admits: true, load: largeLoad }, seed).inTimeOfAll);
    context.diagnostic(`in time: ${withAdmission.join(", ")}; without admission: ${without.join(", ")}`);
    withAdmission.forEach((share, index) => assert.ok(share > without[index]!));
});

/** The large site between its bursts: a few engines are slow at any time, and answers differ in length. */
const calmLoad = { ...largeLoad, burstRate: largeLoad.usualRate, noisyShare: 0.15, batchSlowdown: 0.3,
    sizeSpread: 0.6 };

test("without a burst hardly any program is refused (guards against refusals for a few calls at a slow engine)", context => {
    const results = [1, 2, 3].map(seed => playBurst({ admits: true, load: calmLoad }, seed));
    context.diagnostic(`first turns refused: ${results.map(({ refused }) => refused).join(", ")}`);
    results.forEach(({ refused }) => assert.ok(refused <= 0.02));
});
