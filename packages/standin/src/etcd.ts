import { z } from "zod";
import type { Compare, KeyRange, Operation, Outcome, Row, Table } from "./table.ts";

/*
 * The JSON form of the key-value part of the etcd v3 protocol: bytes in base64, 64-bit integers as strings, and fields
 * with a default value (0, false, empty) left out of answers.
 */

const bytes = z.base64().default("").transform(text => Buffer.from(text, "base64").toString("latin1"));
const integer = z.union([z.number().int(), z.string().regex(/^-?\d{1,15}$/).transform(Number)]);

/** Body of `/v3/kv/range`. */
export const rangeRequest = z.object({
    key: bytes,
    range_end: bytes,
    limit: integer.default(0),
    keys_only: z.boolean().default(false),
});

const compareRequest = z.object({
    key: bytes,
    target: z.enum(["MOD", "VERSION", "CREATE"]).default("VERSION"),
    result: z.enum(["EQUAL", "GREATER", "LESS", "NOT_EQUAL"]).default("EQUAL"),
    mod_revision: integer.optional(),
    version: integer.optional(),
    create_revision: integer.optional(),
});

const operationRequest = z.union([
    z.strictObject({ request_put: z.object({ key: bytes, value: z.base64().default("") }) }),
    z.strictObject({ request_delete_range: z.object({ key: bytes, range_end: bytes }) }),
    z.strictObject({ request_range: rangeRequest }),
]);

/** Body of `/v3/kv/txn`. */
export const txnRequest = z.object({
    compare: z.array(compareRequest).default([]),
    success: z.array(operationRequest).default([]),
    failure: z.array(operationRequest).default([]),
});

type CompareRequest = z.infer<typeof compareRequest>;
type OperationRequest = z.infer<typeof operationRequest>;
type RangeRequest = z.infer<typeof rangeRequest>;

/** A transaction in the terms of the table. */
export interface Txn {
    readonly compares: readonly Compare[];
    readonly success: readonly Operation[];
    readonly failure: readonly Operation[];
}

/** Converts the body of a request into a transaction. */
export function txnOf(request: z.infer<typeof txnRequest>): Txn {
    return {
        compares: request.compare.map(compareOf),
        success: request.success.map(operationOf),
        failure: request.failure.map(operationOf),
    };
}

/** Whether at least one branch of a transaction can write. */
export function isWrite(txn: Txn): boolean {
    return [...txn.success, ...txn.failure].some(operation => operation.type !== "range");
}

/** Every key that a transaction names. */
export function keysOfTxn(txn: Txn): string[] {
    const operations = [...txn.success, ...txn.failure];
    return [...txn.compares.map(c => c.key), ...operations.map(o => o.type === "put" ? o.key : o.range.key)];
}

/** Bytes of all keys and values of a transaction, before base64. */
export function txnBytes(txn: Txn): number {
    const values = [...txn.success, ...txn.failure].flatMap(o => o.type === "put" ? [o.value] : []);
    return [...keysOfTxn(txn).map(key => key.length), ...values.map(decodedLength)].reduce((a, b) => a + b, 0);
}

/** Number of bytes that a base64 text encodes. */
export function decodedLength(base64: string): number {
    return Buffer.byteLength(base64, "base64");
}

/** The first key that one branch puts twice, or puts and deletes; etcd refuses such a transaction. */
export function duplicateKey(operations: readonly Operation[]): string | undefined {
    const seen = new Set<string>();
    const deletes = operations.flatMap(o => o.type === "delete" ? [o.range] : []);
    for (const operation of operations) {
        if (operation.type !== "put") {
            continue;
        }
        if (seen.has(operation.key) || deletes.some(range => contains(range, operation.key))) {
            return operation.key;
        }
        seen.add(operation.key);
    }
    return undefined;
}

/** Answers `/v3/kv/range`. */
export function answerRange(table: Table, request: RangeRequest): object {
    const { rows, count } = table.range(keyRange(request), request.limit);
    return { header: header(table), ...rangeBody(rows, count, request.keys_only) };
}

/** Runs a transaction. Returns the answer of `/v3/kv/txn` and the operations of the branch that ran. */
export function answerTxn(table: Table, txn: Txn): { readonly body: object; readonly ran: readonly Operation[]; } {
    const succeeded = txn.compares.every(compare => table.holds(compare));
    const operations = succeeded ? txn.success : txn.failure;
    const outcomes = table.run(operations);
    const responses = outcomes.map((outcome, index) => responseOf(table, operations[index]!, outcome));
    const body = {
        header: header(table),
        ...(succeeded ? { succeeded } : {}),
        ...(responses.length > 0 ? { responses } : {}),
    };
    return { body, ran: operations };
}

function contains(range: KeyRange, key: string): boolean {
    if (range.end === undefined || range.end === "") {
        return key === range.key;
    }
    return key >= range.key && (range.end === "\0" || key < range.end);
}

function keyRange(request: { readonly key: string; readonly range_end: string; }): KeyRange {
    return { key: request.key, end: request.range_end };
}

function compareOf(request: CompareRequest): Compare {
    const numbers = { MOD: request.mod_revision, VERSION: request.version, CREATE: request.create_revision };
    return {
        key: request.key,
        target: request.target,
        result: request.result,
        number: numbers[request.target] ?? 0,
    };
}

function operationOf(request: OperationRequest): Operation {
    if ("request_put" in request) {
        return { type: "put", ...request.request_put };
    }
    if ("request_delete_range" in request) {
        return { type: "delete", range: keyRange(request.request_delete_range) };
    }
    const range = request.request_range;
    return { type: "range", range: keyRange(range), limit: range.limit, keysOnly: range.keys_only };
}

function responseOf(table: Table, operation: Operation, outcome: Outcome): object {
    switch (outcome.type) {
        case "put":
            return { response_put: { header: header(table) } };
        case "delete":
            return {
                response_delete_range: {
                    header: header(table),
                    ...(outcome.deleted > 0 ? { deleted: String(outcome.deleted) } : {}),
                },
            };
        case "range": {
            const keysOnly = operation.type === "range" && operation.keysOnly;
            return { response_range: { header: header(table), ...rangeBody(outcome.rows, outcome.count, keysOnly) } };
        }
    }
}

function header(table: Table): object {
    return { cluster_id: "1", member_id: "1", revision: String(table.revision()), raft_term: "1" };
}

function rangeBody(rows: readonly Row[], count: number, keysOnly: boolean): object {
    return {
        ...(rows.length > 0 ? { kvs: rows.map(row => rowBody(row, keysOnly)) } : {}),
        ...(rows.length < count ? { more: true } : {}),
        ...(count > 0 ? { count: String(count) } : {}),
    };
}

function rowBody(row: Row, keysOnly: boolean): object {
    return {
        key: Buffer.from(row.key, "latin1").toString("base64"),
        create_revision: String(row.createRevision),
        mod_revision: String(row.modRevision),
        version: String(row.version),
        ...(keysOnly || row.value === "" ? {} : { value: row.value }),
    };
}
