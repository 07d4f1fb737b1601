/** A row. Keys are byte strings with one UTF-16 code unit per byte, so that they sort as bytes. */
export interface Row {
    readonly key: string;
    /** Base64, as received. */
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
}

/** One key, or with `end` the keys from `key` up to but excluding `end`; an end of "\0" means no upper bound. */
export interface KeyRange {
    readonly key: string;
    readonly end?: string;
}

/** A condition on a row; the numbers of a missing row are 0. */
export interface Compare {
    readonly key: string;
    readonly target: "MOD" | "VERSION" | "CREATE";
    readonly result: "EQUAL" | "GREATER" | "LESS" | "NOT_EQUAL";
    readonly number: number;
}

/** One operation of a transaction. */
export type Operation =
    | { readonly type: "put"; readonly key: string; readonly value: string; }
    | { readonly type: "delete"; readonly range: KeyRange; }
    | { readonly type: "range"; readonly range: KeyRange; readonly limit: number; readonly keysOnly: boolean; };

/** The result of an operation. */
export type Outcome =
    | { readonly type: "put"; }
    | { readonly type: "delete"; readonly deleted: number; }
    | { readonly type: "range"; readonly rows: readonly Row[]; readonly count: number; };

/** Rows in key order with the revisions of etcd v3. */
export interface Table {
    revision(): number;
    range(range: KeyRange, limit: number): { readonly rows: readonly Row[]; readonly count: number; };
    holds(compare: Compare): boolean;
    /** Runs the operations in order. All writes of one call carry the same new revision. */
    run(operations: readonly Operation[]): readonly Outcome[];
}

/** Creates an empty table at revision 1. */
export function createTable(): Table {
    const rows = new Map<string, Row>();
    const keys: string[] = [];
    let revision = 1;

    function keysInRange({ key, end }: KeyRange): readonly string[] {
        if (end === undefined || end === "") {
            return rows.has(key) ? [key] : [];
        }
        return keys.slice(lowerBound(keys, key), end === "\0" ? keys.length : lowerBound(keys, end));
    }

    function range(requested: KeyRange, limit: number): { rows: Row[]; count: number; } {
        const found = keysInRange(requested);
        const taken = limit > 0 ? found.slice(0, limit) : found;
        return { rows: taken.map(key => rows.get(key)!), count: found.length };
    }

    function put(key: string, value: string, next: number): void {
        const old = rows.get(key);
        if (old === undefined) {
            keys.splice(lowerBound(keys, key), 0, key);
        }
        rows.set(key, {
            key,
            value,
            createRevision: old?.createRevision ?? next,
            modRevision: next,
            version: (old?.version ?? 0) + 1,
        });
    }

    function remove(requested: KeyRange): number {
        const found = keysInRange(requested);
        if (found.length > 0) {
            keys.splice(lowerBound(keys, found[0]!), found.length);
            found.forEach(key => rows.delete(key));
        }
        return found.length;
    }

    function runOne(operation: Operation, next: number): Outcome {
        switch (operation.type) {
            case "put":
                put(operation.key, operation.value, next);
                return { type: "put" };
            case "delete":
                return { type: "delete", deleted: remove(operation.range) };
            case "range":
                return { type: "range", ...range(operation.range, operation.limit) };
        }
    }

    return {
        revision: () => revision,
        range,
        holds: compare => compareNumbers(numberOf(rows.get(compare.key), compare.target), compare),
        run(operations) {
            const next = revision + 1;
            const outcomes = operations.map(operation => runOne(operation, next));
            const wrote = outcomes.some(o => o.type === "put" || (o.type === "delete" && o.deleted > 0));
            revision = wrote ? next : revision;
            return outcomes;
        },
    };
}

/** Index of the first key that is not below `key`. */
function lowerBound(keys: readonly string[], key: string): number {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (keys[middle]! < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

function numberOf(row: Row | undefined, target: Compare["target"]): number {
    if (row === undefined) {
        return 0;
    }
    return target === "MOD" ? row.modRevision : target === "CREATE" ? row.createRevision : row.version;
}

function compareNumbers(actual: number, { result, number }: Compare): boolean {
    switch (result) {
        case "EQUAL":
            return actual === number;
        case "NOT_EQUAL":
            return actual !== number;
        case "GREATER":
            return actual > number;
        case "LESS":
            return actual < number;
    }
}
