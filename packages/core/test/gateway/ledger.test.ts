import assert from "node:assert/strict";
import { test } from "node:test";
import { committedTokens, emptyLedger, findGrant, renewGrant, type TokenLedger } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";

const request = { holder: "a", serial: 1, used: 0, needed: 60, spare: 0, budget: 100 };

test("grants count at their most (guards against parallel turns that overspend a budget)", () => {
    const first = renewGrant(emptyLedger, request)!;
    assert.equal(renewGrant(first, { ...request, holder: "b" }), undefined);
    const settled = renewGrant(first, { ...request, serial: 2, used: 20, needed: 0 })!;
    assert.equal(settled.spent, 20);
    assert.equal(committedTokens(renewGrant(settled, { ...request, holder: "b" })!), 80);
});

test("a request that was applied changes nothing (guards against a write applied twice)", () => {
    const once = renewGrant(emptyLedger, request)!;
    assert.equal(renewGrant(once, request), once);
    const settled = renewGrant(once, { ...request, serial: 2, used: 20, needed: 0 })!;
    assert.equal(renewGrant(settled, { ...request, serial: 2, used: 20, needed: 0 }), settled);
});

test("tokens are taken ahead only while the budget is ample (guards against refusals of what is left)", () => {
    const ample = renewGrant(emptyLedger, { ...request, spare: 120, budget: 1_000 })!;
    assert.equal(findGrant(ample, "a")?.tokens, 180);
    const tight: TokenLedger = { spent: 800, grants: [] };
    assert.equal(findGrant(renewGrant(tight, { ...request, spare: 120, budget: 1_000 })!, "a")?.tokens, 60);
});

test("generated tokens never exceed the budget, whatever the order of gateways (guards against overspending)", () => {
    for (let seed = 1; seed <= 200; seed += 1) {
        assert.ok(simulateTurns(seed) <= 1_000, `seed ${seed}`);
    }
});

/** Plays turns of three gateways under one budget, with writes that are repeated; gives the tokens generated. */
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

test("a program outlives gateways that die with its grants (guards against refusals of a budget that is not spent)", () => {
    let ledger = emptyLedger;
    for (const holder of ["dead-1", "dead-2", "dead-3"]) {
        ledger = renewGrant(ledger, { ...request, holder, needed: 60, spare: 120, budget: 600 })!;
    }
    // 180 tokens of the first, then only what each needed.
    assert.equal(committedTokens(ledger), 300);
});
