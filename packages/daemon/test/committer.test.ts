import { systemClock } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCommitter } from "../src/committer.ts";
import { keys, segmentRow } from "../src/rows.ts";
import { createMemoryTable, type Rows } from "./node.ts";

const step = { type: "open", program: "plan/p", plan: "plan", at: 0 } as const;

test("an append to a partition whose journal was not read is rejected (guards against a write over its first segment)", async () => {
    const earlier = segmentRow.encode([{ ...step, program: "plan/earlier" }]);
    const rows: Rows = new Map([[keys.segment(3, 0), { key: keys.segment(3, 0), value: earlier, revision: "1" }]]);
    await using committer = await createCommitter({ table: createMemoryTable(rows), name: "d1", incarnation: "1",
        clock: systemClock, ttl: 60_000, renewal: 60_000, commitInterval: 0, onFenced: () => undefined });
    await assert.rejects(committer.append(3, [step]), /journal of partition 3 was not read/);
    assert.deepEqual(rows.get(keys.segment(3, 0))?.value, earlier);
    committer.setNextSegment(3, 1);
    assert.equal((await committer.append(3, [step])).number, 1);
});
