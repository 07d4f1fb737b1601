import { systemClock } from "@tamarackgauge/core";
import type { z } from "zod";
import { answerRange, answerTxn, decodedLength, duplicateKey, isWrite, keysOfTxn, rangeRequest, txnBytes, txnOf,
    txnRequest } from "./etcd.ts";
import type { Txn } from "./etcd.ts";
import { ok } from "./faults.ts";
import type { Faults } from "./faults.ts";
import { HttpError, parseBody } from "./listener.ts";
import type { Received } from "./listener.ts";
import { createRateLimit, throttledError } from "./rate.ts";
import type { RateLimit } from "./rate.ts";
import { createTable } from "./table.ts";

/** Counts of the table service. A request without effect is counted neither as a read nor as a write. */
export interface TableCounts {
    readonly reads: number;
    readonly writes: number;
    readonly writtenRows: number;
    /** Bytes of written values, before base64. */
    readonly writtenBytes: number;
    /** Requests refused by the rate limit. */
    readonly throttled: number;
}

/** The table over HTTP. */
export interface TableService {
    /** Answers `/v3/kv/range`. */
    range(received: Received): Promise<void>;
    /** Answers `/v3/kv/txn`. */
    txn(received: Received): Promise<void>;
    counts(): TableCounts;
}

const maxTxnBytes = 1024 * 1024;
const maxTxnOperations = 128;

/** Creates the service with an empty table. Rates are requests per second; without a rate nothing is limited. */
export function createTableService(
    faults: Faults,
    readsPerSecond: number | undefined,
    writesPerSecond: number | undefined,
): TableService {
    const table = createTable();
    const readLimit = createRateLimit(readsPerSecond);
    const writeLimit = createRateLimit(writesPerSecond);
    const counted = { reads: 0, writes: 0, writtenRows: 0, writtenBytes: 0, throttled: 0 };

    function take(limit: RateLimit): void {
        if (!limit.take(systemClock.monotonic())) {
            counted.throttled += 1;
            throw throttledError();
        }
    }

    function run(txn: Txn): object {
        const write = isWrite(txn);
        take(write ? writeLimit : readLimit);
        counted[write ? "writes" : "reads"] += 1;
        const { body, ran } = answerTxn(table, txn);
        const puts = ran.filter(operation => operation.type === "put");
        counted.writtenRows += puts.length;
        counted.writtenBytes += puts.reduce((sum, put) => sum + decodedLength(put.value), 0);
        return body;
    }

    return {
        range(received) {
            const request = parse(received, rangeRequest);
            return faults.run({ part: "range", keys: [request.key] }, received, () => {
                take(readLimit);
                counted.reads += 1;
                return ok(answerRange(table, request));
            });
        },
        txn(received) {
            const txn = txnOf(parse(received, txnRequest));
            check(txn);
            return faults.run({ part: "txn", keys: keysOfTxn(txn) }, received, () => ok(run(txn)));
        },
        counts: () => ({ ...counted }),
    };
}

function invalid(message: string): HttpError {
    return new HttpError(400, message, { error: message, code: 3, message });
}

function parse<Schema extends z.ZodType>(received: Received, schema: Schema): z.output<Schema> {
    try {
        return parseBody(received, schema);
    }
    catch (error) {
        throw invalid((error as Error).message);
    }
}

function check(txn: Txn): void {
    if (txnBytes(txn) > maxTxnBytes) {
        throw invalid("etcdserver: request is too large");
    }
    if (Math.max(txn.compares.length, txn.success.length, txn.failure.length) > maxTxnOperations) {
        throw invalid("etcdserver: too many operations in txn request");
    }
    if (duplicateKey(txn.success) !== undefined || duplicateKey(txn.failure) !== undefined) {
        throw invalid("etcdserver: duplicate key given in txn request");
    }
}
