import assert from "node:assert/strict";
import { test } from "node:test";
import { beginTurn, beginWrite, canReserve, confirmWrite, createTokenAccount, endTurn, isSettled, limitGrant, reconcile,
    recordUncertainWrite, returnTokens } from "../../src/gateway/index.ts";

/** Creates an account with a grant of 100 tokens. */
function accountWithGrant() {
    const account = createTokenAccount();
    confirmWrite(account, beginWrite(account, 1), 100);
    return account;
}

test("of two unanswered writes, the one that was applied counts once (guards against tokens settled twice)", () => {
    const account = accountWithGrant();
    beginTurn(account, 40);
    endTurn(account, 40, 30);
    recordUncertainWrite(account, beginWrite(account, 2));
    recordUncertainWrite(account, beginWrite(account, 3));
    const next = beginWrite(account, 4);
    reconcile(account, next, { holder: "a", serial: 2, tokens: 60 });
    assert.equal(next.used, 0);
    assert.equal(account.used, 0);
    assert.equal(account.granted, 60);
});

test("tokens that an unanswered write returns are not assigned to turns (guards against using tokens that others may have)", () => {
    const account = accountWithGrant();
    const write = beginWrite(account, 2);
    limitGrant(account, 0);
    recordUncertainWrite(account, write);
    assert.ok(!canReserve(account, 1));
    assert.ok(!isSettled(account));
});

test("returned tokens can be used again (guards against tokens lost by loans)", () => {
    const account = accountWithGrant();
    beginTurn(account, 100);
    endTurn(account, 100, 100);
    assert.ok(!canReserve(account, 1));
    returnTokens(account, 70);
    assert.ok(canReserve(account, 70));
    assert.ok(!canReserve(account, 71));
});
