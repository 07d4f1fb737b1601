import { createRandom, systemClock } from "@tamarackgauge/core";
import type { PlanLimits, Random } from "@tamarackgauge/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createBudgets } from "../src/budgets.ts";
import type { Budgets } from "../src/budgets.ts";
import { keys, leaseRow, ledgerRow } from "../src/rows.ts";
import { createFakeStore, noFaults } from "./fakeTable.ts";
import type { FaultRates } from "./fakeTable.ts";

const seed = 20_262;
const plan = "plan";

const rate = fc.constantFrom(0, 0.1, 0.3);
const faultRates: fc.Arbitrary<FaultRates> = fc.record({ fail: rate, loseReply: rate, late: rate, slow: rate });

/** Several daemons that share the budget of one plan through one store. */
function createDaemonGroup(limits: PlanLimits, random: Random) {
    const store = createFakeStore();
    const state = { limits, used: 0, inFlight: 0, peakPrograms: 0, activePrograms: 0 };

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

    async function call(budgets: Budgets, maxTokens: number): Promise<boolean> {
        const reservation = await budgets.reserve(plan, maxTokens);
        if ("code" in reservation) {
            return false;
        }
        state.inFlight += maxTokens;
        await sleep(random() * 4);
        const used = Math.floor(random() * (maxTokens + 1));
        state.inFlight -= maxTokens;
        state.used += used;
        reservation.settle(used);
        return true;
    }

    async function runProgram(budgets: Budgets): Promise<void> {
        if (await budgets.takeSlot(plan) === undefined) {
            state.activePrograms += 1;
            state.peakPrograms = Math.max(state.peakPrograms, state.activePrograms);
            await call(budgets, 1 + Math.floor(random() * 40));
            state.activePrograms -= 1;
            budgets.freeSlot(plan);
        }
    }

    return { store, state, start, call, runProgram,
        ledger: () => ledgerRow.decode(store.rows.get(keys.ledger(plan))!.value) };
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

test("daemons together never exceed the budget or the limit of concurrent programs, and every used token is counted once (guards against lost, late and conflicting ledger writes)", async () => {
    await fc.assert(
        fc.asyncProperty(faultRates, fc.integer(), fc.integer({ min: 1, max: 4 }),
            async (rates, randomSeed, programsAtOnce) => {
                const limits = { budgetTokens: 300, programsAtOnce };
                const group = createDaemonGroup(limits, createRandom(randomSeed));
                const daemons = ["d1", "d2", "d3"].map(group.start);
                group.store.faults = rates;
                await Promise.all(daemons.flatMap(({ budgets }) =>
                    [1, 2, 3].map(async () => {
                        for (let round = 0; round < 6; round += 1) {
                            await group.runProgram(budgets);
                        }
                    })
                ));
                group.store.faults = noFaults;
                await sleep(10);
                await Promise.all(daemons.map(({ budgets }) => budgets.leave()));
                assert.ok(group.state.used <= limits.budgetTokens, `used ${group.state.used}`);
                assert.ok(group.state.peakPrograms <= programsAtOnce, `${group.state.peakPrograms} programs at once`);
                const { spent, stranded, holders } = group.ledger();
                assert.equal(spent, group.state.used, "spent");
                assert.equal(stranded, 0);
                assert.deepEqual(Object.values(holders).map(({ tokens, slots }) => tokens + slots), [0, 0, 0]);
            }),
        { seed, numRuns: 30, endOnFailure: true },
    );
});

test("the allotment of a failed daemon counts as spent and its slots are free (guards against a second use of tokens that a killed daemon may have used)", async () => {
    await fc.assert(
        fc.asyncProperty(faultRates, fc.integer(), async (rates, randomSeed) => {
            const limits = { budgetTokens: 300, programsAtOnce: 3 };
            const group = createDaemonGroup(limits, createRandom(randomSeed));
            const [failed, ...survivors] = ["d1", "d2", "d3"].map(group.start);
            group.store.faults = rates;
            const calls = Promise.all(Array.from({ length: 8 }, () => group.runProgram(failed!.budgets)));
            await sleep(5);
            // Simulates a killed process: it writes nothing more, and a successor deletes its lease.
            failed!.budgets.abandon();
            await calls;
            group.store.rows.delete(keys.lease("d1"));
            await Promise.all(survivors.map(async ({ budgets }) => {
                for (let round = 0; round < 10; round += 1) {
                    await group.call(budgets, 30);
                }
            }));
            group.store.faults = noFaults;
            await sleep(10);
            assert.ok(group.state.used <= limits.budgetTokens, `used ${group.state.used}`);
            // Failed holders are detected only when a grant falls short, so the survivors first use up the rest.
            await Promise.all(survivors.map(async ({ budgets }) => {
                while (await group.call(budgets, 30)) {
                    assert.ok(group.state.used <= limits.budgetTokens, `used ${group.state.used}`);
                }
            }));
            for (let slot = 1; slot <= limits.programsAtOnce; slot += 1) {
                assert.equal(await survivors[0]!.budgets.takeSlot(plan), undefined, `slot ${slot} is free`);
            }
            for (let slot = 1; slot <= limits.programsAtOnce; slot += 1) {
                survivors[0]!.budgets.freeSlot(plan);
            }
            await Promise.all(survivors.map(({ budgets }) => budgets.leave()));
            const { spent, holders } = group.ledger();
            assert.ok(spent >= group.state.used && spent <= limits.budgetTokens, `${spent} of ${group.state.used}`);
            // A write in flight when the lease was deleted may leave an entry without tokens or slots.
            const { tokens = 0, slots = 0 } = holders["d1"] ?? {};
            assert.deepEqual([tokens, slots], [0, 0]);
        }),
        { seed, numRuns: 15, endOnFailure: true },
    );
});

test("no call gets tokens after the budget was lowered below the spent tokens, and calls run again after it was raised (guards against the use of tokens granted under the old budget)", async () => {
    const group = createDaemonGroup({ budgetTokens: 6_400, programsAtOnce: 10 }, createRandom(seed));
    const daemons = ["d1", "d2"].map(group.start);
    // After high recent usage each daemon holds spare tokens.
    for (let round = 0; round < 5; round += 1) {
        await Promise.all(daemons.map(({ budgets }) => group.call(budgets, 100)));
    }
    const usedBefore = group.state.used;
    group.state.limits = { budgetTokens: 1, programsAtOnce: 10 };
    group.store.faults = { ...noFaults, fail: 1 };
    daemons.forEach(({ budgets }) => budgets.applyLimits());
    for (let round = 0; round < 20; round += 1) {
        for (const { budgets } of daemons) {
            assert.equal(await group.call(budgets, 1), false, "refused while the store does not answer");
        }
    }
    group.store.faults = noFaults;
    for (const { budgets } of daemons) {
        assert.equal(await group.call(budgets, 1), false, "refused");
    }
    assert.equal(group.state.used, usedBefore);
    group.state.limits = { budgetTokens: 6_400, programsAtOnce: 10 };
    daemons.forEach(({ budgets }) => budgets.applyLimits());
    assert.equal(await group.call(daemons[0]!.budgets, 100), true, "served again");
    await Promise.all(daemons.map(({ budgets }) => budgets.leave()));
    assert.equal(group.ledger().spent, group.state.used);
});

test("calls that are refused at the same time cause at most two ledger writes (guards against a queue of updates when a budget is spent)", async () => {
    const group = createDaemonGroup({ budgetTokens: 10, programsAtOnce: 10 }, createRandom(seed));
    const { budgets } = group.start("d1");
    const revisionBefore = Number(group.store.rows.get(keys.ledger(plan))?.revision ?? "0");
    const results = await Promise.all(Array.from({ length: 100 }, () => group.call(budgets, 20)));
    assert.deepEqual(results.filter(Boolean), []);
    const writes = Number(group.store.rows.get(keys.ledger(plan))?.revision ?? "0") - revisionBefore;
    assert.ok(writes <= 2, `${writes} writes`);
    await budgets.leave();
});
