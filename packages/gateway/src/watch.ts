import { type FeedResult, type RowPage, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";

/** Watch on the rows in one part of a table. */
export interface TableWatch extends AsyncDisposable {
    /** Milliseconds since the store last confirmed the rows; infinite before the first answer. */
    age(): number;
}

/** Dependencies of a watch. */
export interface TableWatchParts {
    readonly store: Store;
    readonly table: string;
    readonly part: string;
    readonly log: Log;
    readonly now: () => number;
    /**
     * Minimum time in ms between the starts of two feeds, for a table that changes all the time: changes made meanwhile come
     * together with the next answer.
     */
    readonly minFeedInterval?: number;
    /** Waits before a retry: resolves after `maxMs`, or earlier if an outage of the store ends. */
    readonly pause?: (maxMs: number) => Promise<void>;
    /** Called with all rows after the first read and after each change. */
    readonly onChange: (rows: ReadonlyMap<string, StoreRow>) => void;
}

/** Maximum time for which a feed waits for changes. It also bounds the time until a dead connection is noticed. */
const maxFeedWaitMs = 2_000;
const readTimeoutMs = 1_500;
const minRetryDelayMs = 50;
const maxRetryDelayMs = 400;

/** Starts to watch a part of a table. */
export function watchTable(
    { store, table, part, log, now, minFeedInterval = 0, pause = sleep, onChange }: TableWatchParts,
): TableWatch {
    let rows = new Map<string, StoreRow>();
    let version: number | undefined;
    let newestVersion = 0;
    let confirmedAt = -Infinity;
    let stopped = false;
    let retryDelayMs = minRetryDelayMs;

    async function run(): Promise<void> {
        while (!stopped) {
            try {
                await update();
                retryDelayMs = minRetryDelayMs;
            }
            catch (error) {
                logFailure(error);
                await pause(retryDelayMs);
                retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
            }
        }
    }

    /** An unexpected error must not end the watch, so the table is read again completely. */
    function logFailure(error: unknown): void {
        if (error instanceof StoreError) {
            log.info("store.watch.failed", { table, failure: error.failure, reason: error.message });
            return;
        }
        version = undefined;
        log.warn("store.watch.broken", { table, reason: (error as Error).stack ?? String(error) });
    }

    async function update(): Promise<void> {
        const requestedAt = now();
        if (version === undefined) {
            replaceRows(await readRows());
            confirmedAt = requestedAt;
            return;
        }
        const result: FeedResult = await store.feed(table, version, maxFeedWaitMs);
        if (result === "historyLost") {
            log.info("store.watch.historyLost", { table, version });
            version = undefined;
            return;
        }
        confirmedAt = requestedAt;
        version = result.version;
        newestVersion = result.version;
        applyChanges(result.rows);
        await waitUntilFeedAt(requestedAt + minFeedInterval);
    }

    async function waitUntilFeedAt(time: number): Promise<void> {
        const delay = time - now();
        if (delay > 0) {
            await sleep(delay, undefined, { ref: false });
        }
    }

    async function readRows(): Promise<RowPage> {
        const first = await store.read({ table, part }, { timeout: readTimeoutMs });
        let page = first;
        const all = [...page.rows];
        while (page.more) {
            const from = `${all[all.length - 1]!.key}\0`;
            page = await store.read({ table, part, from }, { timeout: readTimeoutMs });
            all.push(...page.rows);
        }
        // The feed starts at the version of the first page, so it repeats changes that were made between the pages.
        return { rows: all, more: false, version: first.version };
    }

    function replaceRows(page: RowPage): void {
        // A read may return an older version than the last feed and must not undo its changes.
        if (page.version < newestVersion) {
            return;
        }
        version = page.version;
        newestVersion = page.version;
        rows = new Map(page.rows.map(row => [row.key, row]));
        onChange(rows);
    }

    function applyChanges(changes: readonly StoreRow[]): void {
        const relevant = changes.filter(row => row.part === part);
        for (const row of relevant) {
            if (row.removed) {
                rows.delete(row.key);
            }
            else {
                rows.set(row.key, row);
            }
        }
        if (relevant.length > 0) {
            onChange(rows);
        }
    }

    const running = run();
    return {
        age: () => now() - confirmedAt,
        async [Symbol.asyncDispose]() {
            stopped = true;
            await Promise.race([running, Promise.resolve()]);
        },
    };
}
