import { applyLedger, committedTokens, emptyLedger, takenSlots } from "@tamarackgauge/core";
import type { Ledger } from "@tamarackgauge/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";

const seed = 20_261;
const names = ["d1", "d2", "d3"];

const action = fc.record({
    type: fc.constantFrom("update", "update", "update", "repeat", "restart", "bury"),
    holder: fc.constantFrom(...names),
    /** Share of what is granted that the holder has used. */
    share: fc.double({ min: 0, max: 1, noNaN: true }),
    tokens: fc.nat(200),
    slots: fc.nat(5),
    budget: fc.constantFrom(100, 300, 300, 500),
    atOnce: fc.constantFrom(2, 4, 4, 6),
});

type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

test("no order of updates, repetitions, restarts and deaths grants more than the limits (guards against a ledger that grants a token or a slot twice)", () => {
    fc.assert(
        fc.property(fc.array(action, { maxLength: 60 }), actions => {
            const state = { row: emptyLedger, used: 0, lives: new Map<string, number>(), serial: 0 };
            for (const each of actions) {
                const before = state.row;
                step(state, each);
                const { row } = state;
                assert.ok(committedTokens(row) <= Math.max(each.budget, committedTokens(before)), "tokens");
                assert.ok(takenSlots(row) <= Math.max(each.atOnce, takenSlots(before)), "slots");
                assert.ok(row.spent - row.stranded === state.used, "only what was used or stranded is spent");
            }
        }),
        { seed, numRuns: 1_000 },
    );
});

interface State {
    row: Ledger;
    used: number;
    readonly lives: Map<string, number>;
    serial: number;
}

function step(state: State, { type, holder, share, tokens, slots, budget, atOnce }: Action): void {
    if (type === "bury") {
        state.row = applyLedger(state.row, { type: "bury", holder });
        return;
    }
    const life = (state.lives.get(holder) ?? 0) + (type === "restart" ? 1 : 0);
    state.lives.set(holder, life);
    const incarnation = `${holder}-${life}`;
    const entry = state.row.holders[holder];
    const own = entry?.incarnation === incarnation ? entry : undefined;
    // A repeated update carries a serial number that the row has.
    const repeated = type === "repeat" && own !== undefined;
    state.serial += 1;
    const used = Math.floor((own?.tokens ?? 0) * share);
    state.used += repeated ? 0 : used;
    state.row = applyLedger(state.row, {
        type: "update",
        holder,
        incarnation,
        serial: repeated ? own.serial : state.serial,
        used,
        tokens,
        slots,
        limits: { budgetTokens: budget, programsAtOnce: atOnce },
    });
}
