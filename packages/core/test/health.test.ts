import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HealthTracker } from "../src/policy/health.ts";

const names = ["a", "b", "c", "d", "e", "f"];

function createTracker(): HealthTracker {
    const health = new HealthTracker();
    health.setEngines(names);
    names.forEach(name => health.recordFirstToken(name, 0));
    return health;
}

/** Records a token of each engine every 20 ms, times the engine's factor, between the two times. */
function generateTokens(health: HealthTracker, from: number, to: number,
    factors: Readonly<Record<string, number>>): void {
    for (let now = from; now < to; now += 10) {
        for (const name of names) {
            const tokenMs = 20 * (factors[name] ?? 1);
            if (now % tokenMs === 0) {
                health.recordTokenTime(name, tokenMs, now);
            }
        }
    }
}

const ejectedEngines = (health: HealthTracker, now: number) => names.filter(name => health.isEjected(name, now));

test("an engine with slow tokens is ejected (guards against slow engines that only load reports reveal)", () => {
    const health = createTracker();
    generateTokens(health, 0, 1_000, {});
    assert.deepEqual(ejectedEngines(health, 1_000), []);
    generateTokens(health, 1_000, 2_500, { b: 5 });
    assert.deepEqual(ejectedEngines(health, 2_500), ["b"]);
});

test("an engine without tokens in a running call is ejected (guards against engines that hang during a call)", () => {
    const health = createTracker();
    generateTokens(health, 0, 1_000, {});
    generateTokens(health, 1_000, 1_400, { c: 1_000 });
    assert.deepEqual(ejectedEngines(health, 1_400), ["c"]);
});

test("no engine is ejected when all are equally slow (guards against ejection by absolute speed)", () => {
    const health = createTracker();
    generateTokens(health, 0, 1_000, {});
    generateTokens(health, 1_000, 3_000, Object.fromEntries(names.map(name => [name, 5])));
    assert.deepEqual(ejectedEngines(health, 3_000), []);
});

test("successful probes readmit an ejected engine (guards against an engine that stays ejected for ever)", () => {
    const health = createTracker();
    generateTokens(health, 0, 1_000, {});
    generateTokens(health, 1_000, 2_500, { b: 5 });
    health.recordEnd("b");
    generateTokens(health, 2_500, 2_600, { b: 1_000 });
    assert.equal(health.isEjected("b", 2_600), true);
    generateTokens(health, 2_600, 3_700, { b: 1_000 });
    assert.equal(health.isEjected("b", 3_700), false);
    health.recordDispatch("b", 3_700);
    generateTokens(health, 3_700, 3_800, { b: 1_000 });
    assert.equal(health.isEjected("b", 3_800), true);
    health.recordFirstToken("b", 3_800);
    generateTokens(health, 3_800, 4_600, {});
    assert.deepEqual(ejectedEngines(health, 4_600), []);
});

test("at most a third of a pool is ejected (guards against overloading the rest of the pool)", () => {
    const factor = fc.constantFrom(1, 2, 5, 10);
    fc.assert(
        fc.property(fc.array(factor, { minLength: 6, maxLength: 6 }), fc.array(fc.nat(5), { maxLength: 6 }),
            (factors, failed) => {
                const health = createTracker();
                generateTokens(health, 0, 1_000, {});
                generateTokens(health, 1_000, 3_000,
                    Object.fromEntries(names.map((name, index) => [name, factors[index]!])));
                failed.forEach(index => health.recordFailure(names[index]!));
                assert.ok(ejectedEngines(health, 3_050).length <= 2);
            }),
        { seed: 12, numRuns: 50 },
    );
});
