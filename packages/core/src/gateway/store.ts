/** A row of the store. `version` grows with every change of the row. */
export interface StoreRow {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly value: Buffer;
    readonly version: number;
    /** The row was removed; only in a feed. */
    readonly removed: boolean;
}

/** Rows of one part whose keys are at or after `from` and before `to`. */
export interface RowRange {
    readonly table: string;
    readonly part: string;
    readonly from?: string;
    readonly to?: string;
    readonly limit?: number;
}

/** Rows as of one moment. */
export interface RowPage {
    readonly rows: readonly StoreRow[];
    readonly more: boolean;
    readonly version: number;
}

/** The name of a row. */
export interface RowName {
    readonly table: string;
    readonly part: string;
    readonly key: string;
}

/** A row must have this version for the change to be applied; 0 means that it must not exist. */
export interface RowCondition extends RowName {
    readonly version: number;
}

/** A value for a row. */
export interface RowValue extends RowName {
    readonly value: Buffer;
}

/** A change that is applied as a whole or not at all. All rows are of one part. */
export interface StoreChange {
    readonly conditions?: readonly RowCondition[];
    readonly puts?: readonly RowValue[];
    readonly removals?: readonly RowName[];
}

/** How a change ended: its version, or the present rows if a condition did not hold. */
export type ChangeResult =
    | { readonly applied: true; readonly version: number; }
    | { readonly applied: false; readonly rows: readonly StoreRow[]; };

/** Changes of a table in order, or `historyLost` when they are no longer to be had. */
export type FeedResult = RowPage | "historyLost";

/**
 * `refused`: nothing was done. `away`: nothing was done, and asking again soon is of no use. `unknown`: no answer came; a
 * change may be applied now, later or never.
 */
export type StoreFailure = "refused" | "away" | "unknown";

/** The store did not do or did not answer what it was asked. */
export class StoreError extends Error {
    constructor(readonly failure: StoreFailure, message: string) {
        super(message);
    }
}

/** A call of the store may not last longer than `timeout` milliseconds. */
export interface StoreCallOptions {
    readonly timeout: number;
}

/** The platform's table service. Every method rejects with a `StoreError`. */
export interface Store {
    read(range: RowRange, options: StoreCallOptions): Promise<RowPage>;
    change(change: StoreChange, options: StoreCallOptions): Promise<ChangeResult>;
    /** Waits at most `wait` milliseconds for changes after a version. */
    feed(table: string, after: number, maxWait: number): Promise<FeedResult>;
}
