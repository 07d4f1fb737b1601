import { createStore } from "@tamarackgauge/platform";
import { pack, unpack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type CleanedTable, createCleaner } from "../src/cleaner.ts";
import type { Log } from "../src/log.ts";
import { encodeTurn, turnRowKey, turnTable } from "../src/turnRow.ts";
import { createFleet, type Fleet, waitUntil } from "./harness.ts";

const hour = 3_600_000;
const table: CleanedTable = {
    table: "turns",
    partCount: 1,
    entryKeyOf: key => key.replace(/\/\d{3}$/, ""),
    retainedUntil: rows => (unpack(Buffer.concat(rows.map(({ value }) => value))) as { at: number; }).at,
    maxAgeMs: hour,
};

test("only rows that are older than the maximum age are removed (guards against a store that fills up with rows whose writers have ended)", async () => {
    await using fleet = await createFleet();
    const storeEndpoint = await fleet.rowStore.open();
    await using store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    const old = Buffer.from(pack({ at: Date.now() - 2 * hour, text: "x".repeat(50) }));
    const put = (key: string, value: Buffer) =>
        store.change({ puts: [{ table: "turns", part: "0", key, value }] }, { timeout: 1_000 });
    await put("new", Buffer.from(pack({ at: Date.now() - hour / 2 })));
    await put("old", old.subarray(0, 20));
    await put("old/001", old.subarray(20));
    await put("unreadable", Buffer.from([0xc1]));
    const lines: string[] = [];
    const log: Log = { info: event => void lines.push(event), warn: event => void lines.push(event) };
    const cleaner = createCleaner({ store, tables: [table], log, interval: 20 });
    await waitUntil(() => lines.includes("rows.cleaned"), "a part is cleaned");
    assert.deepEqual([...fleet.rowStore.keys("turns")].sort(), ["new", "unreadable"]);
    assert.ok(lines.includes("rows.unreadable"));
    cleaner[Symbol.dispose]();
});

/** Writes the rows of a turn in part 0, without the condition of a call's size that a gateway keeps to. */
function putTurn(fleet: Fleet, id: string, inputBytes: number, keptUntil: number): number {
    const turn = { id, ancestors: [], input: Buffer.alloc(inputBytes, "x"), output: Buffer.alloc(10), upstream: "i",
        keptAt: keptUntil - hour, keptUntil };
    const encoded = encodeTurn(turn, 8_192);
    for (let index = 0; index < encoded.rowCount; index += 1) {
        fleet.rowStore.put("turns", "0", turnRowKey(id, index), encoded.value(index));
    }
    return encoded.rowCount;
}

test("a turn whose rows fill more than one page of the store, or one call, is removed, and one that is still kept is not (guards against a store that fills up with large turns whose writers have ended)", async () => {
    await using fleet = await createFleet();
    const storeEndpoint = await fleet.rowStore.open();
    await using store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    const [expired, kept] = [Date.now() - 2 * hour, Date.now() + hour];
    const keptRows = putTurn(fleet, "a", 1_800_000, kept);
    assert.ok(putTurn(fleet, "b", 1_800_000, expired) > 250);
    putTurn(fleet, "c", 100_000, expired);
    putTurn(fleet, "d", 500_000, expired);
    putTurn(fleet, "e", 400_000, expired);
    const warnings: string[] = [];
    const log: Log = { info: () => undefined, warn: event => void warnings.push(event) };
    const cleaner = createCleaner({ store, tables: [{ ...turnTable, partCount: 1 }], log, interval: 20 });
    await waitUntil(() => fleet.rowStore.keys("turns").length === keptRows, "the expired turns are removed");
    assert.ok(fleet.rowStore.keys("turns").every(key => /^a(\/\d{3})?$/.test(key)));
    assert.deepEqual(warnings, []);
    cleaner[Symbol.dispose]();
});

test("a large turn that is written again while it is removed stays complete (guards against a turn with missing rows)", async () => {
    await using fleet = await createFleet();
    const storeEndpoint = await fleet.rowStore.open();
    await using store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    putTurn(fleet, "a", 1_800_000, Date.now() - 2 * hour);
    const lines: string[] = [];
    const log: Log = { info: event => void lines.push(event), warn: event => void lines.push(event) };
    const rows = fleet.rowStore.keys("turns").length;
    storeEndpoint.setFault({ mode: "slow", ms: 50, call: "change" });
    const cleaner = createCleaner({ store, tables: [{ ...turnTable, partCount: 1 }], log, interval: 20 });
    await waitUntil(() => fleet.rowStore.keys("turns").length < rows, "the removal has begun");
    putTurn(fleet, "a", 1_800_000, Date.now() + hour);
    const cleanedBefore = lines.length;
    await waitUntil(() => lines.length > cleanedBefore, "the removal has ended");
    assert.equal(fleet.rowStore.keys("turns").length, rows);
    cleaner[Symbol.dispose]();
});
