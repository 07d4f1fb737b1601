import { type FeedResult, type RowPage, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";

/** Follows the rows of one table. */
export interface TableWatch extends AsyncDisposable {
    /** Milliseconds since the rows were last confirmed by the store; infinite before the first answer. */
    age(): number;
}

/** Parts of a watch. */
export interface TableWatchParts {
    readonly store: Store;
    readonly table: string;
    readonly part: string;
    readonly log: Log;
    readonly now: () => number;
    /** Told all rows, first at the start and then after each change. */
    readonly changed: (rows: ReadonlyMap<string, StoreRow>) => void;
}

/** How long a feed waits for changes, in ms; a connection that went silent is noticed after it. */
const feedWait = 2_000;
const readTimeout = 1_500;
const firstPause = 50;
const longestPause = 400;

/** Starts to follow a table. */
export function watchTable({ store, table, part, log, now, changed }: TableWatchParts): TableWatch {
    let rows = new Map<string, StoreRow>();
    let version: number | undefined;
    let newest = 0;
    let confirmedAt = -Infinity;
    let stopped = false;
    let pause = firstPause;

    async function run(): Promise<void> {
        while (!stopped) {
            try {
                await step();
                pause = firstPause;
            }
            catch (error) {
                report(error);
                await sleep(pause);
                pause = Math.min(longestPause, pause * 2);
            }
        }
    }

    /** A fault that is not the store's must not end the watch for good: the table is read anew. */
    function report(error: unknown): void {
        if (error instanceof StoreError) {
            log.info("store.watch.failed", { table, failure: error.failure, reason: error.message });
            return;
        }
        version = undefined;
        log.warn("store.watch.broken", { table, reason: (error as Error).stack ?? String(error) });
    }

    async function step(): Promise<void> {
        const asked = now();
        if (version === undefined) {
            readAll(await readRows());
            confirmedAt = asked;
            return;
        }
        const result: FeedResult = await store.feed(table, version, feedWait);
        if (result === "historyLost") {
            log.info("store.watch.historyLost", { table, version });
            version = undefined;
            return;
        }
        confirmedAt = asked;
        version = result.version;
        newest = result.version;
        applyChanges(result.rows);
    }

    async function readRows(): Promise<RowPage> {
        const first = await store.read({ table, part }, { timeout: readTimeout });
        let page = first;
        const all = [...page.rows];
        while (page.more) {
            const from = `${all[all.length - 1]!.key}\0`;
            page = await store.read({ table, part, from }, { timeout: readTimeout });
            all.push(...page.rows);
        }
        // Changes made between the pages come again with the feed.
        return { rows: all, more: false, version: first.version };
    }

    function readAll(page: RowPage): void {
        // A read that is older than what a feed said must not undo it.
        if (page.version < newest) {
            return;
        }
        version = page.version;
        newest = page.version;
        rows = new Map(page.rows.map(row => [row.key, row]));
        changed(rows);
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
            changed(rows);
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
