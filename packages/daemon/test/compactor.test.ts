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

async function startCommitter(rows: Rows, snapshots: Rows[]) {
    const table = createMemoryTable(rows, {
        after: async () => {
            snapshots.push(new Map(rows));
        },
    });
    const committer = await createCommitter({
        table,
        name: "d1",
        incarnation: "1",
        clock: systemClock,
        ttl: 60_000,
        renewal: 60_000,
        commitInterval: 0,
        onFenced: () => undefined,
    });
    // As after reading an empty journal.
    committer.setNextSegment(0, 0);
    return committer;
}

/** Appends one long and many short programs; a turn of the long one has its own segment or shares it with a short one. */
async function fillPartition(partition: Partition, committer: Awaited<ReturnType<typeof startCommitter>>,
    turns: number): Promise<ProgramState> {
    const longProgram = createProgramState(openProgram("plan/long", "plan", undefined), true, 0);
    partition.programs.set("plan/long", longProgram);
    for (let sequence = 0; sequence < turns; sequence += 1) {
        const steps: ProgramStep[] = sequence === 0
            ? [{ type: "open", program: "plan/long", plan: "plan", at: 0 }, turn("plan/long", sequence)]
            : [turn("plan/long", sequence)];
        applySteps(longProgram, steps);
        const shortKey = `plan/short ${sequence}`;
        const shortSteps: ProgramStep[] = [{ type: "open", program: shortKey, plan: "plan", at: 0 }, turn(shortKey, 0)];
        const stored = await Promise.all([committer.append(0, steps), committer.append(0, shortSteps)]);
        trackSegment(partition, stored[0].number, stored[0].bytes, "plan/long");
        trackSegment(partition, stored[1].number, stored[1].bytes, shortKey);
        partition.programs.set(shortKey, createProgramState(openProgram(shortKey, "plan", undefined), true, 0));
    }
    return longProgram;
}

test("a long program keeps its history but not the segments of ended programs, whenever its owner fails (guards against lost turns and journals that grow without bound)", async () => {
    const rows: Rows = new Map();
    const snapshots: Rows[] = [];
    const committer = await startCommitter(rows, snapshots);
    const compactor = createCompactor(committer);
    const partition = createPartition(0);
    const turns = 100;
    const longProgram = await fillPartition(partition, committer, turns);
    const segmentCount = () => [...rows.keys()].filter(key => key.startsWith("journal/")).length;
    const segmentsBefore = segmentCount();
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
    assert.ok(segmentsBefore >= turns);
    assert.ok(segmentCount() <= 2, `${segmentCount()} segments are left of ${segmentsBefore}`);
    for (const snapshot of snapshots) {
        const recovered = createPartition(0);
        const otherCommitter = await startCommitter(new Map(), []);
        await recover(recovered, createMemoryTable(snapshot), otherCommitter, 0);
        assert.deepEqual(recovered.programs.get("plan/long")?.program.turns, longProgram.program.turns);
        await otherCommitter[Symbol.asyncDispose]();
    }
    await committer[Symbol.asyncDispose]();
});

test("the ownership row decodes to the encoded map, and a partition whose owner is not a member has no owner (guards against a wrongly decoded map)", () => {
    const member = { incarnation: "1", address: "127.0.0.1", port: 1, dataCentre: "dc1", leaving: true };
    const map = { members: { d1: member, d2: { ...member, leaving: false } }, owners: ["d2", "d1", "gone"] };
    assert.deepEqual(ownershipRow.decode(ownershipRow.encode(map)), { ...map, owners: ["d2", "d1", ""] });
});
