import { createStore } from "@tamarackgauge/platform";
import { pack, unpack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type CleanedTable, createCleaner } from "../src/cleaner.ts";
import type { Log } from "../src/log.ts";
import { createFleet, waitUntil } from "./harness.ts";

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
