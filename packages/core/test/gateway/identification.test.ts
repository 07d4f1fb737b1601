import assert from "node:assert/strict";
import { test } from "node:test";
import { createKeyRing, scopedId, type Team, unscopedId } from "../../src/gateway/index.ts";

const team = (name: string, ...keys: string[]): Team => ({ name, keys, priority: undefined, quota: undefined });
const [north, south] = [team("north", "key-n", "shared"), team("south", "key-s", "key-s", "shared")];
const ring = createKeyRing([north, south]);

test("a call belongs to the team that holds its key (guards against work for another team)", () => {
    assert.deepEqual(ring.identify(["Bearer key-n"], false), { kind: "identified", team: north });
    assert.deepEqual(ring.identify(["bearer  key-s "], false), { kind: "identified", team: south });
});

test("a call without one valid key is rejected (guards against callers that no declaration allows)", () => {
    const reasonOf = (...authorization: string[]) => {
        const result = ring.identify(authorization, false);
        return result.kind === "rejected" ? result.reason : result.kind;
    };
    assert.equal(reasonOf(), "noKey");
    assert.equal(reasonOf("Bearer unknown"), "unknownKey");
    assert.equal(reasonOf("Bearer shared"), "unknownKey", "a key of two teams names neither");
    assert.equal(reasonOf("Bearer key-n", "Bearer key-n"), "malformedKey", "two keys");
    for (const spoiled of ["key-n", "Basic key-n", "Bearer", "Bearer key-n, Bearer key-s", "Bearer key-n x", ""]) {
        assert.notEqual(reasonOf(spoiled), "identified", spoiled);
    }
});

test("a public route takes every call, and a known key still names the team (guards against needless refusals)", () => {
    assert.deepEqual(ring.identify([], true), { kind: "identified", team: undefined });
    assert.deepEqual(ring.identify(["Bearer unknown"], true), { kind: "identified", team: undefined });
    assert.deepEqual(ring.identify(["Bearer key-n"], true), { kind: "identified", team: north });
});

test("without teams no key is needed (guards against refusals by declarations without teams)", () => {
    assert.deepEqual(createKeyRing(undefined).identify([], false), { kind: "notNeeded" });
    assert.equal(createKeyRing([]).identify(["Bearer key-n"], false).kind, "rejected");
});

test("no two scopes share the key of an id (guards against a turn that another team continues)", () => {
    const scopes = ["", "a", "a@b", "a%40b", "b/001"];
    const ids = ["1", "a@1", "@1", "b@1", "a%40b@1"];
    const scoped = scopes.flatMap(scope => ids.map(id => scopedId(scope, id)));
    assert.equal(new Set(scoped).size, scoped.length);
    assert.equal(scopedId(undefined, "1"), "1");
    ids.map(unscopedId).forEach(id => assert.ok(id === undefined || !scoped.includes(id)));
});
