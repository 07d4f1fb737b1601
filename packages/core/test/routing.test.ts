import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandom } from "../src/index.ts";
import { HealthTracker } from "../src/policy/health.ts";
import { PeerCounts, Router } from "../src/policy/routing.ts";
import { PendingWindow } from "../src/policy/window.ts";
import { createTestPolicy, doneResult, engines, job, runCall } from "./support.ts";

test("a program returns to the engine that caches its prefix (guards against recomputing the prefix)", () => {
    const policy = createTestPolicy(["a", "b", "c", "d"]);
    const home = runCall(policy, job("0", { program: "p/x" }), 0);
    for (let turn = 1; turn < 6; turn += 1) {
        const call = job(`${turn}`, { program: "p/x", firstCall: false, promptTokens: 550 * turn + 500 });
        assert.equal(runCall(policy, call, 1_000 * turn, doneResult({ promptTokens: 550 * turn + 500 })), home);
    }
});

test("a call with a short prefix leaves an overloaded engine (guards against unbounded cache affinity)", () => {
    const policy = createTestPolicy(["a", "b"]);
    const home = runCall(policy, job("0", { program: "p/x" }), 0);
    policy.setPeerCounts("peer", { [home]: 60 }, 200);
    policy.recordLoad(home, { running: 24, waiting: 36 }, 200);
    const call = job("1", { program: "p/x", firstCall: false, promptTokens: 600 });
    assert.notEqual(runCall(policy, call, 300), home);
});

test("evictions count unless they may predate the last call (guards against a stale view of the cache)", () => {
    const policy = createTestPolicy(["a", "b"]);
    const home = runCall(policy, job("0", { program: "p/x" }), 0, doneResult({ promptTokens: 20_000 }));
    policy.setPeerCounts("peer", { [home]: 8 }, 150);
    const next = (id: string) => job(id, { program: "p/x", firstCall: false, promptTokens: 20_100 });
    policy.recordCacheEvent(home, { kind: "evicted", program: "p/x", tokens: 20_000 }, 200);
    assert.equal(runCall(policy, next("1"), 300, doneResult({ promptTokens: 20_100 })), home);
    policy.recordCacheEvent(home, { kind: "evicted", program: "p/x", tokens: 20_000 }, 2_500);
    policy.setPeerCounts("peer", { [home]: 8 }, 2_600);
    assert.notEqual(runCall(policy, next("2"), 2_700), home);
    assert.deepEqual([...policy.endProgram("p/x", 3_000)].sort(), ["a", "b"]);
});

test("daemons with the same view spread over engines (guards against all choosing the least loaded one)", () => {
    const countByEngine = new Map<string, number>();
    for (let daemon = 0; daemon < 120; daemon += 1) {
        const router = new Router(new HealthTracker(), createRandom(daemon));
        router.setEngines(engines(..."abcdefghij"));
        router.peerCounts.set("peer", { a: 0, b: 1, c: 2, d: 3, e: 4, f: 5, g: 6, h: 7, i: 8, j: 9 }, 0);
        const name = router.choose(job("1"), undefined, 0, 0)!.engineState.engine.name;
        countByEngine.set(name, (countByEngine.get(name) ?? 0) + 1);
    }
    assert.ok(Math.max(...countByEngine.values()) <= 40, JSON.stringify([...countByEngine]));
});

test("counts of a peer are replaced and expire (guards against counting twice or counting dead peers)", () => {
    const peers = new PeerCounts();
    peers.set("d", { a: 5 }, 0);
    peers.set("d", { a: 3 }, 1_000);
    assert.equal(peers.total("a", 1_000), 3);
    assert.equal(peers.total("a", 9_000), undefined);
});

test("pending calls block only their own and higher levels (guards against long programs blocking short ones)", () => {
    const window = new PendingWindow();
    for (let index = 0; index < 4; index += 1) {
        window.add(6);
    }
    assert.deepEqual([window.hasCapacity(6), window.hasCapacity(7), window.hasCapacity(5)], [false, false, true]);
    for (let index = 0; index < 20; index += 1) {
        window.adapt(true);
    }
    window.add(0);
    assert.equal(window.hasCapacity(0), false);
    window.remove(0);
    assert.equal(window.hasCapacity(0), true);
});
