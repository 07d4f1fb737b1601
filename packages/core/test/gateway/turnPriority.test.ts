import assert from "node:assert/strict";
import { test } from "node:test";
import { countPrecedingTurns, isFirstTurn, turnPriority } from "../../src/gateway/index.ts";
import { simulateBurst } from "./burst.ts";

const part = (id: string) => ({ id, tokens: 100 });

test("a turn is recognised as the first of its program by its previous turn and its parts (guards against admission control that refuses running programs)", () => {
    assert.equal(isFirstTurn({ previousTurn: undefined, parts: [part("shared"), part("own")] }), true);
    assert.equal(isFirstTurn({ previousTurn: "t1", parts: [part("shared"), part("own")] }), false);
    assert.equal(isFirstTurn({ previousTurn: undefined, parts: ["a", "b", "c"].map(part) }), false);
});

test("earlier turns are counted from the history, the parts or the previous turn (guards against running programs that queue like new ones)", () => {
    const first = { previousTurn: undefined, parts: [part("shared"), part("own")] };
    assert.equal(countPrecedingTurns(first, 0), 0);
    assert.equal(countPrecedingTurns({ ...first, previousTurn: "t1" }, 0), 1);
    assert.equal(countPrecedingTurns({ ...first, previousTurn: "t4" }, 4), 4);
    assert.equal(countPrecedingTurns({ ...first, parts: ["a", "b", "c", "d"].map(part) }, 0), 2);
});

test("a turn of a more urgent route goes first, whatever the number of earlier turns (guards against urgent programs queued behind less urgent ones)", () => {
    for (const [urgent, other] of [[0, 1], [1, 2], [0, 2]] as const) {
        assert.ok(turnPriority(urgent, 0) < turnPriority(other, 100));
    }
    const all = [-1, 0, 0.5, 1, 2, 3, 50].flatMap(route => [0, 1, 2, 3, 100].map(turns => turnPriority(route, turns)));
    assert.deepEqual([Math.min(...all), Math.max(...all)], [0, 9]);
});

/** Engines that are full for seconds, and programs of five turns with little slack. */
const load = { engines: 25, slots: 8, baseRate: 0.055, burstRate: 0.16, burstFrom: 2_000, burstTo: 6_000,
    lastArrival: 12_000, pause: 60, queueTimeout: 3_000, gateways: 100, maxStretch: 1.6, slowEngineShare: 0.15,
    eventCountSpread: 0.6, batchSlowdown: 0.3 };

test("at full engines, more programs finish on time if nearly finished ones go first (guards against late programs whose work is wasted)", context => {
    const seeds = [1, 2, 3, 4];
    const byTwoClasses = mean(
        seeds.map(seed =>
            simulateBurst({ admissionControl: true, load, priorityOf: turns => turns === 0 ? 1 : 0 }, seed).onTime
        ),
    );
    const byPrecedingTurns = mean(seeds.map(seed => simulateBurst({ admissionControl: true, load }, seed).onTime));
    context.diagnostic(`on time: ${byPrecedingTurns}; with two priority classes: ${byTwoClasses}`);
    assert.ok(byPrecedingTurns > byTwoClasses);
});

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
