import assert from "node:assert/strict";
import { test } from "node:test";
import { rankRelays, UpstreamReach } from "../../src/gateway/index.ts";

test("a single upstream that cannot be reached is taken for gone, several without a contact in between for a cut (guards against detours around an upstream that has ended)", () => {
    const reach = new UpstreamReach();
    reach.recordContact(0);
    reach.recordFailure("a", 10);
    reach.recordFailure("a", 20);
    assert.equal(reach.isCutOff(5), false);
    reach.recordContact(30);
    reach.recordFailure("b", 40);
    assert.equal(reach.isCutOff(5), false);
    reach.recordFailure("a", 50);
    assert.equal(reach.isCutOff(5), true);
    reach.recordContact(60);
    assert.equal(reach.isCutOff(5), false);
});

test("a failure of a connection that was begun before the last contact shows nothing (guards against a cut that has ended and is noticed afterwards)", () => {
    const reach = new UpstreamReach();
    reach.recordContact(100);
    reach.recordFailure("a", 90);
    reach.recordFailure("b", 95);
    assert.equal(reach.isCutOff(5), false);
});

test("the only upstream out of reach is a cut, and no upstream at all is none (guards against a gateway that never looks for another way)", () => {
    const reach = new UpstreamReach();
    assert.equal(reach.isCutOff(0), false);
    reach.recordFailure("a", 10);
    assert.equal(reach.isCutOff(1), true);
});

test("a check is due when calls have been silent for a while, not after each other at once (guards against connections opened all the time while upstreams are slow)", () => {
    const reach = new UpstreamReach();
    reach.recordContact(1_000);
    assert.ok(reach.timeUntilCheck(900, 1_100) > 0);
    assert.ok(reach.timeUntilCheck(1_300, 1_500) > 0);
    assert.ok(reach.timeUntilCheck(900, 1_500) <= 0);
    reach.recordCheck(1_500);
    assert.ok(reach.timeUntilCheck(1_400, 2_500) > 0);
    assert.ok(reach.timeUntilCheck(1_400, 4_000) <= 0);
});

test("gateways of the own data centre come first, then those of the upstream's (guards against traffic that crosses data centres twice)", () => {
    const candidates = ["c", "b", "a", "b", "a"].map((dataCentre, index) => ({ name: `g${index}`, dataCentre }));
    const ranked = rankRelays(candidates, "a", "b", Math.random);
    assert.deepEqual(ranked.map(({ dataCentre }) => dataCentre), ["a", "a", "b", "b", "c"]);
});
