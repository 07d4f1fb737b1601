import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandom } from "../src/index.ts";
import { Admission } from "../src/policy/admission.ts";
import { createTestPolicy, doneResult, job } from "./support.ts";

/** Ten active programs, one of which ends per second, and a call that waited longer than the target. */
function createOverloaded(): Admission {
    const admission = new Admission(5_000, createRandom(3));
    for (let index = 0; index < 10; index += 1) {
        admission.recordProgramDispatched();
        admission.recordProgramDispatched();
        admission.recordProgramStarted(1_000 * index);
        admission.recordProgramEnded(1_000 * index);
    }
    admission.recordWait(4_000, 10_000);
    return admission;
}

test("new programs are refused only under overload (guards against waits that end when the caller gives up)", () => {
    const idle = new Admission(5_000, createRandom(3));
    assert.equal(idle.retryAfterMs(100, 0, 0), undefined);
    const admission = createOverloaded();
    assert.equal(admission.hasCapacity(), false);
    assert.equal(admission.retryAfterMs(1, 500, 10_000), undefined);
    assert.notEqual(admission.retryAfterMs(20, 500, 10_000), undefined);
});

test("the program limit expires without new waits (guards against refusals after an overload has ended)", () => {
    const admission = createOverloaded();
    assert.equal(admission.retryAfterMs(1, 500, 16_000), undefined);
    assert.equal(admission.hasCapacity(), true);
});

test("retry delays are spread (guards against refused callers that all retry at once)", () => {
    const admission = createOverloaded();
    const retryDelays = Array.from({ length: 100 }, () => admission.retryAfterMs(20, 500, 10_000)!);
    assert.ok(Math.max(...retryDelays) > 1.8 * Math.min(...retryDelays));
    assert.ok(new Set(retryDelays).size > 90);
});

test("the program limit recovers after overload and stays above 0 (guards against a limit that stays low)", () => {
    const admission = createOverloaded();
    for (let now = 11_000; now < 100_000; now += 1_000) {
        admission.recordWait(4_000, now);
    }
    for (let index = 0; index < 9; index += 1) {
        admission.recordProgramEnded(100_000);
    }
    assert.equal(admission.hasCapacity(), false);
    admission.recordProgramEnded(100_000);
    assert.equal(admission.hasCapacity(), true);
    admission.recordProgramDispatched();
    for (let index = 0; index < 20; index += 1) {
        admission.recordWait(10, 101_000);
    }
    assert.equal(admission.hasCapacity(), true);
});

test("retries are limited to a tenth of the requests (guards against a retry storm when engines fail)", () => {
    const policy = createTestPolicy(["a", "b"]);
    let retried = 0;
    for (let index = 0; index < 200; index += 1) {
        assert.equal(policy.submit(job(`${index}`), index), undefined);
        for (const { job: { id }, engine } of policy.nextAssignments(index)) {
            policy.finish(id, doneResult({ outcome: "failed" }), index);
            const refusal = policy.submit(job(id, { excluded: [engine] }), index);
            retried += refusal === undefined ? 1 : 0;
            assert.ok(refusal === undefined || refusal.run === "unknown");
            policy.withdraw(id, index);
        }
        policy.withdraw(`${index}`, index);
    }
    assert.ok(retried >= 10 && retried <= 30, `${retried}`);
});

test("the first call of a sub-agent passes admission (guards against refusing it as if it were a new program)", () => {
    const policy = createTestPolicy(["a"], { patienceMs: 1_000 });
    const crowd = Array.from({ length: 30 }, (_, index) => job(`${index}`));
    crowd.forEach(one => policy.submit(one, 0));
    policy.nextAssignments(0);
    assert.equal(policy.submit(job("new"), 5_000)?.name, "overloaded");
    assert.equal(policy.submit(job("agent", { root: "p/0" }), 5_000), undefined);
});
