import { emptyLedger, hash, type Store, type StoreRow, type TokenLedger } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import type { CleanedTable } from "./cleaner.ts";

/** A program's ledger as last read or written by this gateway, and the version of its row. */
export interface LedgerRow {
    readonly ledger: TokenLedger;
    /** 0 if the row does not exist or was not read yet. */
    readonly version: number;
}

/** Ledger of a program without a row. */
export const missingLedgerRow: LedgerRow = { ledger: emptyLedger, version: 0 };

const table = "budgets";
/** High, because the store applies the writes to a part one after the other, which adds up while the store is slow. */
const partCount = 512;

/** Replaces the expected row; if the row has changed in the meantime, returns the current one with `written: false`. */
export async function replaceLedger(
    store: Store,
    program: string,
    expected: LedgerRow,
    ledger: TokenLedger,
    timeout: number,
): Promise<LedgerRow & { readonly written: boolean; }> {
    const name = rowNameOf(program);
    const result = await store.change({
        conditions: [{ ...name, version: expected.version }],
        puts: [{ ...name, value: encode(ledger) }],
    }, { timeout });
    return result.applied
        ? { ledger, version: result.version, written: true }
        : { ...decodeRow(result.rows[0]), written: false };
}

/** Reads the current ledger of a program. */
export async function readLedger(store: Store, program: string, timeout: number): Promise<LedgerRow> {
    const { key, ...location } = rowNameOf(program);
    const page = await store.read({ ...location, from: key, to: `${key}\0`, limit: 1 }, { timeout });
    return decodeRow(page.rows[0]);
}

/** Describes the table of ledgers to the cleaner. */
export const budgetTable: CleanedTable = {
    table,
    partCount,
    entryKeyOf: key => key,
    retainedUntil: ([row]) => (unpack(row!.value) as [number, unknown, number])[2],
    // A program that makes its next call later than this starts with a new budget.
    maxAgeMs: 24 * 3_600_000,
};

function rowNameOf(program: string) {
    return { table, part: String(hash(program) % partCount), key: program };
}

function decodeRow(row: StoreRow | undefined): LedgerRow {
    return row === undefined ? missingLedgerRow : { ledger: decode(row.value), version: row.version };
}

function encode({ spent, grants }: TokenLedger): Buffer {
    return Buffer.from(pack([spent, grants.map(({ holder, serial, tokens }) => [holder, serial, tokens]), Date.now()]));
}

function decode(value: Buffer): TokenLedger {
    const [spent, grants] = unpack(value) as [number, [string, number, number][]];
    return { spent, grants: grants.map(([holder, serial, tokens]) => ({ holder, serial, tokens })) };
}
