import { type ChangeResult, type StoreChange, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { unpack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createBudgets, type OwnBudgets, type TokenHold } from "../src/budgets.ts";
import type { Log } from "../src/log.ts";
import type { PacedStore } from "../src/persist.ts";

const program = "p";
const budget = 2_000;
const log: Log = { info: () => undefined, warn: () => undefined };

type Random = (below: number) => number;

function createRandom(seed: number): Random {
    let state = seed;
    return below => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return Math.floor(state / 65_536) % below;
    };
}

/** One row in memory. Of its calls some fail, with and without an effect. */
function createFailingStore(random: Random) {
    let row: StoreRow | undefined;
    let version = 0;
    let sound = false;

    function mayFail(): void {
        if (!sound && random(4) === 0) {
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

    const store: PacedStore = {
        hedgeDelay: () => 150,
        async read() {
            mayFail();
            return { rows: row === undefined ? [] : [row], more: false, version };
        },
        async change(change) {
            mayFail();
            const result = apply(change);
            mayFail();
            return result;
        },
        feed: () => Promise.reject(new StoreError("away", "there is no feed")),
    };
    return {
        store,
        mend: () => sound = true,
        /** Tokens that the row shows as generated, and those in grants. */
        counts() {
            const [spent, grants] = unpack(row!.value) as [number, [string, number, number][]];
            return { spent, granted: grants.reduce((sum, [, , tokens]) => sum + tokens, 0) };
        },
    };
}

/** Plays turns, loans and recalls of three gateways over a store that fails; gives what was generated and counted. */
async function play(seed: number) {
    const random = createRandom(seed);
    const failing = createFailingStore(random);
    let time = 0;
    // No turn waits for long: each look at the clock is a second after the last.
    const now = () => time += 1_000;
    const gateways: OwnBudgets[] = ["a", "b", "c"].map(holder =>
        createBudgets({ store: failing.store, holder, log, now, recallFrom: async (from, name) =>
            gateways["abc".indexOf(from)]!.recall(from, name) })
    );
    const holds: { readonly most: number; readonly hold: TokenHold; }[] = [];
    let generated = 0;

    async function step(): Promise<void> {
        const gateway = gateways[random(3)]!;
        const most = 40 + random(160);
        switch (random(4)) {
            case 0: {
                const hold = await gateway.reserve({ program, most, budget });
                if (typeof hold !== "string") {
                    holds.push({ most, hold });
                }
                break;
            }
            case 1: {
                if (await gateway.lend({ program, most, budget }) === "lent") {
                    holds.push({ most, hold: { settle: used => gateway.takeBack(program, most - used) } });
                }
                break;
            }
            case 2: {
                const [ended] = holds.splice(random(holds.length + 1), 1);
                const used = ended === undefined ? 0 : random(ended.most + 1);
                ended?.hold.settle(used);
                generated += used;
                break;
            }
            case 3:
                await gateway.recall("abc"[gateways.indexOf(gateway)]!, program);
        }
    }

    for (let steps = 0; steps < 120; steps += 1) {
        await step();
    }
    holds.forEach(({ most, hold }) => {
        hold.settle(most);
        generated += most;
    });
    failing.mend();
    for (const gateway of gateways) {
        await gateway.flush();
        gateway[Symbol.dispose]();
    }
    return { generated, ...failing.counts() };
}

test("over a store that fails, with and without effect, no program gets more than its budget (guards against tokens that are settled twice or served from a grant that was given back)", async () => {
    for (let seed = 1; seed <= 300; seed += 1) {
        const { generated, spent, granted } = await play(seed);
        assert.ok(generated <= budget, `seed ${seed}: ${generated} tokens`);
        assert.deepEqual({ spent, granted }, { spent: generated, granted: 0 }, `seed ${seed}`);
    }
});
