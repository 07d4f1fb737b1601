/** A row of the store. `version` increases with every change of the row. */
export interface StoreRow {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly value: Buffer;
    readonly version: number;
    /** Whether the row was removed; only set in feeds. */
    readonly removed: boolean;
}

/** Range of rows in one part of a table: keys from `from` (inclusive) to `to` (exclusive). */
export interface RowRange {
    readonly table: string;
    readonly part: string;
    readonly from?: string;
    readonly to?: string;
    readonly limit?: number;
}

/** A consistent snapshot of rows. */
export interface RowPage {
    readonly rows: readonly StoreRow[];
    readonly more: boolean;
    readonly version: number;
    /** The store's clock in ms, if it tells. */
    readonly time?: number | undefined;
}

/** Identifies a row. */
export interface RowName {
    readonly table: string;
    readonly part: string;
    readonly key: string;
}

/** Version that a row must have for the change to be applied; 0 means that the row must not exist. */
export interface RowCondition extends RowName {
    readonly version: number;
}

/** A row and its new value. */
export interface RowValue extends RowName {
    readonly value: Buffer;
}

/** An atomic change. All its rows belong to one part. */
export interface StoreChange {
    readonly conditions?: readonly RowCondition[];
    readonly puts?: readonly RowValue[];
    readonly removals?: readonly RowName[];
}

/** Result of a change: its version, or the current rows if a condition did not hold. */
export type ChangeResult =
    | { readonly applied: true; readonly version: number; }
    | { readonly applied: false; readonly rows: readonly StoreRow[]; };

/** Changes of a table in order, or `historyLost` if the store no longer keeps them. */
export type FeedResult = RowPage | "historyLost";

/**
 * `refused`: the call had no effect. `away`: the call had no effect, and the store is unavailable, so an early retry is
 * useless. `unknown`: there was no answer; a change may have been applied, may be applied later, or never.
 */
export type StoreFailure = "refused" | "away" | "unknown";

/** The store rejected a call or did not answer it. */
export class StoreError extends Error {
    constructor(readonly failure: StoreFailure, message: string) {
        super(message);
    }
}

/** Options of a store call. `timeout` is in milliseconds. */
export interface StoreCallOptions {
    readonly timeout: number;
}

/** The platform's table service. Every method rejects with a `StoreError`. */
export interface Store {
    read(range: RowRange, options: StoreCallOptions): Promise<RowPage>;
    change(change: StoreChange, options: StoreCallOptions): Promise<ChangeResult>;
    /** Returns the changes after a version, waiting for them at most `maxWait` milliseconds. */
    feed(table: string, after: number, maxWait: number): Promise<FeedResult>;
}
