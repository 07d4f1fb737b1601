import { createRandom } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { soak } from "../bench/soak.ts";
import { judge, type SoakCall, type SoakEnd } from "../bench/soakJudge.ts";
import { planFaults } from "../bench/soakPlan.ts";

const toolCall: SoakCall = { id: "c1", turn: undefined, expected: /^ok$/ };
const turnCall: SoakCall = { id: "t2", turn: { program: "p", budget: 40, before: ["t1"] }, expected: /^ok$/ };
const answered = (status: number, body = "ok", whole = true) => ({ status, headers: {}, body, whole });
const end = (changes: Partial<SoakEnd>): SoakEnd => ({ call: toolCall, answer: answered(200), time: 10, excused: false,
    ...changes });
const run = { id: "c1", body: "x" };
const historyOfT1 = `input of t1;${[1, 2, 3, 4, 5].map(event => `event ${event} of t1\n`).join("")}`;

test("each broken promise is found, and a kept one is not (guards against a soak that cannot fail)", () => {
    const promises = (ends: SoakEnd[], runs: { id: string; body: string; }[]) =>
        judge(ends, runs).map(({ promise }) => promise);
    assert.deepEqual(promises([end({})], [run]), []);
    assert.deepEqual(promises([end({})], [run, run]), ["runs at most once"]);
    assert.deepEqual(promises([end({ answer: answered(503) })], []), []);
    assert.deepEqual(promises([end({ answer: answered(503) })], [run]), ["a refusal is true"]);
    assert.deepEqual(promises([end({ answer: answered(200, "another") })], [run]), [
        "an answer is whole and the caller's own",
    ]);
    assert.deepEqual(promises([end({ answer: answered(200, "o", false) })], [run]), []);
    assert.deepEqual(promises([end({ call: turnCall, answer: answered(404) })], []), [
        "a turn that was answered is kept",
    ]);
    assert.deepEqual(promises([end({ call: turnCall })], [{ id: "t2", body: `${historyOfT1}input of t2;` }]), []);
    assert.deepEqual(promises([end({ call: turnCall })], [{ id: "t2", body: "input of t2;" }]), [
        "an engine reads the program's history",
    ]);
    const spent = end({ call: { ...turnCall, expected: /^/ }, answer: answered(200, "data: event 1\n\n".repeat(11)) });
    assert.deepEqual(promises([spent], []), ["a budget holds"]);
    assert.deepEqual(
        promises([end({ call: turnCall, answer: answered(402) })], [{ id: "t2", body: `${historyOfT1}input of t2;` }]),
        ["a refusal is true"],
    );
    assert.deepEqual(promises([end({ time: 9_000 })], [run]), ["a call is answered in time"]);
    assert.deepEqual(promises([end({ answer: undefined })], [run]), ["a call that has run is answered"]);
    assert.deepEqual(promises([end({ answer: undefined, time: 9_000, excused: true })], [run]), []);
});

test("a seed gives the same faults every time (guards against a failure that cannot be played again)", () => {
    const plan = (seed: number) => planFaults(30_000, 9, createRandom(seed));
    assert.deepEqual(plan(7), plan(7));
    assert.notDeepEqual(plan(7), plan(8));
    assert.ok(plan(7).every(({ at, length }) => at + length <= 26_000));
});

test("gateways keep their promises through faults that overlap (guards against answers lost or false under failure)", async context => {
    const { plan, calls, answered: whole, breaches, lines } = await soak({ seed: 3, time: 14_000, gateways: 2,
        callers: 6 });
    context.diagnostic(`${plan.length} faults, ${calls} calls, ${whole} answered`);
    assert.deepEqual(breaches, [], lines.join("\n"));
    assert.ok(whole > 100);
});
