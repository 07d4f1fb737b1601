import assert from "node:assert/strict";
import { test } from "node:test";
import { committedTokens, emptyLedger, reserveTokens, settleTokens } from "../../src/gateway/index.ts";

test("turns under way count at their most (guards against parallel turns that overspend a budget)", () => {
    const first = reserveTokens(emptyLedger, { id: "a", most: 60 }, 100)!;
    assert.equal(reserveTokens(first, { id: "b", most: 60 }, 100), undefined);
    const settled = settleTokens(first, "a", 20);
    assert.equal(committedTokens(reserveTokens(settled, { id: "b", most: 60 }, 100)!), 80);
});

test("reserving and settling again changes nothing (guards against a write applied twice)", () => {
    const once = reserveTokens(emptyLedger, { id: "a", most: 60 }, 100)!;
    assert.equal(reserveTokens(once, { id: "a", most: 60 }, 100), once);
    const settled = settleTokens(once, "a", 20);
    assert.equal(settleTokens(settled, "a", 20), settled);
});
