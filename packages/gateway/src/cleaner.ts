import { type RowRange, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";

/** A table whose expired rows are removed. */
export interface CleanedTable {
    readonly table: string;
    readonly partCount: number;
    /** Returns the key of the first row of the entry that a row belongs to. */
    readonly entryKeyOf: (key: string) => string;
    /**
     * Returns until when an entry is needed at least, in ms since 1970; throws or returns no number if its rows cannot be
     * decoded.
     */
    readonly retainedUntil: (rows: readonly StoreRow[]) => number;
    /**
     * Time in ms after `retainedUntil` at which rows are removed. It is so long that clock differences between VMs cannot
     * cause the removal of rows that are still needed.
     */
    readonly maxAgeMs: number;
}

/** Dependencies and options of a cleaner. */
export interface CleanerParts {
    readonly store: Store;
    readonly tables: readonly CleanedTable[];
    readonly log: Log;
    /** Interval between two runs, in ms. Each run cleans one part of one table. */
    readonly interval?: number;
}

/** With 12 gateways, each of the 768 parts is cleaned about every two hours. */
const defaultIntervalMs = 120_000;
const callTimeoutMs = 1_500;
/** The store accepts 100 conditions and removals in one call; one condition may be that of an entry's first row. */
const maxRowsPerChange = 49;
/** Maximum number of calls of one run that remove rows; further rows are left for later runs. */
const maxChangesPerRun = 4;
/** Maximum number of pages of a part that are read in one run, besides those of an expired entry that has begun. */
const maxPagesPerRun = 8;

type RowVersion = Pick<StoreRow, "key" | "version">;

/** Rows that belong together, of which the first one is needed to read the others. */
interface Entry {
    readonly rows: readonly RowVersion[];
    readonly expired: boolean;
}

/** Rows that one call removes, under the condition that they have not changed, nor the first row of their entry. */
interface Batch {
    readonly rows: readonly RowVersion[];
    readonly conditions: readonly RowVersion[];
}

/**
 * Starts to remove the rows that no gateway removed because their writers have ended, one part of a table at a time.
 */
export function createCleaner({ store, tables, log, interval = defaultIntervalMs }: CleanerParts): Disposable {
    const timer = setInterval(() => void clean(), interval);
    timer.unref();

    async function clean(): Promise<void> {
        const target = tables[Math.floor(Math.random() * tables.length)]!;
        const location = { table: target.table, part: String(Math.floor(Math.random() * target.partCount)) };
        try {
            const batches = batchesOf(await findExpiredEntries(target, location));
            if (batches.length > 0) {
                log.info("rows.cleaned", { ...location, rows: await removeRows(location, batches) });
            }
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.info("rows.notCleaned", { ...location, reason: error.message });
        }
    }

    /** Returns the number of removed rows. A row that was written in the meantime is in use, and ends the removal. */
    async function removeRows(location: RowRange, batches: readonly Batch[]): Promise<number> {
        let removedRows = 0;
        for (const { rows, conditions } of batches.slice(0, maxChangesPerRun)) {
            const { applied } = await store.change({
                conditions: conditions.map(({ key, version }) => ({ ...location, key, version })),
                removals: rows.map(({ key }) => ({ ...location, key })),
            }, { timeout: callTimeoutMs });
            if (!applied) {
                break;
            }
            removedRows += rows.length;
        }
        return removedRows;
    }

    /** Returns the expired entries of the first page on which one ends. */
    async function findExpiredEntries(target: CleanedTable, location: RowRange): Promise<readonly Entry[]> {
        let from = "";
        let unfinished: Entry | undefined;
        for (let pages = 1; pages <= maxPagesPerRun || unfinished?.expired === true; pages += 1) {
            const page = await store.read({ ...location, from }, { timeout: callTimeoutMs });
            const entries = entriesOf(target, page.rows, unfinished);
            unfinished = page.more ? entries.at(-1) : undefined;
            const expired = entries.filter(entry => entry.expired && entry !== unfinished);
            if (expired.length > 0 || !page.more) {
                return expired;
            }
            from = `${page.rows.at(-1)!.key}\0`;
        }
        return [];
    }

    /** Groups the rows of a page. Whether an entry has expired is known from the page on which it begins. */
    function entriesOf(target: CleanedTable, rows: readonly StoreRow[],
        unfinished: Entry | undefined): readonly Entry[] {
        const unfinishedKey = unfinished === undefined ? undefined : target.entryKeyOf(unfinished.rows[0]!.key);
        const groups = groupByEntry(target, rows);
        const rest = groups.find(group => target.entryKeyOf(group[0]!.key) === unfinishedKey) ?? [];
        const begun = groups.filter(group => group !== rest).map(group => ({ rows: group.map(versionOf),
            expired: isExpired(target, group) })
        );
        return unfinished === undefined
            ? begun
            : [{ ...unfinished, rows: [...unfinished.rows, ...rest.map(versionOf)] }, ...begun];
    }

    function isExpired(target: CleanedTable, rows: readonly StoreRow[]): boolean {
        const retainedUntil = retainedUntilOf(target, rows);
        if (!Number.isFinite(retainedUntil)) {
            log.warn("rows.unreadable", { table: target.table, key: rows[0]!.key });
            return false;
        }
        return Date.now() - retainedUntil > target.maxAgeMs;
    }

    return { [Symbol.dispose]: () => clearInterval(timer) };
}

function versionOf({ key, version }: StoreRow): RowVersion {
    return { key, version };
}

/** Divides entries into the calls that remove them; small ones share a call. */
function batchesOf(entries: readonly Entry[]): readonly Batch[] {
    const batches: Batch[] = [];
    for (const batch of entries.flatMap(batchesOfEntry)) {
        const last = batches.at(-1);
        if (last !== undefined && last.rows.length + batch.rows.length <= maxRowsPerChange) {
            batches[batches.length - 1] = { rows: [...last.rows, ...batch.rows],
                conditions: [...last.conditions, ...batch.conditions] };
        }
        else {
            batches.push(batch);
        }
    }
    return batches;
}

/** From the last row to the first one, as rows without a first one cannot be read, and would be left. */
function batchesOfEntry({ rows }: Entry): readonly Batch[] {
    const batches: Batch[] = [];
    for (let end = rows.length; end > 0; end -= maxRowsPerChange) {
        const batch = rows.slice(Math.max(0, end - maxRowsPerChange), end);
        batches.push({ rows: batch, conditions: batch.includes(rows[0]!) ? batch : [rows[0]!, ...batch] });
    }
    return batches;
}

function retainedUntilOf({ retainedUntil }: CleanedTable, rows: readonly StoreRow[]): number {
    try {
        return retainedUntil(rows);
    }
    catch {
        // The caller logs that the rows cannot be decoded.
        return NaN;
    }
}

function groupByEntry({ entryKeyOf }: CleanedTable, rows: readonly StoreRow[]): readonly (readonly StoreRow[])[] {
    const groups = new Map<string, StoreRow[]>();
    for (const row of rows) {
        const key = entryKeyOf(row.key);
        groups.set(key, [...groups.get(key) ?? [], row]);
    }
    return [...groups.values()];
}
