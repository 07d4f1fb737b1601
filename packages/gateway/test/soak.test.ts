import { createRandom } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "../bench/soak.ts";
import { startSoakFleet } from "../bench/soakFleet.ts";
import { findLimitViolations, findViolations, type SoakCall, type SoakOutcome } from "../bench/soakJudge.ts";
import { planFaults, planLimits } from "../bench/soakPlan.ts";
import { waitUntilProcessReady } from "./gatewayProcess.ts";
import { waitUntil } from "./harness.ts";

const toolCall: SoakCall = { id: "c1", turn: undefined, expected: /^ok$/ };
const turnCall: SoakCall = { id: "t2", turn: { program: "p", budget: 40, previousTurns: ["t1"] }, expected: /^ok$/ };
const answer = (status: number, body = "ok", whole = true) => ({ status, headers: {}, body, whole });
const outcome = (changes: Partial<SoakOutcome>): SoakOutcome => ({ call: toolCall, answer: answer(200), durationMs: 10,
    disturbed: false, ...changes });
const execution = { id: "c1", body: "x" };
const historyOfT1 = `input of t1;${[1, 2, 3, 4, 5].map(event => `event ${event} of t1\n`).join("")}`;

test("each violated invariant is reported, and nothing else (guards against a soak that cannot fail)", () => {
    const violatedInvariants = (outcomes: SoakOutcome[], executions: { id: string; body: string; }[]) =>
        findViolations(outcomes, executions).map(({ invariant }) => invariant);
    assert.deepEqual(violatedInvariants([outcome({})], [execution]), []);
    assert.deepEqual(violatedInvariants([outcome({})], [execution, execution]), ["a call runs at most once"]);
    assert.deepEqual(violatedInvariants([outcome({ answer: answer(503) })], []), []);
    assert.deepEqual(violatedInvariants([outcome({ answer: answer(503) })], [execution]), [
        "a refused call has not run",
    ]);
    assert.deepEqual(violatedInvariants([outcome({ answer: answer(200, "another") })], [execution]), [
        "an answer is complete and belongs to its call",
    ]);
    assert.deepEqual(violatedInvariants([outcome({ answer: answer(200, "o", false) })], [execution]), []);
    assert.deepEqual(violatedInvariants([outcome({ call: turnCall, answer: answer(404) })], []), [
        "an answered turn is kept",
    ]);
    assert.deepEqual(
        violatedInvariants([outcome({ call: turnCall })], [{ id: "t2", body: `${historyOfT1}input of t2;` }]),
        [],
    );
    assert.deepEqual(violatedInvariants([outcome({ call: turnCall })], [{ id: "t2", body: "input of t2;" }]), [
        "an engine receives the program's history",
    ]);
    const overspentTurn = outcome({ call: { ...turnCall, expected: /^/ },
        answer: answer(200, "data: event 1\n\n".repeat(11)) });
    assert.deepEqual(violatedInvariants([overspentTurn], []), ["a budget is not exceeded"]);
    assert.deepEqual(
        violatedInvariants([outcome({ call: turnCall, answer: answer(402) })], [{ id: "t2",
            body: `${historyOfT1}input of t2;` }]),
        ["a refused call has not run"],
    );
    assert.deepEqual(violatedInvariants([outcome({ durationMs: 9_000 })], [execution]), [
        "a call is answered before its time limit",
    ]);
    assert.deepEqual(violatedInvariants([outcome({ answer: undefined })], [execution]), [
        "a call that has run gets an answer",
    ]);
    assert.deepEqual(
        violatedInvariants([outcome({ answer: undefined, durationMs: 9_000, disturbed: true })], [execution]),
        [],
    );
});

test("a seed always produces the same faults (guards against failures that cannot be reproduced)", () => {
    const plan = (seed: number) => planFaults(30_000, 9, createRandom(seed));
    assert.deepEqual(plan(7), plan(7));
    assert.notDeepEqual(plan(7), plan(8));
    assert.ok(plan(7).every(({ startMs, durationMs }) => startMs + durationMs <= 26_000));
});

test("a process that ends by itself is reported with its log and started anew (guards against an end that no judge sees)", async () => {
    await using fleet = await startSoakFleet(1);
    const [gateway] = fleet.gateways;
    const killed = gateway!.process;
    await waitUntil(() => killed.output().includes("gateway.started"), "its log is written");
    killed.child.kill("SIGKILL");
    await waitUntil(() => gateway!.process !== killed, "it is started anew");
    await waitUntilProcessReady(gateway!);
    assert.equal(fleet.unexpectedExits().length, 1);
    assert.match(fleet.unexpectedExits()[0]!, /^g0 ended with SIGKILL\n.*"event":"gateway.started"/s);
});

test("an upstream that gets more than its limit allows is reported, requests of interrupted gateways aside (guards against a soak that no limit can fail)", () => {
    const arrivals = Array.from({ length: 20 }, (_, index) => ({ id: `c${index}`, at: 5_000 + index }));
    const upstream = { id: "u", arrivals, namedLimits: [{ at: 0, requestsPerSecond: 1 }] };
    assert.deepEqual(findLimitViolations([upstream], () => false).map(({ call }) => call), ["u"]);
    assert.deepEqual(findLimitViolations([upstream], ({ at }) => at >= 5_011), []);
});

test("the limits of an upstream do not overlap and end before the soak (guards against a limit that hides another)", () => {
    for (let seed = 0; seed < 200; seed += 1) {
        const limits = planLimits(40_000, 3, createRandom(seed));
        limits.forEach(({ target, startMs, durationMs }, index) => {
            const next = limits[index + 1];
            assert.ok(durationMs >= 5_000 && startMs + durationMs <= 36_000);
            assert.ok(next === undefined || next.target !== target || startMs + durationMs <= next.startMs);
        });
    }
    assert.deepEqual(planLimits(40_000, 3, createRandom(7)), planLimits(40_000, 3, createRandom(7)));
});

test("the invariants hold while faults overlap (guards against lost or wrong answers during failures)", async context => {
    const { plan, calls, completeAnswers, violations, logLines } = await runSoak({
        seed: 3,
        durationMs: 14_000,
        gateways: 2,
        callers: 6,
        memoryMb: 220,
    });
    context.diagnostic(`${plan.length} faults, ${calls} calls, ${completeAnswers} answered`);
    assert.deepEqual(violations, [], logLines.join("\n"));
    assert.ok(completeAnswers > 100);
});
