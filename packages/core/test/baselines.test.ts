import assert from "node:assert/strict";
import { test } from "node:test";
import { createPolicy, createRandom, type Engine, type Job, policyNames } from "../src/index.ts";

const engines: Engine[] = ["a", "b", "c"].map(name => ({ name, dataCentre: "x", models: ["m"], leaving: false }));

function job(id: string, change: Partial<Job> = {}): Job {
    return { id, plan: "p", program: `p/${id}`, root: `p/${id}`, model: "m", promptTokens: 10, newTokens: 10,
        maxTokens: 10, firstCall: true, repeatable: true, excluded: [], ...change };
}

function createWithEngines(name: (typeof policyNames)[number]) {
    const policy = createPolicy(name, { random: createRandom(1) });
    policy.setEngines(engines, 0);
    return policy;
}

test("leastConnections chooses the fewest calls in flight (guards against ignoring running calls)", () => {
    const policy = createWithEngines("leastConnections");
    const placeJob = (id: string) => {
        assert.equal(policy.submit(job(id), 0), undefined);
        return policy.nextAssignments(0)[0]!.engine;
    };
    const firstEngines = [placeJob("1"), placeJob("2"), placeJob("3")];
    assert.equal(new Set(firstEngines).size, 3);
    policy.finish("2", { outcome: "done", promptTokens: 10, cachedTokens: 0, tokens: 5 }, 1);
    assert.equal(placeJob("4"), firstEngines[1]);
});

test("consistentHash keeps a program on one engine (guards against a hash that moves programs between engines)", () => {
    const policy = createWithEngines("consistentHash");
    const chosen = ["1", "2", "3"].map(id => {
        policy.submit(job(id, { program: "p/same" }), 0);
        return policy.nextAssignments(0)[0]!.engine;
    });
    assert.equal(new Set(chosen).size, 1);
    assert.deepEqual(policy.endProgram("p/same", 0), [chosen[0]]);
});

test("every policy chooses engines that can serve the job (guards against leaving, excluded and absent ones)", () => {
    for (const name of policyNames) {
        const policy = createWithEngines(name);
        policy.setEngines([{ ...engines[0]!, leaving: true }, engines[1]!, engines[2]!], 0);
        assert.equal(policy.submit(job("1", { excluded: ["b"] }), 0), undefined);
        assert.deepEqual(policy.nextAssignments(0).map(assignment => assignment.engine), ["c"]);
        assert.equal(policy.submit(job("2", { excluded: ["b", "c"] }), 0)?.name, "upstream_missing");
        assert.equal(policy.submit(job("3", { model: "other" }), 0)?.name, "upstream_missing");
    }
});
