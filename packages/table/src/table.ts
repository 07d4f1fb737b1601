import { Agent, request } from "undici";

/** A row of the table service. `revision` changes with every write of the row. */
export interface Row {
    readonly key: string;
    readonly value: Buffer;
    readonly revision: string;
}

/** A condition of a transaction: the row must have this revision; "0" means that the row must not exist. */
export interface Check {
    readonly key: string;
    readonly revision: string;
}

/** A transaction, which is applied atomically if all checks hold, and not at all otherwise. */
export interface Transaction {
    readonly checks: readonly Check[];
    readonly puts: readonly { readonly key: string; readonly value: Buffer; }[];
    readonly deletes?: readonly string[];
}

/** The result of a transaction. `revision` is the new revision of every row that it put. */
export interface TransactionResult {
    readonly applied: boolean;
    readonly revision: string;
}

/** A page of rows in the order of their keys. */
export interface Page {
    readonly rows: readonly Row[];
    readonly more: boolean;
}

/** The table service failed or did not answer in time. A write may or may not have been applied. */
export class TableError extends Error {}

/** The platform's transactional table service. Every method throws a `TableError`. */
export interface Table {
    get(key: string): Promise<Row | undefined>;
    /** Reads at most `limit` rows whose keys start with `prefix` and sort after `after`. */
    range(prefix: string, after?: string, limit?: number): Promise<Page>;
    commit(transaction: Transaction): Promise<TransactionResult>;
    /** Monotonic start time, in milliseconds, of the last successful request; undefined before the first. */
    lastSuccess(): number | undefined;
    [Symbol.asyncDispose](): Promise<void>;
}

interface KeyValue {
    readonly key: string;
    readonly value?: string;
    readonly mod_revision: string;
}

/** Options of a table client; times in milliseconds. */
export interface TableOptions {
    readonly url: string;
    readonly timeout?: number;
    readonly now?: () => number;
}

const defaultTimeoutMs = 1_000;
const defaultPageSize = 500;

/** Creates a client of the key-value part of the etcd v3 protocol (JSON over HTTP). */
export function createTable(options: TableOptions): Table {
    const timeout = options.timeout ?? defaultTimeoutMs;
    const now = options.now ?? (() => performance.now());
    const newAgent = () => new Agent({ connections: 8, headersTimeout: timeout, connectTimeout: timeout });
    let agent = newAgent();
    let lastSuccess: number | undefined;

    async function post<Answer>(path: string, body: unknown): Promise<Answer> {
        const startedAt = now();
        try {
            const response = await request(`${options.url}${path}`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
                dispatcher: agent,
                signal: AbortSignal.timeout(timeout),
            });
            const text = await response.body.text();
            if (response.statusCode !== 200) {
                throw new TableError(`status ${response.statusCode}: ${text.slice(0, 200)}`);
            }
            lastSuccess = startedAt;
            return JSON.parse(text) as Answer;
        }
        catch (error) {
            replaceAgent();
            throw error instanceof TableError ? error : new TableError(`no answer: ${(error as Error).message}`);
        }
    }

    // An open connection can stop responding for good while new ones work, so a failure replaces all connections.
    function replaceAgent(): void {
        const old = agent;
        agent = newAgent();
        void old.close().catch(() => undefined);
    }

    async function get(key: string): Promise<Row | undefined> {
        const answer = await post<{ kvs?: KeyValue[]; }>("/v3/kv/range", { key: encode(key) });
        const found = answer.kvs?.[0];
        return found === undefined ? undefined : decodeRow(found);
    }

    async function range(prefix: string, after?: string, limit = defaultPageSize): Promise<Page> {
        const answer = await post<{ kvs?: KeyValue[]; more?: boolean; }>("/v3/kv/range", {
            // The smallest key that sorts after `after` is `after` followed by a zero byte.
            key: encode(after === undefined ? prefix : `${after}\0`),
            range_end: encode(prefixEnd(prefix)),
            limit: String(limit),
        });
        return { rows: (answer.kvs ?? []).map(decodeRow), more: answer.more === true };
    }

    async function commit(transaction: Transaction): Promise<TransactionResult> {
        const answer = await post<{ succeeded?: boolean; header: { revision: string; }; }>("/v3/kv/txn", {
            compare: transaction.checks.map(({ key, revision }) => ({
                key: encode(key),
                target: "MOD",
                result: "EQUAL",
                mod_revision: revision,
            })),
            success: [
                ...transaction.puts.map(({ key, value }) => ({
                    request_put: { key: encode(key), value: value.toString("base64") },
                })),
                ...(transaction.deletes ?? []).map(key => ({ request_delete_range: { key: encode(key) } })),
            ],
            failure: [],
        });
        return { applied: answer.succeeded === true, revision: answer.header.revision };
    }

    return {
        get,
        range,
        commit,
        lastSuccess: () => lastSuccess,
        [Symbol.asyncDispose]: async () => {
            await agent.destroy();
        },
    };
}

function encode(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function decodeRow(keyValue: KeyValue): Row {
    return {
        key: Buffer.from(keyValue.key, "base64").toString("utf8"),
        value: Buffer.from(keyValue.value ?? "", "base64"),
        revision: keyValue.mod_revision,
    };
}

function prefixEnd(prefix: string): string {
    const last = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
