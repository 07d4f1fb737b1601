import assert from "node:assert/strict";
import { test } from "node:test";
import { committedTokens, emptyLedger, findGrant, renewGrant, type TokenLedger } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";

const request = { holder: "a", serial: 1, used: 0, needed: 60, spare: 0, budget: 100 };

test("grants count in full until they are settled (guards against parallel turns that overspend a budget)", () => {
    const first = renewGrant(emptyLedger, request)!;
    assert.equal(renewGrant(first, { ...request, holder: "b" }), undefined);
    const settled = renewGrant(first, { ...request, serial: 2, used: 20, needed: 0 })!;
    assert.equal(settled.spent, 20);
    assert.equal(committedTokens(renewGrant(settled, { ...request, holder: "b" })!), 80);
});

test("applying a request again changes nothing (guards against a write that is applied twice)", () => {
    const once = renewGrant(emptyLedger, request)!;
    assert.equal(renewGrant(once, request), once);
    const settled = renewGrant(once, { ...request, serial: 2, used: 20, needed: 0 })!;
    assert.equal(renewGrant(settled, { ...request, serial: 2, used: 20, needed: 0 }), settled);
});

test("spare tokens are granted only while little of the budget is committed (guards against refusals although tokens are left)", () => {
    const ample = renewGrant(emptyLedger, { ...request, spare: 120, budget: 1_000 })!;
    assert.equal(findGrant(ample, "a")?.tokens, 180);
    const tight: TokenLedger = { spent: 800, grants: [] };
    assert.equal(findGrant(renewGrant(tight, { ...request, spare: 120, budget: 1_000 })!, "a")?.tokens, 60);
});

test("generated tokens never exceed the budget, whatever the order of the gateways' writes (guards against overspending)", () => {
    for (let seed = 1; seed <= 200; seed += 1) {
        assert.ok(simulateTurns(seed) <= 1_000, `seed ${seed}`);
    }
});

/** Simulates turns of three gateways under one budget, applying each write twice; returns the generated tokens. */
function simulateTurns(seed: number): number {
    const random = createRandom(seed);
    const draw = (below: number) => Math.floor(random() * below);
    let ledger = emptyLedger;
    let generated = 0;
    const holders = ["a", "b", "c"].map(holder => ({ holder, serial: 0, used: 0, granted: 0 }));
    for (let step = 0; step < 100; step += 1) {
        const gateway = holders[draw(3)]!;
        const maxTokens = 40 + draw(60);
        if (gateway.used + maxTokens > gateway.granted) {
            gateway.serial += 1;
            const grantRequest = { holder: gateway.holder, serial: gateway.serial, used: gateway.used,
                needed: maxTokens, spare: 120, budget: 1_000 };
            const next = renewGrant(ledger, grantRequest);
            if (next === undefined) {
                continue;
            }
            ledger = renewGrant(next, grantRequest)!;
            gateway.used = 0;
            gateway.granted = findGrant(ledger, gateway.holder)!.tokens;
        }
        const tokens = draw(maxTokens + 1);
        gateway.used += tokens;
        generated += tokens;
    }
    return generated;
}

test("a program can continue after gateways die with its grants (guards against refusals although the budget is not spent)", () => {
    let ledger = emptyLedger;
    for (const holder of ["dead-1", "dead-2", "dead-3"]) {
        ledger = renewGrant(ledger, { ...request, holder, needed: 60, spare: 120, budget: 600 })!;
    }
    // 180 tokens for the first holder; the others get only the 60 that they need.
    assert.equal(committedTokens(ledger), 300);
});
