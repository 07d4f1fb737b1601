import type { NamedLimit } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { test } from "node:test";
import { findLimitExcesses } from "../bench/rateLimitJudge.ts";

/** Times of arrivals at a steady rate, in ms. */
function steadily(perSecond: number, from: number, to: number): readonly number[] {
    return Array.from({ length: Math.floor((to - from) * perSecond / 1_000) },
        (_, index) => from + index * 1_000 / perSecond);
}

const namedAt = (at: number, requestsPerSecond: number | undefined): NamedLimit => ({ at, requestsPerSecond });

test("one request more than a window allows is found, and none less (guards against a judge that never or always objects)", () => {
    const limits = [namedAt(0, 1)];
    const burst = (count: number) => Array.from({ length: count }, (_, index) => 5_000 + index * 300);
    assert.deepEqual(findLimitExcesses(burst(11), limits), []);
    assert.deepEqual(findLimitExcesses(burst(12), limits), [{ from: 5_000, requests: 12, allowed: 11 }]);
    assert.deepEqual(findLimitExcesses(Array<number>(12).fill(5_000), limits), [
        { from: 5_000, requests: 12, allowed: 11 },
    ]);
    // The last one arrives as the window of the first one ends.
    assert.deepEqual(findLimitExcesses([...burst(11), 9_000], limits), []);
    assert.deepEqual(findLimitExcesses(burst(40), []), []);
});

test("a limit holds from 3 s after it is first named (guards against verdicts on requests that no gateway could hold back)", () => {
    const limits = [namedAt(1_000, 2)];
    assert.deepEqual(findLimitExcesses(steadily(50, 0, 4_000), limits), []);
    assert.equal(findLimitExcesses(steadily(50, 0, 5_000), limits)[0]?.from, 4_000);
    assert.deepEqual(findLimitExcesses(steadily(4, 4_000, 30_000), limits), []);
    assert.equal(findLimitExcesses(steadily(5, 4_000, 30_000), limits).length, 6);
});

test("a window is judged by the largest limit in it, and not while there is none (guards against false verdicts around a change)", () => {
    const lowered = [namedAt(0, 10), namedAt(10_000, 1)];
    assert.deepEqual(findLimitExcesses(steadily(14, 4_000, 10_500), lowered), []);
    assert.equal(findLimitExcesses(steadily(14, 4_000, 11_700), lowered)[0]?.allowed, 11);
    const raised = [namedAt(0, 1), namedAt(10_000, 10)];
    assert.deepEqual(findLimitExcesses(steadily(14, 10_000, 30_000), raised), []);
    assert.equal(findLimitExcesses(steadily(14, 9_000, 20_000), raised)[0]?.from, 6_000);
    const ended = [namedAt(0, 1), namedAt(10_000, undefined), namedAt(20_000, 1)];
    assert.deepEqual(findLimitExcesses(steadily(100, 10_000, 20_500), ended), []);
    assert.deepEqual(findLimitExcesses(steadily(100, 10_000, 20_700), ended), [
        { from: 20_500, requests: 20, allowed: 11 },
    ]);
});

test("a limit of 0 allows a few requests by which its end is learned (guards against a judge that expects silence)", () => {
    assert.deepEqual(findLimitExcesses(steadily(1.25, 3_000, 30_000), [namedAt(0, 0)]), []);
    assert.deepEqual(findLimitExcesses(steadily(1.6, 3_000, 30_000), [namedAt(0, 0)])[0]?.allowed, 5);
});
