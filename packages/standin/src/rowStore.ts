import { z } from "zod";
import { delay, dropConnection, HttpError, listen, parseBody, type Received, sendJson,
    type Standin } from "./listener.ts";

/**
 * A fault of the row store. `reset` closes the connection before the call has an effect, `silent` never answers, `busy`
 * answers 503, `many` answers 429, `slow` waits `ms`, `lostReply` executes a write without answering, `lateWrite` does
 * not answer and executes the write after `ms` if its condition still holds. The fault affects `count` calls, or all
 * calls when `count` is omitted.
 */
export interface RowStoreFault {
    readonly mode: "reset" | "silent" | "busy" | "many" | "slow" | "lostReply" | "lateWrite";
    readonly ms?: number;
    readonly count?: number;
    /** Restricts the fault to this kind of call. */
    readonly call?: "read" | "change" | "feed";
    /** Restricts the fault to calls of these parts. */
    readonly parts?: (part: string) => boolean;
}

/** One listener of a row store. Each listener has its own fault, so that the store can fail for single daemons. */
export interface RowStoreListener extends Standin {
    setFault(fault: RowStoreFault | undefined): void;
    /** Number of received calls, including those that a fault affected. */
    calls(): { readonly reads: number; readonly changes: number; readonly feeds: number; };
    /** Number of reads of a table that were answered. */
    answeredReads(table: string): number;
}

/** A row store with conditional writes, change feeds and a history, like that of the users' platform. */
export interface RowStore extends AsyncDisposable {
    /** Opens one more listener. */
    open(): Promise<RowStoreListener>;
    /** Writes a row without conditions, as the operator or an upstream would. */
    put(table: string, part: string, key: string, value: unknown): void;
    remove(table: string, part: string, key: string): void;
    get(table: string, part: string, key: string): Buffer | undefined;
    /** Keys of a table, over all parts. */
    keys(table: string): readonly string[];
    /** Discards the history: feeds that start at an earlier version are answered with 410. */
    compact(): void;
}

const nameSchema = z.object({ table: z.string(), part: z.string(), key: z.string() });
const changeSchema = z.object({
    expectedRevision: z.array(nameSchema.extend({ ver: z.number() })).default([]),
    put: z.array(nameSchema.extend({ value: z.string() })).default([]),
    remove: z.array(nameSchema).default([]),
});

type Change = z.output<typeof changeSchema>;

interface Row extends z.output<typeof nameSchema> {
    readonly value: string;
    readonly ver: number;
    readonly tombstone?: boolean;
}

const maxRows = 500;
const maxEntries = 100;
/** Maximum size of a call that writes, and of the values in one answer. */
const maxCallBytes = 1_048_576;

/** Creates an empty row store. */
export function createRowStore(): RowStore {
    const rows = new Map<string, Row>();
    let history: Row[] = [];
    let version = 1;
    let compactedVersion = 0;
    const feedWakers = new Set<() => void>();
    const listeners: RowStoreListener[] = [];

    function apply({ expectedRevision, put, remove }: Change): { status: number; body: object; } {
        const failed = expectedRevision.some(entry => (rows.get(rowId(entry))?.ver ?? 0) !== entry.ver);
        if (failed) {
            const current = expectedRevision.flatMap(entry => rows.get(rowId(entry)) ?? []);
            return { status: 412, body: { rows: current, ver: version, nowMs: now() } };
        }
        version += 1;
        for (const entry of put) {
            record({ ...entry, ver: version });
        }
        for (const entry of remove) {
            record({ ...entry, value: "", ver: version, tombstone: true });
        }
        feedWakers.forEach(wake => wake());
        return { status: 200, body: { ver: version, nowMs: now() } };
    }

    function record(row: Row): void {
        history.push(row);
        if (row.tombstone === true) {
            rows.delete(rowId(row));
        }
        else {
            rows.set(rowId(row), row);
        }
    }

    function read(query: URLSearchParams): object {
        const from = query.get("from") ?? "";
        const to = query.get("to");
        const limit = Math.min(maxRows, Number(query.get("limit") ?? maxRows));
        const found = [...rows.values()]
            .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? ""))
            .filter(row => row.key >= from && (to === null || row.key < to))
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const page = withinBytes(found.slice(0, limit), maxCallBytes);
        return { rows: page, hasMore: found.length > page.length, ver: version, nowMs: now() };
    }

    async function feed(query: URLSearchParams): Promise<{ status: number; body: object; }> {
        const after = Number(query.get("after"));
        const deadline = now() + Number(query.get("waitMs") ?? 0);
        const changes = () => history.filter(row => row.table === query.get("table") && row.ver > after);
        while (after >= compactedVersion && changes().length === 0 && now() < deadline) {
            await waitForChange(deadline - now());
        }
        return after < compactedVersion
            ? { status: 410, body: {} }
            : { status: 200, body: { rows: changes(), ver: version, nowMs: now() } };
    }

    function waitForChange(maxWaitMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(wake, maxWaitMs);
            function wake(): void {
                clearTimeout(timer);
                feedWakers.delete(wake);
                resolve();
            }
            feedWakers.add(wake);
        });
    }

    function put(table: string, part: string, key: string, value: unknown): void {
        const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
        apply({ expectedRevision: [], put: [{ table, part, key, value: bytes.toString("base64") }], remove: [] });
    }

    async function open(): Promise<RowStoreListener> {
        const listener = await openListener({ apply, read, feed });
        listeners.push(listener);
        return listener;
    }

    return {
        open,
        put,
        remove: (table, part, key) => void apply({ expectedRevision: [], put: [], remove: [{ table, part, key }] }),
        get: (table, part, key) => {
            const row = rows.get(rowId({ table, part, key }));
            return row === undefined ? undefined : Buffer.from(row.value, "base64");
        },
        keys: table => [...rows.values()].filter(row => row.table === table).map(row => row.key),
        compact() {
            history = [];
            compactedVersion = version;
            feedWakers.forEach(wake => wake());
        },
        async [Symbol.asyncDispose]() {
            await Promise.all(listeners.map(listener => listener[Symbol.asyncDispose]()));
        },
    };
}

/** The first rows whose values have at most `maxBytes` together, but at least one. */
function withinBytes(found: readonly Row[], maxBytes: number): readonly Row[] {
    let bytes = 0;
    const end = found.findIndex((row, index) => {
        bytes += row.value.length;
        return bytes > maxBytes && index > 0;
    });
    return end < 0 ? found : found.slice(0, end);
}

interface RowCalls {
    readonly apply: (change: Change) => { status: number; body: object; };
    readonly read: (query: URLSearchParams) => object;
    readonly feed: (query: URLSearchParams) => Promise<{ status: number; body: object; }>;
}

async function openListener({ apply, read, feed }: RowCalls): Promise<RowStoreListener> {
    let fault: RowStoreFault | undefined;
    let affectedCalls = 0;
    const counts = { reads: 0, changes: 0, feeds: 0 };
    const answeredReads = new Map<string, number>();

    function takeFault(call: "read" | "change" | "feed", part: string): RowStoreFault | undefined {
        const applies = fault !== undefined && (fault.call === undefined || fault.call === call) &&
            (fault.parts === undefined || fault.parts(part)) && affectedCalls < (fault.count ?? Infinity);
        affectedCalls += applies ? 1 : 0;
        return applies ? fault : undefined;
    }

    function countAndRead(query: URLSearchParams): object {
        const table = query.get("table") ?? "";
        answeredReads.set(table, (answeredReads.get(table) ?? 0) + 1);
        return read(query);
    }

    async function handle(received: Received): Promise<void> {
        const { method, path, query, response } = received;
        switch (`${method} /${path.join("/")}`) {
            case "GET /tamarackgauge/rows-get":
                counts.reads += 1;
                return await answer(received, takeFault("read", query.get("part") ?? ""),
                    () => ({ status: 200, body: countAndRead(query) }));
            case "GET /tamarackgauge/rows-feed": {
                counts.feeds += 1;
                const result = await feed(query);
                return await answer(received, takeFault("feed", ""), () => result);
            }
            case "POST /tamarackgauge/rows-tx": {
                counts.changes += 1;
                if (received.body.length > maxCallBytes) {
                    throw new HttpError(413, "the call is too long");
                }
                const change = parseBody(received, changeSchema);
                if (change.put.length + change.remove.length + change.expectedRevision.length > maxEntries) {
                    throw new HttpError(413, "too many entries");
                }
                return await answer(received, takeFault("change", partOf(change)), () => apply(change));
            }
        }
        sendJson(response, 404, { error: "there is no such path" });
    }

    const standin = await listen(0, handle);
    return {
        ...standin,
        setFault(nextFault) {
            fault = nextFault;
            affectedCalls = 0;
        },
        calls: () => ({ ...counts }),
        answeredReads: table => answeredReads.get(table) ?? 0,
    };
}

async function answer(
    { response }: Received,
    fault: RowStoreFault | undefined,
    work: () => { status: number; body: object; },
): Promise<void> {
    switch (fault?.mode) {
        case "reset":
            return dropConnection(response);
        case "silent":
            return;
        case "busy":
            return sendJson(response, 503, {});
        case "many":
            return sendJson(response, 429, {});
        case "lostReply":
            work();
            return;
        case "lateWrite":
            setTimeout(work, fault.ms ?? 0);
            return;
        case "slow":
            await delay(fault.ms ?? 0);
    }
    const { status, body } = work();
    sendJson(response, status, body);
}

function partOf({ expectedRevision, put, remove }: Change): string {
    return [...put, ...expectedRevision, ...remove][0]?.part ?? "";
}

function rowId({ table, part, key }: { table: string; part: string; key: string; }): string {
    return `${table}\n${part}\n${key}`;
}

function now(): number {
    return performance.now();
}
