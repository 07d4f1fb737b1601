import { openProgram, systemClock } from "@tamarackgauge/core";
import type { ProgramStep } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCommitter } from "../src/committer.ts";
import { createCompactor } from "../src/compactor.ts";
import { applySteps, createPartition, createProgramState, recover, trackSegment } from "../src/partition.ts";
import type { Partition, ProgramState } from "../src/partition.ts";
import { ownershipRow } from "../src/rows.ts";
import { createMemoryTable } from "./node.ts";
import type { Rows } from "./node.ts";

function turn(program: string, sequence: number): ProgramStep {
    return {
        type: "turn",
        program,
        request: `request ${sequence}`,
        sequence,
        digest: "",
        messages: [{ role: "user", content: `question ${sequence}` }],
        answer: {
            text: `answer ${sequence}`,
            reason: "stop",
            status: 200,
            promptTokens: 1,
            cachedTokens: 0,
            tokens: 1,
            upstream: "engine",
        },
    };
}

async function start(rows: Rows, snapshots: Rows[]) {
    const table = createMemoryTable(rows, {
        after: async () => {
            snapshots.push(new Map(rows));
        },
    });
    return createCommitter({
        table,
        name: "d1",
        incarnation: "1",
        clock: systemClock,
        ttl: 60_000,
        renewal: 60_000,
        commitInterval: 0,
        onFenced: () => undefined,
    });
}

/** One long program beside many short ones, each turn in a segment of its own or shared with a short program. */
async function fill(partition: Partition, committer: Awaited<ReturnType<typeof start>>,
    turns: number): Promise<ProgramState> {
    const long = createProgramState(openProgram("plan/long", "plan", undefined), true, 0);
    partition.programs.set("plan/long", long);
    for (let sequence = 0; sequence < turns; sequence += 1) {
        const steps: ProgramStep[] = sequence === 0
            ? [{ type: "open", program: "plan/long", plan: "plan", at: 0 }, turn("plan/long", sequence)]
            : [turn("plan/long", sequence)];
        applySteps(long, steps);
        const short = `plan/short ${sequence}`;
        const opening: ProgramStep[] = [{ type: "open", program: short, plan: "plan", at: 0 }, turn(short, 0)];
        const stored = await Promise.all([committer.append(0, steps), committer.append(0, opening)]);
        trackSegment(partition, stored[0].number, stored[0].bytes, "plan/long");
        trackSegment(partition, stored[1].number, stored[1].bytes, short);
        partition.programs.set(short, createProgramState(openProgram(short, "plan", undefined), true, 0));
    }
    return long;
}

test("a long program keeps its history and not the segments of ended ones, whenever its owner dies (guards against lost turns and endless journals)", async () => {
    const rows: Rows = new Map();
    const snapshots: Rows[] = [];
    const committer = await start(rows, snapshots);
    const compactor = createCompactor(committer);
    const partition = createPartition(0);
    const turns = 100;
    const long = await fill(partition, committer, turns);
    const journal = () => [...rows.keys()].filter(key => key.startsWith("journal/")).length;
    const before = journal();
    compactor.deleteUnusedSegments(partition);
    snapshots.length = 0;
    for (const key of [...partition.programs.keys()]) {
        if (key !== "plan/long") {
            partition.programs.delete(key);
        }
    }
    for (let round = 0; round < 3; round += 1) {
        compactor.deleteUnusedSegments(partition);
        await compactor.compact(partition);
    }
    compactor.deleteUnusedSegments(partition);
    await committer.flush();
    assert.ok(before >= turns);
    assert.ok(journal() <= 2, `${journal()} segments are left of ${before}`);
    for (const snapshot of snapshots) {
        const again = createPartition(0);
        const other = await start(new Map(), []);
        await recover(again, createMemoryTable(snapshot), other, 0);
        assert.deepEqual(again.programs.get("plan/long")?.program.turns, long.program.turns);
        await other[Symbol.asyncDispose]();
    }
    await committer[Symbol.asyncDispose]();
});

test("the ownership row says what was written, also of a partition whose owner is not listed (guards against a map read wrongly)", () => {
    const member = { incarnation: "1", address: "127.0.0.1", port: 1, dataCentre: "dc1", leaving: true };
    const map = { members: { d1: member, d2: { ...member, leaving: false } }, owners: ["d2", "d1", "gone"] };
    assert.deepEqual(ownershipRow.decode(ownershipRow.encode(map)), { ...map, owners: ["d2", "d1", ""] });
});
