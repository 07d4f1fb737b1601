import { StoreError } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { callWithRetries, type HedgeableStore, urgentRetryPolicy } from "./storeRetry.ts";
import { createTurnRemoval } from "./turnRemoval.ts";
import { candidatePartsOf, decodeTurn, type Turn, turnTableName as table } from "./turnRow.ts";
import { createTurnWriter, termOf } from "./turnWriter.ts";

/** A turn that has just completed. */
export type NewTurn = Pick<Turn, "id" | "input" | "output" | "upstream">;

/** The turns that a turn continues, the oldest first. `unavailable`: the store could not be read. */
export type History = readonly Turn[] | "unknown" | "unavailable";

/** Turns that were answered completely, each stored in one or more rows. */
export interface Turns {
    /** Returns a turn and all preceding turns; `unknown` only if the store reports that a turn does not exist. */
    history(id: string): Promise<History>;
    /**
     * Stores a turn and, where needed, extends the retention of the preceding turns, so that all are kept for
     * `retention` milliseconds. Rejects with a `StoreError` if this cannot be confirmed within `maxDuration`
     * milliseconds.
     */
    save(turn: NewTurn, history: readonly Turn[], retention: number, maxDuration: number): Promise<void>;
}

/** Turns that were not used for this time are removed from memory. */
const cacheTtlMs = 8_000;
const evictionIntervalMs = 2_000;

interface CachedTurn {
    readonly turn: Turn;
    lastUsedAt: number;
}

/** Dependencies of turns. */
export interface TurnsParts {
    readonly store: HedgeableStore;
    /** Maximum size of a row value as base64 text. */
    readonly maxRowBytes: number;
    /** Longest retention of any route at present, in ms. */
    readonly longestRetention: () => number;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** Creates the access to the turns of the programs whose calls this gateway receives. */
export function createTurns(
    { store, maxRowBytes, longestRetention, metrics, log, now }: TurnsParts,
): Turns & Disposable {
    const cache = new Map<string, CachedTurn>();
    const removal = createTurnRemoval({ store, longestRetention, log, now });
    const writer = createTurnWriter({ store, maxRowBytes, removal, now, readTurn });
    const evictionTimer = setInterval(evictIdle, evictionIntervalMs);
    evictionTimer.unref();

    async function history(id: string): Promise<History> {
        try {
            const last = await findTurn(id);
            if (last === undefined) {
                return "unknown";
            }
            const ancestors = await Promise.all(last.ancestors.map(findTurn));
            return ancestors.every(turn => turn !== undefined) ? [...ancestors, last] : "unknown";
        }
        catch (error) {
            if (error instanceof StoreError) {
                return "unavailable";
            }
            throw error;
        }
    }

    async function findTurn(id: string): Promise<Turn | undefined> {
        const cached = cache.get(id);
        if (cached !== undefined) {
            cached.lastUsedAt = now();
            metrics.recordTurnLookup("memory");
            return cached.turn;
        }
        metrics.recordTurnLookup("store");
        const turn = await findStoredTurn(id);
        if (turn !== undefined) {
            remember(turn);
        }
        return turn;
    }

    /** Returns undefined only if none of the parts in which the turn may be stored has it. */
    async function findStoredTurn(id: string): Promise<Turn | undefined> {
        const [first, ...others] = candidatePartsOf(id);
        const firstRead = readTurn(id, first!);
        const firstResult = await Promise.race([settle(firstRead),
            sleep(store.hedgeDelay(), undefined, { ref: false })]);
        if (firstResult?.status === "fulfilled" && firstResult.value !== undefined) {
            return firstResult.value;
        }
        return firstFound([firstRead, ...others.map(part => readTurn(id, part))]);
    }

    async function readTurn(id: string, part: string): Promise<Turn | undefined> {
        const range = { table, part, from: id, to: `${id}0` };
        const page = await callWithRetries(store, timeout => store.read(range, { timeout }), urgentRetryPolicy);
        return decodeTurn(id, page.rows);
    }

    async function save(turn: NewTurn, history: readonly Turn[], retention: number,
        maxDuration: number): Promise<void> {
        const term = termOf(retention, maxDuration);
        const ancestors = history.map(({ id }) => id);
        const stale = history.map(previous => cache.get(previous.id)?.turn ?? previous)
            .filter(({ keptUntil }) => keptUntil < term.neededUntil);
        await Promise.all([
            ...stale.map(async previous => remember(await writer.renew(previous, term))),
            writer.write({ ...turn, ancestors }, term).then(remember),
        ]);
    }

    function remember(turn: Turn): void {
        cache.set(turn.id, { turn, lastUsedAt: now() });
    }

    function evictIdle(): void {
        for (const [id, { lastUsedAt }] of cache) {
            if (now() - lastUsedAt > cacheTtlMs) {
                cache.delete(id);
            }
        }
    }

    return { history, save, [Symbol.dispose]() {
        clearInterval(evictionTimer);
        removal[Symbol.dispose]();
    } };
}

/** Returns the first turn that a read finds. Rejects only if none finds it and at least one failed. */
async function firstFound(reads: readonly Promise<Turn | undefined>[]): Promise<Turn | undefined> {
    const found = reads.map(async read => await read ?? Promise.reject(new NotFound()));
    try {
        return await Promise.any(found);
    }
    catch (error) {
        const failure = (error as AggregateError).errors.find(each => !(each instanceof NotFound)) as Error | undefined;
        if (failure !== undefined) {
            throw failure;
        }
        return undefined;
    }
}

class NotFound extends Error {}

async function settle<Value>(promise: Promise<Value>): Promise<PromiseSettledResult<Value>> {
    const [result] = await Promise.allSettled([promise]);
    return result;
}
