import { createConfiguration, createRandom, systemClock } from "@tamarackgauge/core";
import type { Configuration } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ConfigurationKeeper, createConfigurationKeeper } from "../src/configuration.ts";
import { keys } from "../src/rows.ts";
import { createFakeStore, healthy } from "./fakeTable.ts";

const seed = 20_263;
const lists = (name: string) => ({ plans: [{ name, keys: [] }], allowances: [] });

function keeperOf(table: Table, askPeers: () => Promise<Configuration | undefined> = async () => undefined) {
    const seen: number[] = [];
    const keeper = createConfigurationKeeper({
        // The fake answers no range; the keeper reads the log of changes with it.
        table: { ...table, range: rangeOver(table) },
        clock: systemClock,
        onConfiguration: next => seen.push(next.version),
        askPeers,
        pollInterval: 1_000_000,
    });
    return { ...keeper, seen };
}

function rangeOver(table: Table): Table["range"] {
    return async (_, after) => {
        const first = Number(after?.slice(after.lastIndexOf("/") + 1) ?? 0) + 1;
        const row = await table.get(keys.configurationChange(first));
        return { rows: row === undefined ? [] : [row], more: false };
    };
}

test("of racing operators exactly one wins and the others are told, also when replies are lost (guards against a change that is lost or reported wrongly)", async () => {
    const chance = fc.constantFrom(0, 0.2, 0.4);
    const faults = fc.record({ fail: chance, loseReply: chance, late: fc.constant(0), slow: chance });
    await fc.assert(
        fc.asyncProperty(faults, fc.integer(), async (chances, salt) => {
            const store = createFakeStore();
            const random = createRandom(salt);
            const keepers = [1, 2, 3].map(() => keeperOf(store.connect(random)));
            try {
                for (let round = 0; round < 2; round += 1) {
                    store.faults = chances;
                    const version = keepers[0]!.version();
                    const names = keepers.map((_, index) => `r${round}k${index}`);
                    const results = await Promise.all(
                        keepers.map((keeper, index) => keeper.apply(version, lists(names[index]!), names[index]!)),
                    );
                    store.faults = healthy;
                    await Promise.all(keepers.map(keeper => keeper.refresh()));
                    const told = results.map(result =>
                        result.caseOf<number | "won">({ Left: ({ code }) => code, Right: () => "won" })
                    );
                    keepers.forEach(keeper => checkRace(names, told, keeper, version));
                }
                const last = keepers[0]!.version();
                const all = Array.from({ length: last }, (_, index) => index + 1);
                keepers.forEach(({ seen }) => assert.deepEqual(seen.filter(each => each > 0), all));
            }
            finally {
                // A keeper that is left open would keep the process alive, and a failure would never be shown.
                await Promise.all(keepers.map(keeper => keeper[Symbol.asyncDispose]()));
            }
        }),
        { seed, numRuns: 4, endOnFailure: true },
    );
});

const conflict = 4095;
/** The store failed at every try: the change may have been stored. */
const mayBeStored = 5031;

/** Checks that what the operators were told and what is in force agree. */
function checkRace(names: readonly string[], told: readonly (number | "won")[], keeper: ConfigurationKeeper,
    before: number): void {
    const toldBy = (answer: number | "won") => names.filter((_, index) => told[index] === answer);
    const [won, unknown, lost] = [toldBy("won"), toldBy(mayBeStored), toldBy(conflict)];
    assert.equal(won.length + unknown.length + lost.length, names.length, told.join());
    assert.ok(won.length <= 1, told.join());
    if (keeper.version() === before) {
        assert.deepEqual(unknown, names, "nothing is in force, so nobody may have been told of a winner");
        return;
    }
    assert.equal(keeper.version(), before + 1);
    const inForce = keeper.current()?.plans[0]?.name;
    assert.ok(won.length === 1 ? inForce === won[0] : unknown.includes(inForce!), `${told.join()}: ${inForce}`);
}

test("a change whose reply was lost is confirmed although another change followed it (guards against an operator who is told that the change lost)", async () => {
    const store = createFakeStore();
    const random = createRandom(seed);
    const table = store.connect(random);
    const other = keeperOf(store.connect(random));
    let lost = false;
    const first = keeperOf({
        ...table,
        commit: async transaction => {
            const result = await table.commit(transaction);
            if (!lost) {
                lost = true;
                assert.ok((await other.apply(1, lists("second"), "second")).isRight());
                throw new Error("the reply was lost");
            }
            return result;
        },
    });
    const result = await first.apply(0, lists("first"), "first");
    assert.ok(result.isRight());
    assert.equal(first.version(), 2);
    await Promise.all([first, other].map(keeper => keeper[Symbol.asyncDispose]()));
});

test("an old read of the store and a stale peer do not bring an old version back (guards against a configuration that reverts)", async () => {
    const store = createFakeStore();
    const table = store.connect(createRandom(seed));
    const writer = keeperOf(table);
    await writer.apply(0, lists("one"), "one");
    const oldHead = store.rows.get(keys.configurationHead);
    await writer.apply(1, lists("two"), "two");
    const state = { head: undefined as typeof oldHead, down: false };
    const reader = keeperOf({
        ...table,
        get: key =>
            state.down
                ? Promise.reject(new Error("down"))
                : key === keys.configurationHead && state.head !== undefined
                ? Promise.resolve(state.head)
                : table.get(key),
    }, async () => createConfiguration(1, lists("one")));
    await reader.refresh();
    assert.equal(reader.version(), 2);
    state.head = oldHead;
    await reader.refresh();
    state.down = true;
    await reader.refresh();
    reader.handlePeerVersion(1);
    await reader.refresh();
    assert.equal(reader.current()?.plans[0]?.name, "two");
    assert.deepEqual(reader.seen, [2]);
    await Promise.all([writer, reader].map(keeper => keeper[Symbol.asyncDispose]()));
});

test("only a peer with the same version confirms it (guards against a stale peer that keeps an old configuration in use)", async () => {
    const store = createFakeStore();
    const keeper = keeperOf(store.connect(createRandom(seed)));
    await keeper.apply(0, lists("one"), "one");
    await keeper.refresh();
    store.faults = { ...healthy, fail: 1 };
    await new Promise(resolve => setTimeout(resolve, 50));
    keeper.handlePeerVersion(0);
    assert.ok(keeper.confirmationAge() >= 45, "an older version confirms nothing");
    keeper.handlePeerVersion(1);
    assert.ok(keeper.confirmationAge() < 45);
    await keeper[Symbol.asyncDispose]();
});
