import { type RowPage, type RowRange, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";

/** A table whose old rows are removed. */
export interface CleanedTable {
    readonly table: string;
    readonly parts: number;
    /** The key of the first row of the entry that a row belongs to. */
    readonly entryOf: (key: string) => string;
    /** When an entry was written, in ms since 1970; throws or gives no number if its rows cannot be read. */
    readonly writtenAt: (rows: readonly StoreRow[]) => number;
    /**
     * Rows without a write for this long are removed, in ms: far more than any retention, so that clocks of VMs that differ
     * remove nothing that is needed.
     */
    readonly keptFor: number;
}

/** Parts of a cleaner. */
export interface CleanerParts {
    readonly store: Store;
    readonly tables: readonly CleanedTable[];
    readonly log: Log;
    /** Time between two looks at a part, in ms. */
    readonly interval?: number;
}

/** With 12 gateways each part of 768 is looked at about every two hours. */
const defaultInterval = 120_000;
const callTimeout = 1_500;
/** The store takes 100 conditions and removals in one call. */
const mostRows = 50;
/** Pages of a part that are read in one look. */
const mostPages = 8;

/** Removes rows whose writers are gone, one part of one table at a time. */
export function createCleaner({ store, tables, log, interval = defaultInterval }: CleanerParts): Disposable {
    const timer = setInterval(() => void clean(), interval);
    timer.unref();

    async function clean(): Promise<void> {
        const cleaned = tables[Math.floor(Math.random() * tables.length)]!;
        const place = { table: cleaned.table, part: String(Math.floor(Math.random() * cleaned.parts)) };
        try {
            const old = await findOld(cleaned, place);
            if (old.length === 0) {
                return;
            }
            // A row that is written meanwhile is in use, and its condition keeps all of them for the next time.
            const { applied } = await store.change({
                conditions: old.map(({ key, version }) => ({ ...place, key, version })),
                removals: old.map(({ key }) => ({ ...place, key })),
            }, { timeout: callTimeout });
            log.info("rows.cleaned", { ...place, rows: applied ? old.length : 0 });
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.info("rows.notCleaned", { ...place, reason: error.message });
        }
    }

    async function findOld(cleaned: CleanedTable, place: RowRange): Promise<readonly StoreRow[]> {
        let from = "";
        for (let pages = 1; pages <= mostPages; pages += 1) {
            const page = await store.read({ ...place, from }, { timeout: callTimeout });
            const old = oldRows(cleaned, page);
            if (old.length > 0 || !page.more) {
                return old;
            }
            from = `${page.rows.at(-1)!.key}\0`;
        }
        return [];
    }

    function oldRows(cleaned: CleanedTable, { rows, more }: RowPage): readonly StoreRow[] {
        const entries = entriesOf(cleaned, rows);
        const whole = more ? entries.slice(0, -1) : entries;
        const old: StoreRow[] = [];
        for (const entry of whole.filter(each => isOld(cleaned, each))) {
            if (old.length + entry.length > mostRows) {
                break;
            }
            old.push(...entry);
        }
        return old;
    }

    function isOld(cleaned: CleanedTable, rows: readonly StoreRow[]): boolean {
        const at = writtenAtOf(cleaned, rows);
        if (!Number.isFinite(at)) {
            log.warn("rows.unreadable", { table: cleaned.table, key: rows[0]!.key });
            return false;
        }
        return Date.now() - at > cleaned.keptFor;
    }

    return { [Symbol.dispose]: () => clearInterval(timer) };
}

function writtenAtOf({ writtenAt }: CleanedTable, rows: readonly StoreRow[]): number {
    try {
        return writtenAt(rows);
    }
    catch {
        // Whoever asks tells that the rows cannot be read.
        return NaN;
    }
}

function entriesOf({ entryOf }: CleanedTable, rows: readonly StoreRow[]): readonly (readonly StoreRow[])[] {
    const entries = new Map<string, StoreRow[]>();
    for (const row of rows) {
        const key = entryOf(row.key);
        entries.set(key, [...entries.get(key) ?? [], row]);
    }
    return [...entries.values()];
}
