import { hash, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { setTimeout as sleep } from "node:timers/promises";
import type { CleanedTable } from "./cleaner.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { callWithRetries, type HedgeableStore, patientRetryPolicy, urgentRetryPolicy } from "./storeRetry.ts";

/** A turn that was answered completely, and the ids of the preceding turns. */
export interface Turn {
    readonly id: string;
    /** Ids of the preceding turns, the oldest first. */
    readonly ancestors: readonly string[];
    readonly input: Buffer;
    /** The data of the answer's events, each followed by a line feed. */
    readonly output: Buffer;
    /** Id of the engine that generated the answer and may still have the turn in its cache. */
    readonly upstream: string;
    /** Time of the last write of its rows, in ms since 1970, by the clock of the VM that wrote them. */
    readonly keptAt: number;
}

/** A turn that has just completed. */
export type NewTurn = Omit<Turn, "ancestors" | "keptAt">;

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

const table = "turns";
const partCount = 256;
/**
 * Number of parts in which a turn may be stored, as a part can be unavailable while others answer. Readers read the
 * first part, and the others only if that did not return the turn.
 */
const partsPerTurn = 3;
/** Turns that were not used for this time are removed from memory. */
const cacheTtlMs = 8_000;
/**
 * A turn that is continued after this fraction of its retention is written again, so that it outlives its successors.
 */
const renewalFraction = 0.5;
/**
 * Rows are removed this long after the retention of the last turn that relies on them has ended, as a call that
 * continues that turn may be in flight.
 */
const removalDelayMs = 5_000;
const removalIntervalMs = 2_000;
/** Number of turns whose rows are removed in one store call. The store accepts 100 entries in a call. */
const maxTurnsPerRemoval = 20;
/** The store limits the size of base64 text, which encodes three bytes in four characters. */
const bytesPerBase64Char = 3 / 4;

interface CachedTurn {
    readonly turn: Turn;
    lastUsedAt: number;
}

interface Expiry {
    readonly id: string;
    readonly part: string;
    readonly rowCount: number;
    /** Version of the first row. If the row has a later version, the turn was written again. */
    readonly version: number;
    readonly removeAt: number;
}

/** Dependencies of turns. */
export interface TurnsParts {
    readonly store: HedgeableStore;
    /** Maximum size of a row value as base64 text. */
    readonly maxRowBytes: number;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** Creates the access to the turns of the programs whose calls this gateway receives. */
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
            metrics.recordTurnLookup("memory");
            return cached.turn;
        }
        metrics.recordTurnLookup("store");
        const turn = await findStoredTurn(id);
        if (turn !== undefined) {
            cache.set(id, { turn, lastUsedAt: now() });
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

    /** Removes the expired rows of one part; the next calls remove those of the other parts. */
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

/** Describes the table of turns to the cleaner. */
export const turnTable: CleanedTable = {
    table,
    partCount,
    entryKeyOf: key => key.replace(/\/\d{3}$/, ""),
    writtenAt: rows => decode("", rows)!.keptAt,
    maxAgeMs: 3_600_000,
};

/** The parts in which a turn may be stored, the preferred one first. */
function candidatePartsOf(id: string): readonly string[] {
    const first = hash(id) % partCount;
    // As the number of parts is a power of two, an odd distance never leads to the same part twice.
    const distance = (hash(`${id}\n`) % (partCount / 2)) * 2 + 1;
    return Array.from({ length: partsPerTurn }, (_, index) => String((first + index * distance) % partCount));
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

/** Key of a turn's row. The key of the first row is the turn's id; a long turn continues in further rows. */
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
