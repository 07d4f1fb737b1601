import { createRandom } from "@tamarackgauge/core";
import { type ChangeResult, type StoreChange, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { unpack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createBudgets, type OwnBudgets, type TokenReservation } from "../src/budgets.ts";
import type { Log, LogFields } from "../src/log.ts";
import type { HedgeableStore } from "../src/storeRetry.ts";

const program = "p";
const budget = 2_000;
const log: Log = { info: () => undefined, warn: () => undefined };

/** Returns a random integer from 0 (inclusive) to a bound (exclusive). */
type RandomInteger = (below: number) => number;

function createRandomInteger(seed: number): RandomInteger {
    const random = createRandom(seed);
    return below => Math.floor(random() * below);
}

/** Store with one row in memory. Some calls fail before or after they take effect, with random delays. */
function createFailingStore(randomInteger: RandomInteger, maxDelayMs: number) {
    let row: StoreRow | undefined;
    let version = 0;
    let reliable = false;

    function mayFail(): void {
        if (!reliable && randomInteger(4) === 0) {
            throw new StoreError("away", "the store is away");
        }
    }

    function apply({ conditions, puts }: StoreChange): ChangeResult {
        const [condition] = conditions ?? [];
        if (condition !== undefined && condition.version !== (row?.version ?? 0)) {
            return { applied: false, rows: row === undefined ? [] : [row] };
        }
        version += 1;
        row = { ...puts![0]!, version, removed: false };
        return { applied: true, version };
    }

    async function delay(): Promise<void> {
        if (maxDelayMs > 0) {
            await sleep(randomInteger(maxDelayMs));
        }
    }

    const store: HedgeableStore = {
        hedgeDelay: () => maxDelayMs > 0 ? maxDelayMs / 4 : 150,
        async read() {
            await delay();
            mayFail();
            const page = { rows: row === undefined ? [] : [row], more: false, version };
            await delay();
            return page;
        },
        async change(change) {
            await delay();
            mayFail();
            const result = apply(change);
            await delay();
            mayFail();
            return result;
        },
        feed: () => Promise.reject(new StoreError("away", "there is no feed")),
    };
    return {
        store,
        stopFailing: () => reliable = true,
        /** Tokens that are recorded as generated in the row, and those in grants. */
        counts() {
            const [spent, grants] = unpack(row!.value) as [number, [string, number, number][]];
            return { spent, granted: grants.reduce((sum, [, , tokens]) => sum + tokens, 0) };
        },
    };
}

/** Parameters of a simulated program. */
interface Scenario {
    readonly seed: number;
    /** Number of concurrent steps. */
    readonly concurrency: number;
    /** Maximum delay of each request and answer of the store. A call is hedged after a quarter of it. */
    readonly maxDelayMs: number;
}

/**
 * Simulates turns, loans and recalls of three gateways with a failing store; returns the generated and recorded tokens.
 */
async function runScenario({ seed, concurrency, maxDelayMs }: Scenario) {
    const randomInteger = createRandomInteger(seed);
    const failingStore = createFailingStore(randomInteger, maxDelayMs);
    let time = 0;
    // Each reading of the clock is one second after the previous one, so that no turn waits for recalls.
    const now = () => time += 1_000;
    const gateways: OwnBudgets[] = ["a", "b", "c"].map(holder =>
        createBudgets({ store: failingStore.store, holder, log, now, recallFrom: async (from, name) =>
            gateways["abc".indexOf(from)]!.recall(from, name) })
    );
    const reservations: { readonly maxTokens: number; readonly reservation: TokenReservation; }[] = [];
    let generated = 0;

    async function step(): Promise<void> {
        const gateway = gateways[randomInteger(3)]!;
        const maxTokens = 40 + randomInteger(160);
        switch (randomInteger(4)) {
            case 0: {
                const reservation = await gateway.reserve({ program, most: maxTokens, budget });
                if (typeof reservation !== "string") {
                    reservations.push({ maxTokens, reservation });
                }
                break;
            }
            case 1: {
                if (await gateway.lend({ program, most: maxTokens, budget }) === "lent") {
                    reservations.push({ maxTokens, reservation: { settle: used =>
                        gateway.acceptReturn(program, maxTokens - used) } });
                }
                break;
            }
            case 2: {
                const [ended] = reservations.splice(randomInteger(reservations.length + 1), 1);
                const used = ended === undefined ? 0 : randomInteger(ended.maxTokens + 1);
                ended?.reservation.settle(used);
                generated += used;
                break;
            }
            case 3:
                await gateway.recall("abc"[gateways.indexOf(gateway)]!, program);
        }
    }

    for (let steps = 0; steps < 120; steps += concurrency) {
        await Promise.all(Array.from({ length: concurrency }, step));
    }
    reservations.forEach(({ maxTokens, reservation }) => {
        reservation.settle(maxTokens);
        generated += maxTokens;
    });
    failingStore.stopFailing();
    for (const gateway of gateways) {
        await gateway.flush();
        gateway[Symbol.dispose]();
    }
    return { generated, ...failingStore.counts() };
}

test("no program exceeds its budget when store calls fail before or after they take effect (guards against tokens that are settled twice or reserved from a returned grant)", async () => {
    for (let seed = 1; seed <= 300; seed += 1) {
        await checkScenario({ seed, concurrency: 1, maxDelayMs: 0 });
    }
});

test(
    "no program exceeds its budget when store calls are hedged and concurrent (guards against a repeated write that is counted twice, and reservations that are never answered)",
    { timeout: 60_000 },
    async () => {
        await Promise.all(
            Array.from({ length: 60 }, (_, seed) => checkScenario({ seed: seed + 1, concurrency: 4, maxDelayMs: 8 })),
        );
    },
);

test("a shortage is logged once for each state of the budget while the program retries (guards against a flooded log)", async () => {
    const lines: string[] = [];
    const counting: Log = { info: event => void lines.push(event), warn: () => undefined };
    const { store, stopFailing } = createFailingStore(createRandomInteger(1), 0);
    stopFailing();
    using gateway = createBudgets({ store, holder: "a", log: counting, now: () => performance.now(),
        recallFrom: async () => "gone" });
    const reservation = await gateway.reserve({ program, most: budget, budget });
    assert.ok(typeof reservation !== "string");
    for (let attempt = 0; attempt < 5; attempt += 1) {
        assert.equal(await gateway.reserve({ program, most: 100, budget }), "exhausted");
    }
    assert.deepEqual(lines, ["budget.short"]);
    reservation.settle(budget - 50);
    await gateway.flush();
    assert.equal(await gateway.reserve({ program, most: 100, budget }), "exhausted");
    assert.deepEqual(lines, ["budget.short", "budget.short"]);
});

test("a failed return of tokens is logged once until a return succeeds (guards against a budget that looks spent for no visible reason, and a flooded log)", async () => {
    const lines: LogFields[] = [];
    const counting: Log = { info: (event, fields) => void lines.push({ event, ...fields }), warn: () => undefined };
    const { store, stopFailing } = createFailingStore(createRandomInteger(1), 0);
    stopFailing();
    let away = false;
    const change: HedgeableStore["change"] = (...call) =>
        away ? Promise.reject(new StoreError("away", "the store is away")) : store.change(...call);
    using gateway = createBudgets({ store: { ...store, change }, holder: "a", log: counting,
        now: () => performance.now(), recallFrom: async () => "gone" });
    const reservation = await gateway.reserve({ program, most: 100, budget });
    assert.ok(typeof reservation !== "string");
    reservation.settle(40);
    away = true;
    await gateway.flush();
    const expectedLine = { event: "budget.notGivenBack", program, reason: "the store is away", againIn: 300 };
    assert.deepEqual(lines, [expectedLine]);
    await gateway.flush();
    assert.deepEqual(lines, [expectedLine]);
    away = false;
    await gateway.flush();
    assert.ok(typeof await gateway.reserve({ program, most: 100, budget }) !== "string");
    away = true;
    await gateway.flush();
    assert.deepEqual(lines, [expectedLine, expectedLine]);
});

/** Runs a scenario and checks that the row records exactly the generated tokens and that they are within the budget. */
async function checkScenario(scenario: Scenario): Promise<void> {
    const { generated, spent, granted } = await runScenario(scenario);
    assert.ok(generated <= budget, `seed ${scenario.seed}: ${generated} tokens`);
    assert.deepEqual({ spent, granted }, { spent: generated, granted: 0 }, `seed ${scenario.seed}`);
}
