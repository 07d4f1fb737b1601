import { createConfiguration, createRandom, systemClock } from "@tamarackgauge/core";
import type { Configuration } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ConfigurationKeeper, createConfigurationKeeper } from "../src/configuration.ts";
import { keys } from "../src/rows.ts";
import { createFakeStore, noFaults } from "./fakeTable.ts";

const seed = 20_263;
const listsWithPlan = (name: string) => ({ plans: [{ name, keys: [] }], allowances: [] });

function createTestKeeper(table: Table, queryPeers: () => Promise<Configuration | undefined> = async () => undefined) {
    const seenVersions: number[] = [];
    const keeper = createConfigurationKeeper({
        // The fake table does not support ranges, which the keeper needs to read the log of changes.
        table: { ...table, range: rangeOver(table) },
        clock: systemClock,
        onConfiguration: next => seenVersions.push(next.version),
        queryPeers,
        pollInterval: 1_000_000,
    });
    return { ...keeper, seenVersions };
}

function rangeOver(table: Table): Table["range"] {
    return async (_, after) => {
        const first = Number(after?.slice(after.lastIndexOf("/") + 1) ?? 0) + 1;
        const row = await table.get(keys.configurationChange(first));
        return { rows: row === undefined ? [] : [row], more: false };
    };
}

test("of concurrent changes at most one is reported as accepted, and the results match the configuration in force, also when replies are lost (guards against a change that is lost or reported wrongly)", async () => {
    const rate = fc.constantFrom(0, 0.2, 0.4);
    const faults = fc.record({ fail: rate, loseReply: rate, late: fc.constant(0), slow: rate });
    await fc.assert(
        fc.asyncProperty(faults, fc.integer(), async (faultRates, randomSeed) => {
            const store = createFakeStore();
            const random = createRandom(randomSeed);
            const keepers = [1, 2, 3].map(() => createTestKeeper(store.connect(random)));
            try {
                for (let round = 0; round < 2; round += 1) {
                    store.faults = faultRates;
                    const version = keepers[0]!.version();
                    const names = keepers.map((_, index) => `r${round}k${index}`);
                    const results = await Promise.all(
                        keepers.map((keeper, index) =>
                            keeper.apply(version, listsWithPlan(names[index]!), names[index]!)
                        ),
                    );
                    store.faults = noFaults;
                    await Promise.all(keepers.map(keeper => keeper.refresh()));
                    const outcomes = results.map(result =>
                        result.caseOf<number | "won">({ Left: ({ code }) => code, Right: () => "won" })
                    );
                    keepers.forEach(keeper => checkRace(names, outcomes, keeper, version));
                }
                const lastVersion = keepers[0]!.version();
                const allVersions = Array.from({ length: lastVersion }, (_, index) => index + 1);
                keepers.forEach(({ seenVersions }) =>
                    assert.deepEqual(seenVersions.filter(each => each > 0), allVersions)
                );
            }
            finally {
                // A keeper that is not disposed would keep the process alive, and a failure would never be reported.
                await Promise.all(keepers.map(keeper => keeper[Symbol.asyncDispose]()));
            }
        }),
        { seed, numRuns: 4, endOnFailure: true },
    );
});

const versionConflict = 4095;
/** Every attempt at the store failed; the change may have been stored nevertheless. */
const storeUnavailable = 5031;

/** Checks that the results of the operators' changes match the configuration in force. */
function checkRace(names: readonly string[], outcomes: readonly (number | "won")[], keeper: ConfigurationKeeper,
    previousVersion: number): void {
    const operatorsWith = (outcome: number | "won") => names.filter((_, index) => outcomes[index] === outcome);
    const [wonOperators, uncertain, conflicted] = [operatorsWith("won"), operatorsWith(storeUnavailable),
        operatorsWith(versionConflict)];
    assert.equal(wonOperators.length + uncertain.length + conflicted.length, names.length, outcomes.join());
    assert.ok(wonOperators.length <= 1, outcomes.join());
    if (keeper.version() === previousVersion) {
        assert.deepEqual(uncertain, names, "no change is in force, so every operator must have an uncertain result");
        return;
    }
    assert.equal(keeper.version(), previousVersion + 1);
    const inForce = keeper.current()?.plans[0]?.name;
    assert.ok(wonOperators.length === 1 ? inForce === wonOperators[0] : uncertain.includes(inForce!),
        `${outcomes.join()}: ${inForce}`);
}

test("a change whose reply was lost is confirmed although another change followed it (guards against reporting an accepted change as a conflict)", async () => {
    const store = createFakeStore();
    const random = createRandom(seed);
    const table = store.connect(random);
    const other = createTestKeeper(store.connect(random));
    let lost = false;
    const first = createTestKeeper({
        ...table,
        commit: async transaction => {
            const result = await table.commit(transaction);
            if (!lost) {
                lost = true;
                assert.ok((await other.apply(1, listsWithPlan("second"), "second")).isRight());
                throw new Error("the reply was lost");
            }
            return result;
        },
    });
    const result = await first.apply(0, listsWithPlan("first"), "first");
    assert.ok(result.isRight());
    assert.equal(first.version(), 2);
    await Promise.all([first, other].map(keeper => keeper[Symbol.asyncDispose]()));
});

test("a stale read of the store and a stale peer do not restore an old version (guards against a configuration that reverts)", async () => {
    const store = createFakeStore();
    const table = store.connect(createRandom(seed));
    const writer = createTestKeeper(table);
    await writer.apply(0, listsWithPlan("one"), "one");
    const oldHead = store.rows.get(keys.configurationHead);
    await writer.apply(1, listsWithPlan("two"), "two");
    const state = { head: undefined as typeof oldHead, down: false };
    const reader = createTestKeeper({
        ...table,
        get: key =>
            state.down
                ? Promise.reject(new Error("down"))
                : key === keys.configurationHead && state.head !== undefined
                ? Promise.resolve(state.head)
                : table.get(key),
    }, async () => createConfiguration(1, listsWithPlan("one")));
    await reader.refresh();
    assert.equal(reader.version(), 2);
    state.head = oldHead;
    await reader.refresh();
    state.down = true;
    await reader.refresh();
    reader.handlePeerVersion(1);
    await reader.refresh();
    assert.equal(reader.current()?.plans[0]?.name, "two");
    assert.deepEqual(reader.seenVersions, [2]);
    await Promise.all([writer, reader].map(keeper => keeper[Symbol.asyncDispose]()));
});

test("only a peer with the same version confirms the configuration (guards against a stale peer that keeps an old configuration in use)", async () => {
    const store = createFakeStore();
    const keeper = createTestKeeper(store.connect(createRandom(seed)));
    await keeper.apply(0, listsWithPlan("one"), "one");
    await keeper.refresh();
    store.faults = { ...noFaults, fail: 1 };
    await new Promise(resolve => setTimeout(resolve, 50));
    keeper.handlePeerVersion(0);
    assert.ok(keeper.confirmationAge() >= 45, "an older version confirms nothing");
    keeper.handlePeerVersion(1);
    assert.ok(keeper.confirmationAge() < 45);
    await keeper[Symbol.asyncDispose]();
});
