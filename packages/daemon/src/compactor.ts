import { compactSteps } from "@tamarackgauge/core";
import createDebug from "debug";
import type { Committer } from "./committer.ts";
import { trackSegment } from "./partition.ts";
import type { Partition, ProgramState } from "./partition.ts";
import { keys } from "./rows.ts";

const log = createDebug("tamarackgauge:compact");

/** Limits the size of the partitions' journals. */
export interface Compactor {
    /** Deletes segments that no program in memory needs. */
    deleteUnusedSegments(partition: Partition): void;
    /** Rewrites programs of an old segment whose other programs are no longer needed, so that it can be deleted. */
    compact(partition: Partition): Promise<void>;
}

/** Below the table service's limit of operations per transaction, with room for the lease row. */
const maxDeletesPerTransaction = 100;
/** A journal with fewer segments is not compacted, since recovery reads it in one page. */
const minSegments = 64;
/** A segment is compacted when at most this share of its programs is still needed. */
const maxNeededRatio = 0.5;
/** Programs rewritten in one run; limited so that their steps do not delay calls that wait for a commit. */
const maxProgramsPerRun = 8;

/** Creates the compactor of an incarnation. */
export function createCompactor(committer: Committer): Compactor {
    /** Number of programs of each segment when it was written; the segment itself lists only those still needed. */
    const initialProgramCounts = new WeakMap<object, number>();

    function deleteUnusedSegments(partition: Partition): void {
        const unusedSegments: number[] = [];
        for (const [number, segment] of partition.segments) {
            initialProgramCounts.set(segment, Math.max(initialProgramCounts.get(segment) ?? 0, segment.programs.size));
            for (const key of segment.programs) {
                if (!partition.programs.has(key)) {
                    segment.programs.delete(key);
                }
            }
            if (segment.programs.size === 0) {
                unusedSegments.push(number);
            }
        }
        unusedSegments.forEach(number => partition.segments.delete(number));
        for (let start = 0; start < unusedSegments.length; start += maxDeletesPerTransaction) {
            const deletes = unusedSegments.slice(start, start + maxDeletesPerTransaction).map(number =>
                keys.segment(partition.number, number)
            );
            committer.change({ puts: [], deletes }).catch(() => undefined);
        }
    }

    async function compact(partition: Partition): Promise<void> {
        if (partition.compacting || partition.segments.size < minSegments) {
            return;
        }
        partition.compacting = true;
        try {
            for (const state of choosePrograms(partition)) {
                await rewrite(partition, state);
            }
        }
        catch (error) {
            log("Partition %d was not compacted: %s.", partition.number, (error as Error).message);
        }
        finally {
            partition.compacting = false;
        }
    }

    /** Programs without a running call in the oldest segment that is due for compaction. */
    function choosePrograms(partition: Partition): readonly ProgramState[] {
        const oldest = [...partition.segments.entries()].sort(([left], [right]) => left - right)
            .find(([, segment]) => segment.programs.size <= (initialProgramCounts.get(segment) ?? 0) * maxNeededRatio);
        const programKeys = [...oldest?.[1].programs ?? []].slice(0, maxProgramsPerRun);
        return programKeys.flatMap(key => {
            const state = partition.programs.get(key);
            return state === undefined || state.running !== undefined ? [] : [state];
        });
    }

    /**
     * Rewrites all steps of a program. The copies are stored before the old steps are dropped, and recovery ignores
     * duplicate steps, so a crash in between loses nothing.
     */
    async function rewrite(partition: Partition, state: ProgramState): Promise<void> {
        const { key } = state.program;
        const oldSegments = new Set(partition.segments.keys());
        const stored = await committer.append(partition.number, compactSteps(state.program));
        trackSegment(partition, stored.number, stored.bytes, key);
        for (const number of oldSegments) {
            partition.segments.get(number)?.programs.delete(key);
        }
    }

    return { deleteUnusedSegments, compact };
}
