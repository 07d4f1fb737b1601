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

/** Whole numbers from 0 to below a bound. */
type RandomInteger = (below: number) => number;

function createRandomInteger(seed: number): RandomInteger {
    const random = createRandom(seed);
    return below => Math.floor(random() * below);
}

/** One row in memory. Of its calls some fail, with and without an effect; each takes effect after a random time. */
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
        /** Tokens that the row shows as generated, and those in grants. */
        counts() {
            const [spent, grants] = unpack(row!.value) as [number, [string, number, number][]];
            return { spent, granted: grants.reduce((sum, [, , tokens]) => sum + tokens, 0) };
        },
    };
}

/** How a program is played. */
interface Scenario {
    readonly seed: number;
    /** Steps that are under way at the same time. */
    readonly concurrency: number;
    /** Each way to the store and back takes up to this, in ms; a quarter of it without an answer repeats a call. */
    readonly maxDelayMs: number;
}

/** Plays turns, loans and recalls of three gateways over a store that fails; gives what was generated and counted. */
async function runScenario({ seed, concurrency, maxDelayMs }: Scenario) {
    const randomInteger = createRandomInteger(seed);
    const failingStore = createFailingStore(randomInteger, maxDelayMs);
    let time = 0;
    // No turn waits for long: each look at the clock is a second after the last.
    const now = () => time += 1_000;
    const gateways: OwnBudgets[] = ["a", "b", "c"].map(holder =>
        createBudgets({ store: failingStore.store, holder, log, now, recallFrom: async (from, name) =>
            gateways["abc".indexOf(from)]!.recall(from, name) })
    );
    const holds: { readonly most: number; readonly hold: TokenReservation; }[] = [];
    let generated = 0;

    async function step(): Promise<void> {
        const gateway = gateways[randomInteger(3)]!;
        const maxTokens = 40 + randomInteger(160);
        switch (randomInteger(4)) {
            case 0: {
                const reservation = await gateway.reserve({ program, most: maxTokens, budget });
                if (typeof reservation !== "string") {
                    holds.push({ most: maxTokens, hold: reservation });
                }
                break;
            }
            case 1: {
                if (await gateway.lend({ program, most: maxTokens, budget }) === "lent") {
                    holds.push({ most: maxTokens, hold: { settle: used =>
                        gateway.acceptReturn(program, maxTokens - used) } });
                }
                break;
            }
            case 2: {
                const [ended] = holds.splice(randomInteger(holds.length + 1), 1);
                const used = ended === undefined ? 0 : randomInteger(ended.most + 1);
                ended?.hold.settle(used);
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
    holds.forEach(({ most, hold }) => {
        hold.settle(most);
        generated += most;
    });
    failingStore.stopFailing();
    for (const gateway of gateways) {
        await gateway.flush();
        gateway[Symbol.dispose]();
    }
    return { generated, ...failingStore.counts() };
}

test("over a store that fails, with and without effect, no program gets more than its budget (guards against tokens that are settled twice or served from a grant that was given back)", async () => {
    for (let seed = 1; seed <= 300; seed += 1) {
        await checkScenario({ seed, concurrency: 1, maxDelayMs: 0 });
    }
});

test(
    "the same with calls that are repeated while others are under way (guards against a repeated write that is counted twice, and turns that are never answered)",
    { timeout: 60_000 },
    async () => {
        await Promise.all(
            Array.from({ length: 60 }, (_, seed) => checkScenario({ seed: seed + 1, concurrency: 4, maxDelayMs: 8 })),
        );
    },
);

test("a program that asks again and again is logged once for each state of its budget (guards against a log that says nothing else)", async () => {
    const lines: string[] = [];
    const counting: Log = { info: event => void lines.push(event), warn: () => undefined };
    const { store, stopFailing } = createFailingStore(createRandomInteger(1), 0);
    stopFailing();
    using gateway = createBudgets({ store, holder: "a", log: counting, now: () => performance.now(),
        recallFrom: async () => "gone" });
    const hold = await gateway.reserve({ program, most: budget, budget });
    assert.ok(typeof hold !== "string");
    for (let asked = 0; asked < 5; asked += 1) {
        assert.equal(await gateway.reserve({ program, most: 100, budget }), "exhausted");
    }
    assert.deepEqual(lines, ["budget.short"]);
    hold.settle(budget - 50);
    await gateway.flush();
    assert.equal(await gateway.reserve({ program, most: 100, budget }), "exhausted");
    assert.deepEqual(lines, ["budget.short", "budget.short"]);
});

test("tokens that cannot be given back are told in the log once until they are (guards against a budget that looks spent for no visible reason, and a log that says nothing else)", async () => {
    const lines: LogFields[] = [];
    const counting: Log = { info: (event, fields) => void lines.push({ event, ...fields }), warn: () => undefined };
    const { store, stopFailing } = createFailingStore(createRandomInteger(1), 0);
    stopFailing();
    let away = false;
    const change: HedgeableStore["change"] = (...call) =>
        away ? Promise.reject(new StoreError("away", "the store is away")) : store.change(...call);
    using gateway = createBudgets({ store: { ...store, change }, holder: "a", log: counting,
        now: () => performance.now(), recallFrom: async () => "gone" });
    const hold = await gateway.reserve({ program, most: 100, budget });
    assert.ok(typeof hold !== "string");
    hold.settle(40);
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

/** Plays a program and checks that the row shows exactly what was generated, within the budget. */
async function checkScenario(scenario: Scenario): Promise<void> {
    const { generated, spent, granted } = await runScenario(scenario);
    assert.ok(generated <= budget, `seed ${scenario.seed}: ${generated} tokens`);
    assert.deepEqual({ spent, granted }, { spent: generated, granted: 0 }, `seed ${scenario.seed}`);
}
