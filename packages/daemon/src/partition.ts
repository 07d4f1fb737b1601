import { applyProgramStep, emptyDigest, extendDigest, historyOf } from "@tamarackgauge/core";
import type { Program, ProgramStep } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import { FencedError } from "./committer.ts";
import type { Committer } from "./committer.ts";
import { keys, segmentNumberOf, segmentRow } from "./rows.ts";
import type { RunningCall } from "./running.ts";
import { sleep } from "./wait.ts";

/** A program in the memory of its owner. */
export interface ProgramState {
    program: Program;
    /** The journal has, or will have, the step that opens the program. */
    opened: boolean;
    /** Digest of the history, continued with each turn. */
    digest: string;
    /** Sequence number up to which the store has confirmed the turns. */
    storedUpTo: number;
    running: RunningCall | undefined;
    /** Resolved when the program's state changes, for calls that wait for their turn. */
    readonly wakeCallbacks: Set<() => void>;
    /** The program counts among the programs at once of its plan. */
    hasSlot: boolean;
    /** Monotonic time of the last sign of its caller, in milliseconds. */
    lastActiveAt: number;
}

/** A segment of a partition's journal. */
export interface Segment {
    readonly bytes: number;
    /** Keys of the programs whose steps in it are still needed. */
    readonly programs: Set<string>;
}

/** A partition in the memory of its owner. */
export interface Partition {
    readonly number: number;
    readonly programs: Map<string, ProgramState>;
    /** What each segment of the journal holds, by segment number. */
    readonly segments: Map<number, Segment>;
    /** A compaction is under way. */
    compacting: boolean;
    /** Resolves when the journal has been read; rejects when ownership was lost before. */
    ready: Promise<void>;
    /** No call is taken while the partition is handed over. */
    draining: boolean;
    /** Nothing is written any more: the partition is about to have another owner. */
    closed: boolean;
    lost: boolean;
    /** The journal has been read. */
    recovered: boolean;
}

const recoveryRetryIntervalMs = 200;

/** Creates a partition whose journal is still to be read. */
export function createPartition(number: number): Partition {
    return {
        number,
        programs: new Map(),
        segments: new Map(),
        compacting: false,
        ready: Promise.resolve(),
        draining: false,
        closed: false,
        lost: false,
        recovered: false,
    };
}

/** Creates the state of a program. */
export function createProgramState(program: Program, opened: boolean, now: number): ProgramState {
    return {
        program,
        opened,
        digest: extendDigest(emptyDigest, historyOf(program)),
        storedUpTo: program.nextSequence,
        running: undefined,
        wakeCallbacks: new Set(),
        hasSlot: false,
        lastActiveAt: now,
    };
}

/** Reads the journal of a partition, however long the store takes. */
export async function recover(partition: Partition, table: Table, committer: Committer, now: number): Promise<void> {
    const programs = new Map<string, Program>();
    let after: string | undefined;
    let nextSegment = 0;
    for (;;) {
        if (partition.lost || committer.fenced()) {
            throw new FencedError(`partition ${partition.number} was lost during its recovery`);
        }
        const page = await table.range(keys.journal(partition.number), after).catch(() => undefined);
        if (page === undefined) {
            await sleep(recoveryRetryIntervalMs);
            continue;
        }
        for (const row of page.rows) {
            const segment = segmentNumberOf(row.key);
            applySegment(programs, segmentRow.decode(row.value), partition, segment, row.value.length);
            after = row.key;
            nextSegment = segment + 1;
        }
        if (!page.more) {
            break;
        }
    }
    committer.setNextSegment(partition.number, nextSegment);
    for (const [key, program] of programs) {
        partition.programs.set(key, createProgramState(program, true, now));
    }
    partition.recovered = true;
}

function applySegment(
    programs: Map<string, Program>,
    steps: readonly ProgramStep[],
    partition: Partition,
    segment: number,
    bytes: number,
): void {
    for (const step of steps) {
        trackSegment(partition, segment, bytes, step.program);
        const next = applyProgramStep(programs.get(step.program), step);
        if (next !== undefined) {
            programs.set(step.program, next);
        }
    }
}

/** Remembers that a segment holds steps of a program. */
export function trackSegment(partition: Partition, segment: number, bytes: number, program: string): void {
    const trackedSegment = partition.segments.get(segment);
    if (trackedSegment === undefined) {
        partition.segments.set(segment, { bytes, programs: new Set([program]) });
    }
    else {
        trackedSegment.programs.add(program);
    }
}

/** Applies steps to a program in memory and continues its digest. */
export function applySteps(state: ProgramState, steps: readonly ProgramStep[]): void {
    for (const step of steps) {
        const before = state.program;
        const after = applyProgramStep(before, step) ?? before;
        if (step.type === "restore") {
            state.digest = extendDigest(emptyDigest, historyOf(after));
        }
        else if (after.turns.length > before.turns.length) {
            state.digest = extendDigest(state.digest, historyOf({ ...after, turns: after.turns.slice(-1) }));
        }
        state.program = after;
    }
    wakeWaitingCalls(state);
}

/** Lets the calls that wait look at the program again. */
export function wakeWaitingCalls(state: ProgramState): void {
    const callbacks = [...state.wakeCallbacks];
    state.wakeCallbacks.clear();
    callbacks.forEach(wake => wake());
}
