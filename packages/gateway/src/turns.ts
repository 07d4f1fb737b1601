import { hash, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { setTimeout as sleep } from "node:timers/promises";
import type { CleanedTable } from "./cleaner.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { callWithRetries, type HedgeableStore, patientRetryPolicy, urgentRetryPolicy } from "./storeRetry.ts";

/** A turn that was answered whole, and the turns before it. */
export interface Turn {
    readonly id: string;
    /** Ids of the turns that it continues, the oldest first. */
    readonly ancestors: readonly string[];
    readonly input: Buffer;
    /** The data of its events, each followed by a line feed. */
    readonly output: Buffer;
    /** The engine that generated it and may still keep its memory. */
    readonly upstream: string;
    /** When its rows were written last, in ms since 1970 by the clock of the VM that wrote them. */
    readonly keptAt: number;
}

/** A turn that has just ended. */
export type NewTurn = Omit<Turn, "ancestors" | "keptAt">;

/** What a turn continues, the oldest turn first. `unavailable`: the store could not tell. */
export type History = readonly Turn[] | "unknown" | "unavailable";

/** Turns that were answered whole, each in a row of the store. */
export interface Turns {
    /** A turn and all that it continues; `unknown` only if the store says that there is no such turn. */
    history(id: string): Promise<History>;
    /**
     * Keeps a turn and all that it continues for `retention` milliseconds; rejects with a `StoreError` if it may not be
     * kept within `time` milliseconds.
     */
    save(turn: NewTurn, history: readonly Turn[], retention: number, maxDuration: number): Promise<void>;
}

const table = "turns";
const partCount = 256;
/**
 * Parts that may hold a turn: one part can be away while others answer. A reader looks into the first one, and into the
 * others only if it does not find the turn there.
 */
const partsPerTurn = 3;
/** Turns used within this time stay in memory, in ms. */
const cacheTtlMs = 8_000;
/** A turn that is continued after this share of its retention is kept anew, so that it outlives what continues it. */
const renewalFraction = 0.5;
/** Rows are removed this long after the last turn that relies on them, in ms: a continuing call may be on its way. */
const removalDelayMs = 5_000;
const removalIntervalMs = 2_000;
/** Turns whose rows are removed in one call of the store, which takes 100 entries. */
const maxTurnsPerRemoval = 20;
/** Bytes of a row value in text form that three bytes of a turn take as four characters. */
const bytesPerBase64Char = 3 / 4;

interface CachedTurn {
    readonly turn: Turn;
    lastUsedAt: number;
}

interface Expiry {
    readonly id: string;
    readonly part: string;
    readonly rowCount: number;
    /** Version of the first row. A later one says that the turn was kept anew. */
    readonly version: number;
    readonly removeAt: number;
}

/** Parts of turns. */
export interface TurnsParts {
    readonly store: HedgeableStore;
    /** The largest value of a row in text form. */
    readonly maxRowBytes: number;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** Creates the turns of the programs that come to this daemon. */
export function createTurns({ store, maxRowBytes, metrics, log, now }: TurnsParts): Turns & Disposable {
    const cache = new Map<string, CachedTurn>();
    const expiries: Expiry[] = [];
    const segmentBytes = Math.floor(maxRowBytes * bytesPerBase64Char) - 64;
    const cleanupTimer = setInterval(() => {
        evictIdle();
        void removeExpired();
    }, removalIntervalMs);
    cleanupTimer.unref();

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
            metrics.turnFound("memory");
            return cached.turn;
        }
        metrics.turnFound("store");
        const turn = await findStoredTurn(id);
        if (turn !== undefined) {
            cache.set(id, { turn, lastUsedAt: now() });
        }
        return turn;
    }

    /** A turn is unknown only if each part that may hold it says so. */
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
        return decode(id, page.rows);
    }

    async function save(turn: NewTurn, history: readonly Turn[], retention: number,
        maxDuration: number): Promise<void> {
        const keptAt = Date.now();
        const ancestors = history.map(({ id }) => id);
        const renewed = history.filter(previous => keptAt - previous.keptAt > retention * renewalFraction);
        await Promise.all(
            [...renewed, { ...turn, ancestors }].map(each => writeTurn({ ...each, keptAt }, retention, maxDuration)),
        );
    }

    async function writeTurn(turn: Turn, retention: number, maxDuration: number): Promise<void> {
        const candidateParts = candidatePartsOf(turn.id);
        const segments = segmentsOf(turn);
        await callWithRetries(store,
            (timeout, attempt) => writeToPart(candidateParts[attempt % candidateParts.length]!, timeout), {
            ...patientRetryPolicy,
            giveUpAfter: maxDuration,
        });
        cache.set(turn.id, { turn, lastUsedAt: now() });

        async function writeToPart(part: string, timeout: number): Promise<void> {
            const puts = segments.map((value, index) => ({ table, part, key: keyOf(turn.id, index), value }));
            const result = await store.change({ puts }, { timeout });
            const version = result.applied ? result.version : 0;
            const removeAt = now() + retention * (1 + renewalFraction) + removalDelayMs;
            expiries.push({ id: turn.id, part, rowCount: puts.length, version, removeAt });
        }
    }

    function segmentsOf(turn: Turn): readonly Buffer[] {
        const encoded = encode(turn);
        const segments: Buffer[] = [];
        for (let offset = 0; offset < encoded.length; offset += segmentBytes) {
            segments.push(encoded.subarray(offset, offset + segmentBytes));
        }
        return segments;
    }

    function evictIdle(): void {
        for (const [id, { lastUsedAt }] of cache) {
            if (now() - lastUsedAt > cacheTtlMs) {
                cache.delete(id);
            }
        }
    }

    /** Removes the rows of one part whose time is over; the other parts follow with the next calls. */
    async function removeExpired(): Promise<void> {
        const due = expiries.filter(({ removeAt }) => removeAt < now());
        const first = due[0];
        if (first === undefined) {
            return;
        }
        const { part } = first;
        const batch = due.filter(entry => entry.part === part).slice(0, maxTurnsPerRemoval);
        const conditions = batch.map(({ id, version }) => ({ table, part, key: id, version }));
        const removals = batch.flatMap(({ id, rowCount }) =>
            Array.from({ length: rowCount }, (_, index) => ({ table, part, key: keyOf(id, index) }))
        );
        try {
            const result = await store.change({ conditions, removals }, { timeout: removalIntervalMs });
            const rows = result.applied ? [] : result.rows;
            const isCurrent = (entry: Expiry) =>
                rows.some(({ key, version }) => key === entry.id && version === entry.version);
            batch.filter(entry => !isCurrent(entry)).forEach(entry => expiries.splice(expiries.indexOf(entry), 1));
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.info("rows.notRemoved", { table, part, turns: batch.length, reason: error.message,
                againIn: removalIntervalMs });
        }
    }

    return { history, save, [Symbol.dispose]: () => clearInterval(cleanupTimer) };
}

/** The table of turns, for its cleaning. */
export const turnTable: CleanedTable = {
    table,
    partCount,
    entryKeyOf: key => key.replace(/\/\d{3}$/, ""),
    writtenAt: rows => decode("", rows)!.keptAt,
    maxAgeMs: 3_600_000,
};

/** The parts that may hold a turn, the usual one first. */
function candidatePartsOf(id: string): readonly string[] {
    const first = hash(id) % partCount;
    // An odd distance leads to a different part each time.
    const distance = (hash(`${id}\n`) % (partCount / 2)) * 2 + 1;
    return Array.from({ length: partsPerTurn }, (_, index) => String((first + index * distance) % partCount));
}

/** The first turn that any of the reads finds; a failure only if none finds it and not all of them know. */
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

/** The first row of a turn has its id as key; a long turn goes on in rows behind it. */
function keyOf(id: string, index: number): string {
    return index === 0 ? id : `${id}/${String(index).padStart(3, "0")}`;
}

function encode({ ancestors, input, output, upstream, keptAt }: Turn): Buffer {
    return Buffer.from(pack([ancestors, input, output, upstream, keptAt]));
}

function decode(id: string, rows: readonly StoreRow[]): Turn | undefined {
    if (rows.length === 0) {
        return undefined;
    }
    const [ancestors, input, output, upstream, keptAt] = unpack(
        Buffer.concat(rows.map(({ value }) => value)),
    ) as [string[], Buffer, Buffer, string, number];
    return { id, ancestors, input: Buffer.from(input), output: Buffer.from(output), upstream, keptAt };
}
