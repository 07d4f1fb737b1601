import { type RowPage, type RowRange, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
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
/** The store accepts 100 conditions and removals in one call. */
const maxRowsPerChange = 50;
/** Maximum number of pages of a part that are read in one run. */
const maxPagesPerRun = 8;

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
            const expiredRows = await findExpiredRows(target, location);
            if (expiredRows.length === 0) {
                return;
            }
            // A row that was written in the meantime is in use; its condition then prevents the whole removal.
            const { applied } = await store.change({
                conditions: expiredRows.map(({ key, version }) => ({ ...location, key, version })),
                removals: expiredRows.map(({ key }) => ({ ...location, key })),
            }, { timeout: callTimeoutMs });
            log.info("rows.cleaned", { ...location, rows: applied ? expiredRows.length : 0 });
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.info("rows.notCleaned", { ...location, reason: error.message });
        }
    }

    async function findExpiredRows(target: CleanedTable, location: RowRange): Promise<readonly StoreRow[]> {
        let from = "";
        for (let pages = 1; pages <= maxPagesPerRun; pages += 1) {
            const page = await store.read({ ...location, from }, { timeout: callTimeoutMs });
            const expiredRows = expiredRowsOf(target, page);
            if (expiredRows.length > 0 || !page.more) {
                return expiredRows;
            }
            from = `${page.rows.at(-1)!.key}\0`;
        }
        return [];
    }

    function expiredRowsOf(target: CleanedTable, { rows, more }: RowPage): readonly StoreRow[] {
        const entries = entriesOf(target, rows);
        const complete = more ? entries.slice(0, -1) : entries;
        const expired: StoreRow[] = [];
        for (const entry of complete.filter(each => isExpired(target, each))) {
            if (expired.length + entry.length > maxRowsPerChange) {
                break;
            }
            expired.push(...entry);
        }
        return expired;
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

function retainedUntilOf({ retainedUntil }: CleanedTable, rows: readonly StoreRow[]): number {
    try {
        return retainedUntil(rows);
    }
    catch {
        // The caller logs that the rows cannot be decoded.
        return NaN;
    }
}

function entriesOf({ entryKeyOf }: CleanedTable, rows: readonly StoreRow[]): readonly (readonly StoreRow[])[] {
    const entries = new Map<string, StoreRow[]>();
    for (const row of rows) {
        const key = entryKeyOf(row.key);
        entries.set(key, [...entries.get(key) ?? [], row]);
    }
    return [...entries.values()];
}
