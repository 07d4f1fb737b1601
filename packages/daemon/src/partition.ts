import { applyProgramStep, emptyDigest, extendDigest, historyOf } from "@tamarackgauge/core";
import type { Program, ProgramStep } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import { FencedError } from "./committer.ts";
import type { Committer } from "./committer.ts";
import { keys, segmentNumberOf, segmentRow } from "./rows.ts";
import type { RunningCall } from "./running.ts";
import { sleep } from "./wait.ts";

/** In-memory state of a program at its owner. */
export interface ProgramState {
    program: Program;
    /** Whether the `open` step of the program is in the journal or queued for it. */
    opened: boolean;
    /** Digest of the history, extended with each turn. */
    digest: string;
    /** The store has confirmed all turns with a lower sequence number. */
    storedUpTo: number;
    running: RunningCall | undefined;
    /** Called when the program's state changes; each wakes a call that waits for an earlier one. */
    readonly wakeCallbacks: Set<() => void>;
    /** Whether the program occupies one of its plan's slots for concurrent programs. */
    hasSlot: boolean;
    /** Monotonic time of the last activity of its caller, in milliseconds. */
    lastActiveAt: number;
}

/** A segment of a partition's journal. */
export interface Segment {
    readonly bytes: number;
    /** Keys of the programs whose steps in this segment are still needed. */
    readonly programs: Set<string>;
}

/** In-memory state of a partition at its owner. */
export interface Partition {
    readonly number: number;
    readonly programs: Map<string, ProgramState>;
    /** Segments of the journal by segment number. */
    readonly segments: Map<number, Segment>;
    /** Whether a compaction is in progress. */
    compacting: boolean;
    /** Resolves when the journal has been read; rejects if ownership is lost before that. */
    ready: Promise<void>;
    /** Whether new calls are refused because the partition is being handed over. */
    draining: boolean;
    /** Whether writes are rejected because another daemon is about to become the owner. */
    closed: boolean;
    /** Whether this daemon is no longer the owner. */
    lost: boolean;
    /** Whether the journal has been read. */
    recovered: boolean;
}

const recoveryRetryIntervalMs = 200;

/** Creates a partition whose journal has not been read yet. */
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

/** Creates the in-memory state of a program; its turns count as stored. */
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

/** Reads the journal of a partition; retries until the store answers or ownership is lost. */
export async function recover(partition: Partition, table: Table, committer: Committer, now: number): Promise<void> {
    const programs = new Map<string, Program>();
    let after: string | undefined;
    let nextSegment = 0;
    for (;;) {
        if (partition.lost || committer.fenced()) {
            throw new FencedError(`partition ${partition.number} was lost while its journal was read`);
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

/** Records that a segment contains steps of a program. */
export function trackSegment(partition: Partition, segment: number, bytes: number, program: string): void {
    const trackedSegment = partition.segments.get(segment);
    if (trackedSegment === undefined) {
        partition.segments.set(segment, { bytes, programs: new Set([program]) });
    }
    else {
        trackedSegment.programs.add(program);
    }
}

/** Applies steps to a program in memory and updates the digest of its history. */
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

/** Wakes the waiting calls, which then check the program's state again. */
export function wakeWaitingCalls(state: ProgramState): void {
    const callbacks = [...state.wakeCallbacks];
    state.wakeCallbacks.clear();
    callbacks.forEach(wake => wake());
}
