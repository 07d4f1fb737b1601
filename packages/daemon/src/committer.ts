import type { Clock, Lease, ProgramStep } from "@tamarackgauge/core";
import { TableError } from "@tamarackgauge/table";
import type { Check, Table } from "@tamarackgauge/table";
import createDebug from "debug";
import { keys, leaseRow, segmentRow } from "./rows.ts";
import { sleep, withTimeout } from "./wait.ts";

const log = createDebug("tamarackgauge:commit");

/** Rows that a transaction changes besides the lease row. */
export interface RowChanges {
    readonly checks?: readonly Check[];
    readonly puts: readonly { readonly key: string; readonly value: Buffer; }[];
    readonly deletes?: readonly string[];
}

/** Result of a change: applied at a revision, or not applied because a check failed. */
export type ChangeResult = { readonly applied: true; readonly revision: string; } | { readonly applied: false; };

/** A stored journal segment with its size in bytes. */
export interface StoredSegment {
    readonly number: number;
    readonly bytes: number;
}

/** The daemon lost its lease: another daemon has taken over, and all further writes fail. */
export class FencedError extends Error {}

/**
 * Writes the daemon's journal and renews its lease, one transaction at a time. Each transaction checks and rewrites
 * the lease row, so that all writes of a daemon fail once its lease was taken over.
 */
export interface Committer {
    readonly incarnation: string;
    /**
     * Appends steps to a partition's journal. Resolves with the segment that contains them once they are stored;
     * rejects with a `FencedError` if they cannot be stored, and if the number of the next segment is not known, as the
     * first segment would be overwritten.
     */
    append(partition: number, steps: readonly ProgramStep[]): Promise<StoredSegment>;
    /** Applies a change after all earlier writes; retries while the store is down. Rejects with a `FencedError`. */
    change(change: RowChanges): Promise<ChangeResult>;
    /** Sets the number of a partition's next segment; called after its journal was read. */
    setNextSegment(partition: number, next: number): void;
    /** Whether, by this daemon's clock, no other daemon can have taken over the lease. */
    leaseValid(): boolean;
    /** Milliseconds since the last confirmed transaction was sent. */
    leaseAge(): number;
    fenced(): boolean;
    queuedBytes(): number;
    /** Resolves when all earlier writes are stored. */
    flush(): Promise<void>;
    /** Stores all queued writes, deletes the lease row and stops. */
    releaseLease(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of a committer; times in milliseconds. */
export interface CommitterOptions {
    readonly table: Table;
    readonly name: string;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly ttl: number;
    readonly renewal: number;
    /** Minimum time between the starts of two transactions while writes are queued. */
    readonly commitInterval: number;
    readonly onFenced: () => void;
    /** Called after each attempt of a transaction with its duration; undefined if the store did not answer. */
    readonly onCommit?: (duration: number | undefined) => void;
}

interface PendingAppend {
    readonly type: "entry";
    readonly partition: number;
    readonly steps: readonly ProgramStep[];
    readonly bytes: number;
    readonly resolve: (segment: StoredSegment) => void;
    readonly reject: (error: Error) => void;
}

interface PendingChange {
    readonly type: "change";
    readonly change: RowChanges;
    readonly resolve: (result: ChangeResult) => void;
    readonly reject: (error: Error) => void;
}

/** Keeps a transaction below the 1 MB limit of the table service, with room for base64 and the lease row. */
const maxBatchBytes = 600_000;
const retryIntervalMs = 200;

/** Acquires the daemon's lease and starts renewing it. Throws a `TableError` if the store does not answer. */
export async function createCommitter(options: CommitterOptions): Promise<Committer> {
    const { table, name, incarnation, clock, ttl } = options;
    const leaseKey = keys.lease(name);
    const nextSegments = new Map<number, number>();
    let queue: (PendingAppend | PendingChange)[] = [];
    let pendingBytes = 0;
    let serial = 0;
    let revision = await acquire();
    let leaseConfirmedAt = clock.monotonic();
    let fenced = false;
    let stopped = false;
    let retriesStopped = false;
    let wake: (() => void) | undefined;
    let loopDone: Promise<void> = Promise.resolve();

    async function acquire(): Promise<string> {
        const current = await table.get(leaseKey);
        const result = await table.commit({
            checks: [{ key: leaseKey, revision: current?.revision ?? "0" }],
            puts: [{ key: leaseKey, value: leaseRow.encode(nextLease()) }],
        });
        if (!result.applied) {
            throw new TableError(`another process uses the name ${name}`);
        }
        return result.revision;
    }

    function nextLease(): Lease {
        serial += 1;
        return { incarnation, transaction: `${incarnation}/${serial}`, fenced: false };
    }

    async function runLoop(): Promise<void> {
        while (!stopped && !fenced) {
            if (queue.length === 0) {
                await waitForWork(options.renewal - (clock.monotonic() - leaseConfirmedAt));
            }
            if (stopped && queue.length === 0) {
                break;
            }
            const startedAt = clock.monotonic();
            await commitNext();
            await sleep(queue.length > 0 ? options.commitInterval - (clock.monotonic() - startedAt) : 0);
        }
    }

    async function commitNext(): Promise<void> {
        const first = queue[0];
        if (first?.type === "change") {
            queue = queue.slice(1);
            const { checks, puts, deletes } = first.change;
            settle([first], await commitWithRetry(puts, checks ?? [], deletes ?? []));
            return;
        }
        const batch = takeBatch();
        const { puts, stored } = segmentsOf(batch);
        const result = await commitWithRetry(puts, [], []);
        if (typeof result === "string") {
            settle(batch, result);
            return;
        }
        for (const entry of batch) {
            pendingBytes -= entry.bytes;
            // A batch stores one segment for each partition that it has entries of.
            entry.resolve(stored.get(entry.partition)!);
        }
    }

    function settle(items: readonly (PendingAppend | PendingChange)[],
        result: ChangeResult | "fenced" | "stopped"): void {
        for (const item of items) {
            if (typeof result === "string") {
                item.reject(fencedError());
            }
            else if (item.type === "change") {
                item.resolve(result);
            }
        }
        if (result === "fenced") {
            fence();
        }
    }

    function takeBatch(): readonly PendingAppend[] {
        const batch: PendingAppend[] = [];
        let bytes = 0;
        for (const item of queue) {
            if (item.type === "change" || (batch.length > 0 && bytes + item.bytes > maxBatchBytes)) {
                break;
            }
            bytes += item.bytes;
            batch.push(item);
        }
        queue = queue.slice(batch.length);
        return batch;
    }

    function segmentsOf(batch: readonly PendingAppend[]) {
        const byPartition = new Map<number, ProgramStep[]>();
        for (const { partition, steps } of batch) {
            byPartition.set(partition, [...byPartition.get(partition) ?? [], ...steps]);
        }
        const stored = new Map<number, StoredSegment>();
        const puts = [...byPartition].map(([partition, steps]) => {
            // `append` takes no entry of a partition whose next segment is not known.
            const number = nextSegments.get(partition)!;
            nextSegments.set(partition, number + 1);
            const value = segmentRow.encode(steps);
            stored.set(partition, { number, bytes: value.length });
            return { key: keys.segment(partition, number), value };
        });
        return { puts, stored };
    }

    /**
     * Commits one transaction and retries until the store answers. After a lost reply, the lease row shows whether the
     * transaction was applied. All attempts check the same lease revision, so at most one of them is applied.
     */
    async function commitWithRetry(
        puts: RowChanges["puts"],
        checks: readonly Check[],
        deletes: readonly string[],
    ): Promise<ChangeResult | "fenced" | "stopped"> {
        const nextLeaseRow = nextLease();
        const transaction = {
            checks: [{ key: leaseKey, revision }, ...checks],
            puts: [{ key: leaseKey, value: leaseRow.encode(nextLeaseRow) }, ...puts],
            deletes,
        };
        const firstSentAt = clock.monotonic();
        while (!retriesStopped && (!stopped || puts.length > 0)) {
            const sentAt = clock.monotonic();
            try {
                const result = await table.commit(transaction);
                const outcome = result.applied ? result.revision : await findOutcome(nextLeaseRow);
                options.onCommit?.(clock.monotonic() - sentAt);
                if (outcome === "fenced") {
                    return "fenced";
                }
                if (outcome === "conflict") {
                    // The lease row was not rewritten, so for other daemons the lease still runs from the last renewal.
                    return { applied: false };
                }
                // After a lost reply it is unknown which attempt renewed the lease, so the earliest time is used.
                leaseConfirmedAt = result.applied ? sentAt : firstSentAt;
                revision = outcome;
                return { applied: true, revision };
            }
            catch (error) {
                options.onCommit?.(undefined);
                log("The store did not confirm a transaction: %s.", (error as Error).message);
                await sleep(retryIntervalMs);
            }
        }
        return "stopped";
    }

    /** After an attempt that was not applied: the revision if an earlier attempt was, else `fenced` or `conflict`. */
    async function findOutcome(sentLease: Lease): Promise<string> {
        const row = await table.get(leaseKey);
        if (row === undefined) {
            return "fenced";
        }
        const current = leaseRow.decode(row.value);
        if (current.incarnation !== incarnation || current.fenced) {
            return "fenced";
        }
        return current.transaction === sentLease.transaction ? row.revision : "conflict";
    }

    function fence(): void {
        if (fenced) {
            return;
        }
        fenced = true;
        log("The lease of %s was taken over.", name);
        queue.forEach(item => item.reject(fencedError()));
        queue = [];
        pendingBytes = 0;
        options.onFenced();
    }

    function fencedError(): FencedError {
        return new FencedError(`the lease of ${name} was taken over`);
    }

    async function waitForWork(timeoutMs: number): Promise<void> {
        let timer: NodeJS.Timeout | undefined;
        await new Promise<void>(resolve => {
            wake = resolve;
            timer = setTimeout(resolve, Math.max(0, timeoutMs));
        });
        clearTimeout(timer);
        wake = undefined;
    }

    function append(partition: number, steps: readonly ProgramStep[]): Promise<StoredSegment> {
        if (!nextSegments.has(partition)) {
            return Promise.reject(new Error(`the journal of partition ${partition} was not read`));
        }
        const bytes = segmentRow.encode([...steps]).length;
        pendingBytes += bytes;
        return enqueue((resolve, reject) => ({ type: "entry", partition, steps, bytes, resolve, reject }));
    }

    function change(rowChanges: RowChanges): Promise<ChangeResult> {
        return enqueue((resolve, reject) => ({ type: "change", change: rowChanges, resolve, reject }));
    }

    function enqueue<Value>(
        build: (resolve: (value: Value) => void, reject: (error: Error) => void) => PendingAppend | PendingChange,
    ): Promise<Value> {
        if (fenced || stopped) {
            return Promise.reject(fencedError());
        }
        return new Promise((resolve, reject) => {
            queue.push(build(resolve, reject));
            wake?.();
        });
    }

    async function releaseLease(): Promise<void> {
        if (!fenced && !stopped) {
            await change({ puts: [] });
        }
        stopped = true;
        wake?.();
        await loopDone;
        if (!fenced) {
            await table.commit({ checks: [{ key: leaseKey, revision }], puts: [], deletes: [leaseKey] });
        }
    }

    loopDone = runLoop();
    return {
        incarnation,
        append,
        change,
        setNextSegment: (partition, next) => {
            nextSegments.set(partition, next);
        },
        leaseValid: () => !fenced && clock.monotonic() - leaseConfirmedAt < ttl * leaseTrustRatio,
        leaseAge: () => clock.monotonic() - leaseConfirmedAt,
        fenced: () => fenced,
        queuedBytes: () => pendingBytes,
        flush: async () => {
            await change({ puts: [] });
        },
        releaseLease,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            wake?.();
            await withTimeout(loopDone, ttl);
            // The lease has expired by now. Further retries would keep the process alive while the store is down.
            retriesStopped = true;
        },
    };
}

/** The holder trusts its lease for 90 % of the time to live, so that clock rates may differ by a tenth. */
const leaseTrustRatio = 0.9;
