import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseUpstream, modelCosts, nextStep, PrefixCache, type SelectionCriteria,
    UpstreamState } from "../../src/gateway/index.ts";

const upstream = (id: string, dataCentre = "here", draining = false) =>
    new UpstreamState({ id, service: "s", address: "10.0.0.1", port: 80, dataCentre, slots: 12, draining,
        startedAt: 1 }, 1e5);

const defaultCriteria: SelectionCriteria = { parts: [{ id: "p", tokens: 12_000 }], promptTokens: 13_000,
    dataCentre: "here", tried: new Set(), preferred: undefined, maxPermitDelay: 0 };

const choose = (states: readonly UpstreamState[], criteria = defaultCriteria, now = 0) =>
    chooseUpstream(states, criteria, modelCosts, now, () => 0)?.upstream.entry.id;

test("an engine with the prompt in its cache is chosen until its load is too high (guards against repeated prefill of shared parts)", () => {
    const cached = upstream("cached");
    cached.cache.record(defaultCriteria.parts);
    const other = upstream("other");
    assert.equal(choose([other, cached]), "cached");
    cached.recordLoad({ running: 12, waiting: 4, slots: 12, slowness: 1 }, 0);
    assert.equal(choose([other, cached]), "other");
});

test("draining and already tried upstreams get no calls (guards against calls sent to an upstream that is shutting down)", () => {
    assert.equal(choose([upstream("leaving", "here", true)]), undefined);
    assert.equal(choose([upstream("a"), upstream("b")], { ...defaultCriteria, tried: new Set(["a"]) }), "b");
});

test("a failed upstream is suspended, but used if there is no other (guards against retries at a crashed upstream)", () => {
    const failed = upstream("failed");
    failed.recordFailure(0);
    assert.equal(choose([failed, upstream("far", "there")]), "far");
    assert.equal(choose([failed]), "failed");
    assert.equal(choose([failed, upstream("far", "there")], defaultCriteria, 10_000), "failed");
});

test("calls sent since a load report are counted, and the reported calls of others decay (guards against herding on a stale report)", () => {
    const state = upstream("a");
    state.inFlight = 2;
    state.recordLoad({ running: 5, waiting: 0, slots: 12, slowness: 1 }, 0);
    state.inFlight = 4;
    assert.equal(state.estimatedCalls(0), 7);
    assert.ok(state.estimatedCalls(10_000) < 4.1);
});

test("the least recently used parts are evicted (guards against relying on cache entries that the engine has evicted)", () => {
    const cache = new PrefixCache(30);
    cache.record([{ id: "a", tokens: 10 }, { id: "b", tokens: 10 }]);
    cache.record([{ id: "a", tokens: 10 }, { id: "c", tokens: 15 }]);
    assert.equal(cache.matchedTokens([{ id: "a", tokens: 10 }, { id: "b", tokens: 10 }]), 10);
});

test("only a call that did not run, or may run again, is sent again (guards against double execution)", () => {
    assert.equal(nextStep("atMostOnce", "unknown", 1, 4), "giveUp");
    assert.equal(nextStep("atMostOnce", "failed", 1, 4), "giveUp");
    assert.equal(nextStep("atMostOnce", "notRun", 1, 4), "sendAgain");
    assert.equal(nextStep("repeatable", "unknown", 1, 4), "sendAgain");
    assert.equal(nextStep("repeatable", "unknown", 4, 4), "giveUp");
});

test("gateways without cache knowledge choose the same engine for a part (guards against every engine prefilling every part)", () => {
    const pool = () => ["a", "b", "c", "d", "e"].map(id => upstream(id));
    const parts = Array.from({ length: 20 }, (_, index) => `part-${index}`);
    const picks = parts.map(id =>
        new Set(
            Array.from({ length: 10 }, () => choose(pool(), { ...defaultCriteria, parts: [{ id, tokens: 12_600 }] })),
        )
    );
    assert.ok(picks.every(engines => engines.size === 1));
    assert.ok(new Set(picks.flatMap(engines => [...engines])).size >= 4);
});

test("a turn goes to the engine of the previous turn, even if another gateway sent that turn (guards against repeated prefill of the history)", () => {
    const parts = [{ id: "p", tokens: 12_000 }, { id: "turn-1", tokens: 2_000 }, { id: "turn-2", tokens: 900 }];
    const pool = ["a", "b", "c", "d"].map(id => upstream(id));
    for (const { entry } of pool) {
        assert.equal(choose(pool, { ...defaultCriteria, parts, promptTokens: 14_900, preferred: entry.id }), entry.id);
    }
    pool[0]!.inFlight = 20;
    assert.notEqual(choose(pool, { ...defaultCriteria, parts, promptTokens: 14_900, preferred: "a" }), "a");
});

test("an upstream whose next permit is far off is asked for again after a second (guards against a gateway that never learns that a limit has ended)", () => {
    const limited = upstream("a");
    limited.rateLimit.record({ kind: "limited", requestsPerSecond: 0 }, { sentAt: 0, receivedAt: 0 });
    limited.recordPermit(5_000, 0);
    const chooseAt = (now: number) => choose([limited], { ...defaultCriteria, maxPermitDelay: 100 }, now);
    assert.equal(chooseAt(999), undefined);
    assert.equal(chooseAt(1_000), "a");
});

test("a call that may wait for no permit goes to an upstream without a limit (guards against a refusal beside one that takes it)", () => {
    const limited = upstream("limited");
    limited.rateLimit.record({ kind: "limited", requestsPerSecond: 1 }, { sentAt: 0, receivedAt: 0 });
    const busy = upstream("busy");
    busy.inFlight = 20;
    assert.equal(choose([limited, busy]), "limited");
    assert.equal(choose([limited, busy], { ...defaultCriteria, maxPermitDelay: -1 }), "busy");
});

test("parts without tokens, with long ids or in great number are not remembered (guards against a heap that callers fill)", () => {
    const cache = new PrefixCache(1e6);
    cache.record([{ id: "empty", tokens: 0 }]);
    cache.record([{ id: "x".repeat(10_000), tokens: 1 }]);
    assert.equal(cache.matchedTokens([{ id: "x".repeat(10_000), tokens: 1 }]), 0);
    const parts = Array.from({ length: 10_000 }, (_, index) => ({ id: `p${index}`, tokens: 1 }));
    cache.record(parts);
    assert.equal(cache.matchedTokens([parts[0]!]), 0);
    assert.equal(cache.matchedTokens([parts.at(-1)!]), 1);
});
