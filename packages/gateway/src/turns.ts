import { type ByteAccount, type RowPage, type RowRange, type Scope, scopedId, StoreError, type StoreRow,
    unscopedId } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { callWithRetries, type HedgeableStore, urgentRetryPolicy } from "./storeRetry.ts";
import { createTurnCache, sizeOf } from "./turnCache.ts";
import { createTurnRemoval } from "./turnRemoval.ts";
import { candidatePartsOf, decodeTurn, type Turn, turnRowAfter, turnRowRange,
    turnTableName as table } from "./turnRow.ts";
import { createTurnWriter, termOf } from "./turnWriter.ts";

/** A turn that has just completed. */
export type NewTurn = Pick<Turn, "id" | "input" | "output" | "upstream">;

/**
 * The turns that a turn continues, the oldest first. `unavailable`: the store could not be read. `noRoom`: the memory for
 * them could not be reserved.
 */
export type History = readonly Turn[] | "unknown" | "unavailable" | "noRoom";

/** Turns that were answered completely, each stored in one or more rows. */
export interface Turns {
    /**
     * Returns a turn of a scope and all preceding turns; `unknown` only if the store reports that a turn does not exist there.
     * Their bytes are reserved from the account.
     */
    history(scope: Scope, id: string, account: ByteAccount): Promise<History>;
    /**
     * Stores a turn and, where needed, extends the retention of the preceding turns, so that all are kept for
     * `retention` milliseconds. Rejects with a `StoreError` if this cannot be confirmed within `maxDuration`
     * milliseconds.
     */
    save(turn: NewTurn, history: readonly Turn[], retention: number, maxDuration: number): Promise<void>;
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
    const cache = createTurnCache(now);
    const removal = createTurnRemoval({ store, longestRetention, log, now });
    const writer = createTurnWriter({ store, maxRowBytes, removal, now, readTurn });

    async function history(scope: Scope, id: string, account: ByteAccount): Promise<History> {
        let reservedBytes = 0;
        const reserve = (turn: Turn) => {
            if (!account.reserve(sizeOf(turn))) {
                throw new NoRoomError();
            }
            reservedBytes += sizeOf(turn);
        };
        try {
            const last = await findTurn(scopedId(scope, id), reserve) ?? await findUnscopedTurn(scope, id, reserve);
            if (last === undefined) {
                return "unknown";
            }
            const ancestors = await Promise.all(last.ancestors.map(ancestor => findTurn(ancestor, reserve)));
            return ancestors.every(turn => turn !== undefined) ? [...ancestors, last] : "unknown";
        }
        catch (error) {
            account.release(reservedBytes);
            return failureOf(error);
        }
    }

    /** Turns that were written before teams were declared belong to none. Their ids are known only to those who wrote them. */
    async function findUnscopedTurn(scope: Scope, id: string,
        reserve: (turn: Turn) => void): Promise<Turn | undefined> {
        const earlierId = scope === undefined ? undefined : unscopedId(id);
        return earlierId === undefined ? undefined : findTurn(earlierId, reserve);
    }

    async function findTurn(id: string, reserve: (turn: Turn) => void): Promise<Turn | undefined> {
        const cached = cache.get(id);
        metrics.recordTurnLookup(cached === undefined ? "store" : "memory");
        const turn = cached ?? await findStoredTurn(id);
        if (turn !== undefined) {
            reserve(turn);
            cache.add(turn);
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
        const rows: StoreRow[] = [];
        const range = { table, part, ...turnRowRange(id) };
        let page = await readPage(range);
        rows.push(...page.rows);
        while (page.more && page.rows.length > 0) {
            page = await readPage({ ...range, from: turnRowAfter(id, page.rows.at(-1)!.key) });
            rows.push(...page.rows);
        }
        return decodeTurn(id, rows);
    }

    function readPage(range: RowRange): Promise<RowPage> {
        return callWithRetries(store, timeout => store.read(range, { timeout }), urgentRetryPolicy);
    }

    async function save(turn: NewTurn, history: readonly Turn[], retention: number,
        maxDuration: number): Promise<void> {
        const term = termOf(retention, maxDuration);
        const ancestors = history.map(({ id }) => id);
        const stale = history.map(previous => cache.get(previous.id) ?? previous)
            .filter(({ keptUntil }) => keptUntil < term.neededUntil);
        await Promise.all([
            ...stale.map(previous => writer.renew(previous, term).then(cache.add)),
            writer.write({ ...turn, ancestors }, term).then(cache.add),
        ]);
    }

    return { history, save, [Symbol.dispose]() {
        cache[Symbol.dispose]();
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

/** Returns why a history could not be found; rethrows errors that no part of the lookup expects. */
function failureOf(error: unknown): History {
    if (error instanceof NoRoomError) {
        return "noRoom";
    }
    if (error instanceof StoreError) {
        return "unavailable";
    }
    throw error;
}

/** The bytes of a turn could not be reserved. */
class NoRoomError extends Error {}

async function settle<Value>(promise: Promise<Value>): Promise<PromiseSettledResult<Value>> {
    const [result] = await Promise.allSettled([promise]);
    return result;
}
