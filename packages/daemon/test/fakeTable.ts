import type { Random } from "@tamarackgauge/core";
import { TableError } from "@tamarackgauge/table";
import type { Row, Table, Transaction, TransactionResult } from "@tamarackgauge/table";

/** A fake table service whose rows are shared by the clients of several daemons. */
export interface FakeStore {
    readonly rows: Map<string, Row>;
    /** Probability of each fault per request. */
    faults: FaultRates;
    /** Creates a client that draws its faults from the random source. */
    connect(random: Random): Table;
}

/** Probabilities of faults, from 0 to 1. */
export interface FaultRates {
    /** The request fails without effect. */
    readonly fail: number;
    /** The write takes effect, but its reply is lost. */
    readonly loseReply: number;
    /** The reply is lost, and the write takes effect some milliseconds later if its checks still hold. */
    readonly late: number;
    /** The request takes some milliseconds. */
    readonly slow: number;
}

/** No faults. */
export const noFaults: FaultRates = { fail: 0, loseReply: 0, late: 0, slow: 0 };

const maxDelayMs = 4;

/** Creates an empty store. */
export function createFakeStore(): FakeStore {
    const rows = new Map<string, Row>();
    let revision = 0;
    const store: FakeStore = { rows, faults: noFaults, connect };

    function apply({ checks, puts, deletes }: Transaction): TransactionResult {
        if (!checks.every(check => (rows.get(check.key)?.revision ?? "0") === check.revision)) {
            return { applied: false, revision: String(revision) };
        }
        revision += 1;
        puts.forEach(({ key, value }) => rows.set(key, { key, value, revision: String(revision) }));
        deletes?.forEach(key => rows.delete(key));
        return { applied: true, revision: String(revision) };
    }

    function connect(random: Random): Table {
        const occurs = (chance: number) => random() < chance;
        const delay = () => new Promise(resolve => setTimeout(resolve, random() * maxDelayMs));

        async function get(key: string): Promise<Row | undefined> {
            await (occurs(store.faults.slow) ? delay() : undefined);
            if (occurs(store.faults.fail)) {
                throw new TableError("no answer");
            }
            return rows.get(key);
        }

        async function commit(transaction: Transaction): Promise<TransactionResult> {
            await (occurs(store.faults.slow) ? delay() : undefined);
            if (occurs(store.faults.fail)) {
                throw new TableError("no answer");
            }
            if (occurs(store.faults.late)) {
                void delay().then(() => apply(transaction));
                throw new TableError("no answer");
            }
            const result = apply(transaction);
            if (occurs(store.faults.loseReply)) {
                throw new TableError("no answer");
            }
            return result;
        }

        return {
            get,
            commit,
            range: () => Promise.reject(new TableError("the fake table does not support ranges")),
            lastSuccess: () => undefined,
            [Symbol.asyncDispose]: async () => undefined,
        };
    }

    return store;
}
