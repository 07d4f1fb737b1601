import { StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { HedgeableStore } from "./storeRetry.ts";
import { turnRowKey, turnTableName as table } from "./turnRow.ts";

/** Rows of a turn that were written and will be removed. */
export interface Expiry {
    readonly id: string;
    readonly part: string;
    /** Index of the first row that is still to be removed; rows before it have been. */
    readonly firstRow: number;
    readonly rowCount: number;
    /**
     * Version of the turn's first row; 0 if it has been removed. If the row has a later version, the turn was written
     * again.
     */
    readonly version: number;
    /** Monotonic time in ms. */
    readonly removeAt: number;
    /** Retention in ms for which the turn was written. */
    readonly retention: number;
}

/** Removes the rows of turns whose retention has ended. */
export interface TurnRemoval extends Disposable {
    schedule(expiry: Expiry): void;
}

/** Dependencies of the removal. */
export interface TurnRemovalParts {
    readonly store: HedgeableStore;
    /**
     * Longest retention of any route at present, in ms. Rows that were written for a shorter one are kept for this one,
     * as operators may move a program to another route.
     */
    readonly longestRetention: () => number;
    readonly log: Log;
    readonly now: () => number;
}

const removalIntervalMs = 2_000;
/** The store accepts this many conditions and removals in one call. */
const maxEntriesPerCall = 100;

/** Starts the removal of the rows that this gateway writes. */
export function createTurnRemoval({ store, longestRetention, log, now }: TurnRemovalParts): TurnRemoval {
    const expiries: Expiry[] = [];
    const timer = setInterval(() => void removeExpired(), removalIntervalMs);
    timer.unref();

    function isDue({ removeAt, retention }: Expiry): boolean {
        return removeAt + Math.max(0, longestRetention() - retention) < now();
    }

    /** Removes the expired rows of one part; the next calls remove those of the other parts. */
    async function removeExpired(): Promise<void> {
        const due = expiries.filter(isDue);
        const first = due[0];
        if (first === undefined) {
            return;
        }
        const { part } = first;
        const batch = batchWithin(due.filter(entry => entry.part === part));
        const conditions = batch.map(({ id, version }) => ({ table, part, key: turnRowKey(id, 0), version }));
        const removals = batch.flatMap(entry =>
            rowsToRemove(entry).map(index => ({ table, part, key: turnRowKey(entry.id, index) }))
        );
        try {
            const result = await store.change({ conditions, removals }, { timeout: removalIntervalMs });
            const settled = result.applied ? batch : batch.filter(entry => hasChanged(entry, result.rows));
            settled.forEach(entry => expiries.splice(expiries.indexOf(entry), 1));
            if (result.applied) {
                expiries.push(...batch.flatMap(remainderOf));
            }
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.info("rows.notRemoved", { table, part, turns: batch.length, reason: error.message,
                againIn: removalIntervalMs });
        }
    }

    return { schedule: expiry => void expiries.push(expiry), [Symbol.dispose]: () => clearInterval(timer) };
}

/** Whether a turn's first row is not the one that is to be removed; `rows` are the current first rows. */
function hasChanged({ id, version }: Expiry, rows: readonly StoreRow[]): boolean {
    const firstKey = turnRowKey(id, 0);
    return version !== (rows.find(({ key }) => key === firstKey)?.version ?? 0);
}

/** Indexes of the rows of a turn that one call removes. */
function rowsToRemove({ firstRow, rowCount }: Expiry): readonly number[] {
    const count = Math.min(rowCount - firstRow, maxEntriesPerCall - 1);
    return Array.from({ length: count }, (_, index) => firstRow + index);
}

/** What remains to be removed of a turn after one call. */
function remainderOf(entry: Expiry): readonly Expiry[] {
    const firstRow = entry.firstRow + rowsToRemove(entry).length;
    return firstRow < entry.rowCount ? [{ ...entry, firstRow, version: 0 }] : [];
}

/** The first turns whose rows can be removed in one call. */
function batchWithin(entries: readonly Expiry[]): readonly Expiry[] {
    let count = 0;
    const end = entries.findIndex(entry => {
        count += 1 + rowsToRemove(entry).length;
        return count > maxEntriesPerCall;
    });
    return end < 0 ? entries : entries.slice(0, end);
}
