import { createRandom, systemClock } from "@tamarackgauge/core";
import type { PlanLimits, Random } from "@tamarackgauge/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createBudgets } from "../src/budgets.ts";
import type { Budgets } from "../src/budgets.ts";
import { keys, leaseRow, ledgerRow } from "../src/rows.ts";
import { createFakeStore, healthy } from "./fakeTable.ts";
import type { Faults } from "./fakeTable.ts";

const seed = 20_262;
const plan = "plan";

const chance = fc.constantFrom(0, 0.1, 0.3);
const faults: fc.Arbitrary<Faults> = fc.record({ fail: chance, loseReply: chance, late: chance, slow: chance });

/** Several daemons that use one plan over one store. */
function createWorld(limits: PlanLimits, random: Random) {
    const store = createFakeStore();
    const state = { limits, used: 0, inFlight: 0, peakAtOnce: 0, atOnce: 0 };

    function start(name: string): { readonly name: string; readonly budgets: Budgets; } {
        const incarnation = `${name}-1`;
        const value = leaseRow.encode({ incarnation, transaction: "", fenced: false });
        store.rows.set(keys.lease(name), { key: keys.lease(name), value, revision: "1" });
        const budgets = createBudgets({
            table: store.connect(random),
            name,
            incarnation,
            clock: systemClock,
            limitsOf: () => state.limits,
            returnCheckInterval: 5,
        });
        return { name, budgets };
    }

    async function call(budgets: Budgets, worst: number): Promise<boolean> {
        const reservation = await budgets.reserve(plan, worst);
        if ("code" in reservation) {
            return false;
        }
        state.inFlight += worst;
        await pause(random() * 4);
        const used = Math.floor(random() * (worst + 1));
        state.inFlight -= worst;
        state.used += used;
        reservation.settle(used);
        return true;
    }

    async function runProgram(budgets: Budgets): Promise<void> {
        if (await budgets.takeSlot(plan) === undefined) {
            state.atOnce += 1;
            state.peakAtOnce = Math.max(state.peakAtOnce, state.atOnce);
            await call(budgets, 1 + Math.floor(random() * 40));
            state.atOnce -= 1;
            budgets.freeSlot(plan);
        }
    }

    return { store, state, start, call, runProgram,
        ledger: () => ledgerRow.decode(store.rows.get(keys.ledger(plan))!.value) };
}

function pause(span: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, span));
}

test("daemons together never use more than the budget nor run more programs than allowed, and every used token is counted once (guards against lost, late and conflicting ledger writes)", async () => {
    await fc.assert(
        fc.asyncProperty(faults, fc.integer(), fc.integer({ min: 1, max: 4 }), async (chances, salt, atOnce) => {
            const limits = { budgetTokens: 300, programsAtOnce: atOnce };
            const world = createWorld(limits, createRandom(salt));
            const daemons = ["d1", "d2", "d3"].map(world.start);
            world.store.faults = chances;
            await Promise.all(daemons.flatMap(({ budgets }) =>
                [1, 2, 3].map(async () => {
                    for (let round = 0; round < 6; round += 1) {
                        await world.runProgram(budgets);
                    }
                })
            ));
            world.store.faults = healthy;
            await pause(10);
            await Promise.all(daemons.map(({ budgets }) => budgets.leave()));
            assert.ok(world.state.used <= limits.budgetTokens, `used ${world.state.used}`);
            assert.ok(world.state.peakAtOnce <= atOnce, `${world.state.peakAtOnce} programs at once`);
            const { spent, stranded, holders } = world.ledger();
            assert.equal(spent, world.state.used, "spent");
            assert.equal(stranded, 0);
            assert.deepEqual(Object.values(holders).map(({ tokens, slots }) => tokens + slots), [0, 0, 0]);
        }),
        { seed, numRuns: 30, endOnFailure: true },
    );
});

test("the allotment of a dead daemon counts as spent and its slots are free (guards against a second use of tokens that a killed daemon may have used)", async () => {
    await fc.assert(
        fc.asyncProperty(faults, fc.integer(), async (chances, salt) => {
            const limits = { budgetTokens: 300, programsAtOnce: 3 };
            const world = createWorld(limits, createRandom(salt));
            const [dead, ...others] = ["d1", "d2", "d3"].map(world.start);
            world.store.faults = chances;
            const calls = Promise.all(Array.from({ length: 8 }, () => world.runProgram(dead!.budgets)));
            await pause(5);
            // The process is gone: it writes nothing more, and a successor removes its lease.
            dead!.budgets.abandon();
            await calls;
            world.store.rows.delete(keys.lease("d1"));
            await Promise.all(others.map(async ({ budgets }) => {
                for (let round = 0; round < 10; round += 1) {
                    await world.call(budgets, 30);
                }
            }));
            world.store.faults = healthy;
            await pause(10);
            assert.ok(world.state.used <= limits.budgetTokens, `used ${world.state.used}`);
            // Only a grant that falls short looks for dead holders, so the living ones use up what is left.
            await Promise.all(others.map(async ({ budgets }) => {
                while (await world.call(budgets, 30)) {
                    assert.ok(world.state.used <= limits.budgetTokens, `used ${world.state.used}`);
                }
            }));
            for (let slot = 1; slot <= limits.programsAtOnce; slot += 1) {
                assert.equal(await others[0]!.budgets.takeSlot(plan), undefined, `slot ${slot} is free`);
            }
            for (let slot = 1; slot <= limits.programsAtOnce; slot += 1) {
                others[0]!.budgets.freeSlot(plan);
            }
            await Promise.all(others.map(({ budgets }) => budgets.leave()));
            const { spent, holders } = world.ledger();
            assert.ok(spent >= world.state.used && spent <= limits.budgetTokens, `${spent} of ${world.state.used}`);
            // A write that was on its way when the lease was removed may leave an entry that holds nothing.
            const { tokens = 0, slots = 0 } = holders["d1"] ?? {};
            assert.deepEqual([tokens, slots], [0, 0]);
        }),
        { seed, numRuns: 15, endOnFailure: true },
    );
});

test("after the budget was lowered below what is spent no call gets a token, and after it was raised calls run again (guards against the use of tokens granted under the old budget)", async () => {
    const world = createWorld({ budgetTokens: 6_400, programsAtOnce: 10 }, createRandom(seed));
    const daemons = ["d1", "d2"].map(world.start);
    // Much recent use makes each daemon hold spare tokens.
    for (let round = 0; round < 5; round += 1) {
        await Promise.all(daemons.map(({ budgets }) => world.call(budgets, 100)));
    }
    const before = world.state.used;
    world.state.limits = { budgetTokens: 1, programsAtOnce: 10 };
    world.store.faults = { ...healthy, fail: 1 };
    daemons.forEach(({ budgets }) => budgets.applyLimits());
    for (let round = 0; round < 20; round += 1) {
        for (const { budgets } of daemons) {
            assert.equal(await world.call(budgets, 1), false, "refused while the store does not answer");
        }
    }
    world.store.faults = healthy;
    for (const { budgets } of daemons) {
        assert.equal(await world.call(budgets, 1), false, "refused");
    }
    assert.equal(world.state.used, before);
    world.state.limits = { budgetTokens: 6_400, programsAtOnce: 10 };
    daemons.forEach(({ budgets }) => budgets.applyLimits());
    assert.equal(await world.call(daemons[0]!.budgets, 100), true, "served again");
    await Promise.all(daemons.map(({ budgets }) => budgets.leave()));
    assert.equal(world.ledger().spent, world.state.used);
});

test("calls that are refused together cost one write (guards against a queue of updates at the end of a budget)", async () => {
    const world = createWorld({ budgetTokens: 10, programsAtOnce: 10 }, createRandom(seed));
    const { budgets } = world.start("d1");
    const before = Number(world.store.rows.get(keys.ledger(plan))?.revision ?? "0");
    const results = await Promise.all(Array.from({ length: 100 }, () => world.call(budgets, 20)));
    assert.deepEqual(results.filter(Boolean), []);
    const writes = Number(world.store.rows.get(keys.ledger(plan))?.revision ?? "0") - before;
    assert.ok(writes <= 2, `${writes} writes`);
    await budgets.leave();
});
