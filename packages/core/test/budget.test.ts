import { applyLedgerStep, committedTokens, emptyLedger, grantedSlots } from "@tamarackgauge/core";
import type { Ledger } from "@tamarackgauge/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";

const seed = 20_261;
const holderNames = ["d1", "d2", "d3"];

const actionArbitrary = fc.record({
    type: fc.constantFrom("update", "update", "update", "repeat", "restart", "bury"),
    holder: fc.constantFrom(...holderNames),
    /** Fraction of the granted tokens that the holder has used. */
    usedShare: fc.double({ min: 0, max: 1, noNaN: true }),
    tokens: fc.nat(200),
    slots: fc.nat(5),
    budgetTokens: fc.constantFrom(100, 300, 300, 500),
    programsAtOnce: fc.constantFrom(2, 4, 4, 6),
});

type Action = typeof actionArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

test("no sequence of updates, repeated updates, restarts and failures grants more than the limits (guards against a token or a slot that is granted twice)", () => {
    fc.assert(
        fc.property(fc.array(actionArbitrary, { maxLength: 60 }), actions => {
            const state = { row: emptyLedger, usedTokens: 0, incarnationNumbers: new Map<string, number>(), serial: 0 };
            for (const action of actions) {
                const before = state.row;
                applyAction(state, action);
                const { row } = state;
                assert.ok(committedTokens(row) <= Math.max(action.budgetTokens, committedTokens(before)), "tokens");
                assert.ok(grantedSlots(row) <= Math.max(action.programsAtOnce, grantedSlots(before)), "slots");
                assert.ok(row.spent - row.stranded === state.usedTokens,
                    "spent tokens are the used plus the stranded ones");
            }
        }),
        { seed, numRuns: 1_000 },
    );
});

interface State {
    row: Ledger;
    usedTokens: number;
    readonly incarnationNumbers: Map<string, number>;
    serial: number;
}

function applyAction(state: State,
    { type, holder, usedShare, tokens, slots, budgetTokens, programsAtOnce }: Action): void {
    if (type === "bury") {
        state.row = applyLedgerStep(state.row, { type: "bury", holder });
        return;
    }
    const incarnationNumber = (state.incarnationNumbers.get(holder) ?? 0) + (type === "restart" ? 1 : 0);
    state.incarnationNumbers.set(holder, incarnationNumber);
    const incarnation = `${holder}-${incarnationNumber}`;
    const entry = state.row.holders[holder];
    const currentEntry = entry?.incarnation === incarnation ? entry : undefined;
    // A repeated update has a serial number that the row already contains.
    const repeated = type === "repeat" && currentEntry !== undefined;
    state.serial += 1;
    const used = Math.floor((currentEntry?.tokens ?? 0) * usedShare);
    state.usedTokens += repeated ? 0 : used;
    state.row = applyLedgerStep(state.row, {
        type: "update",
        holder,
        incarnation,
        serial: repeated ? currentEntry.serial : state.serial,
        used,
        tokens,
        slots,
        limits: { budgetTokens, programsAtOnce },
    });
}
