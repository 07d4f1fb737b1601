import { compactSteps } from "@tamarackgauge/core";
import createDebug from "debug";
import type { Committer } from "./committer.ts";
import { noteSegment } from "./partition.ts";
import type { Live, Partition } from "./partition.ts";
import { keys } from "./rows.ts";

const log = createDebug("tamarackgauge:compact");

/** Keeps the journals of partitions small. */
export interface Compactor {
    /** Deletes segments that no program in memory needs. */
    collect(partition: Partition): void;
    /** Rewrites old programs that keep mostly dead segments from being deleted. */
    compact(partition: Partition): Promise<void>;
}

/** Operations that one transaction of the table service takes, with room for the lease row. */
const deletesAtOnce = 100;
/** A short journal is read in one page anyway. */
const leastSegments = 64;
/** A segment is worth emptying when at most this share of its programs is still alive. */
const liveShare = 0.5;
/** Programs rewritten in one go, so that their steps do not hold up the calls that wait for a commit. */
const programsAtOnce = 8;

/** Creates the compactor of an incarnation. */
export function createCompactor(committer: Committer): Compactor {
    /** Programs that a segment held when it was written; the segment itself keeps only those still needed. */
    const sizes = new WeakMap<object, number>();

    function collect(partition: Partition): void {
        const dead: number[] = [];
        for (const [number, segment] of partition.segments) {
            sizes.set(segment, Math.max(sizes.get(segment) ?? 0, segment.programs.size));
            for (const key of segment.programs) {
                if (!partition.programs.has(key)) {
                    segment.programs.delete(key);
                }
            }
            if (segment.programs.size === 0) {
                dead.push(number);
            }
        }
        dead.forEach(number => partition.segments.delete(number));
        for (let start = 0; start < dead.length; start += deletesAtOnce) {
            const deletes = dead.slice(start, start + deletesAtOnce).map(number =>
                keys.segment(partition.number, number)
            );
            committer.change({ puts: [], deletes }).catch(() => undefined);
        }
    }

    async function compact(partition: Partition): Promise<void> {
        if (partition.compacting || partition.segments.size < leastSegments) {
            return;
        }
        partition.compacting = true;
        try {
            for (const live of choose(partition)) {
                await rewrite(partition, live);
            }
        }
        catch (error) {
            log("Partition %d was not compacted: %s.", partition.number, (error as Error).message);
        }
        finally {
            partition.compacting = false;
        }
    }

    /** Idle programs of the oldest segment that is mostly dead. */
    function choose(partition: Partition): readonly Live[] {
        const oldest = [...partition.segments.entries()].sort(([left], [right]) => left - right)
            .find(([, segment]) => segment.programs.size <= (sizes.get(segment) ?? 0) * liveShare);
        const keysInIt = [...oldest?.[1].programs ?? []].slice(0, programsAtOnce);
        return keysInIt.flatMap(key => {
            const live = partition.programs.get(key);
            return live === undefined || live.running !== undefined ? [] : [live];
        });
    }

    /**
     * Writes all steps of a program anew. The copies are stored before the old steps are given up, and a step that
     * is read twice counts once, so that a death in between loses nothing.
     */
    async function rewrite(partition: Partition, live: Live): Promise<void> {
        const { key } = live.program;
        const before = new Set(partition.segments.keys());
        const stored = await committer.append(partition.number, compactSteps(live.program));
        noteSegment(partition, stored.number, stored.bytes, key);
        for (const number of before) {
            partition.segments.get(number)?.programs.delete(key);
        }
    }

    return { collect, compact };
}
