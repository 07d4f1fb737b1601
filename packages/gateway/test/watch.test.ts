import type { Store, StoreRow } from "@tamarackgauge/core/gateway";
import assert from "node:assert/strict";
import { test } from "node:test";
import { watchTable } from "../src/watch.ts";
import { waitUntil } from "./harness.ts";

const now = () => performance.now();
/** A timer may end up to this much early. */
const timerToleranceMs = 2;

function rowOf(version: number): StoreRow {
    return { table: "t", part: "", key: "a", value: Buffer.from(String(version)), version, removed: false };
}

test("a table that changes all the time is asked for at an interval, and no change is lost (guards against a feed for each change)", async () => {
    const feeds: { readonly at: number; readonly after: number; }[] = [];
    let version = 1;
    const store: Store = {
        read: async () => ({ rows: [rowOf(version)], more: false, version }),
        feed: async (_, after) => {
            feeds.push({ at: now(), after });
            version += 1;
            return { rows: [rowOf(version)], more: false, version };
        },
        change: () => Promise.reject(new Error("not expected")),
    };
    const seen: number[] = [];
    const log = { info: () => undefined, warn: () => undefined };
    await using watch = watchTable({ store, table: "t", part: "", log, now, minFeedInterval: 60,
        onChange: rows => void seen.push(rows.get("a")!.version) });
    await waitUntil(() => feeds.length === 5, "five feeds");
    feeds.slice(1).forEach(({ at }, index) => assert.ok(at - feeds[index]!.at >= 60 - timerToleranceMs));
    assert.deepEqual(feeds.map(({ after }) => after), [1, 2, 3, 4, 5]);
    assert.deepEqual(seen.slice(0, 5), [1, 2, 3, 4, 5]);
    assert.ok(watch.age() < 1_000);
});
