import { emptyLedger, hash, type Store, type StoreRow, type TokenLedger } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import type { CleanedTable } from "./cleaner.ts";

/** A program's ledger as this gateway knows it, and the version of the row that it is from. */
export interface LedgerRow {
    readonly ledger: TokenLedger;
    /** 0 if no row is known. */
    readonly version: number;
}

/** The ledger of a program without a row. */
export const missingLedgerRow: LedgerRow = { ledger: emptyLedger, version: 0 };

const table = "budgets";
/** Writes of a part go one after the other, which a slow store makes felt. */
const partCount = 512;

/** Writes a ledger over the known one; if the row has changed meanwhile, gives the present one instead. */
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

/** Reads the present ledger of a program. */
export async function readLedger(store: Store, program: string, timeout: number): Promise<LedgerRow> {
    const { key, ...location } = rowNameOf(program);
    const page = await store.read({ ...location, from: key, to: `${key}\0`, limit: 1 }, { timeout });
    return decodeRow(page.rows[0]);
}

/** The table of ledgers, for its cleaning. */
export const budgetTable: CleanedTable = {
    table,
    partCount,
    entryKeyOf: key => key,
    writtenAt: ([row]) => (unpack(row!.value) as [number, unknown, number])[2],
    // A program that comes back later than this begins with a new budget.
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
