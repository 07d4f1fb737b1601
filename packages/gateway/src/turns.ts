import { hash, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { setTimeout as sleep } from "node:timers/promises";
import type { CleanedTable } from "./cleaner.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { type PacedStore, patientPersistence, persist, urgentPersistence } from "./storeRetry.ts";

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
    keep(turn: NewTurn, history: readonly Turn[], retention: number, time: number): Promise<void>;
}

const table = "turns";
const parts = 256;
/**
 * Parts that may hold a turn: one part can be away while others answer. A reader looks into the first one, and into the
 * others only if it does not find the turn there.
 */
const placesOfTurn = 3;
/** Turns used within this time stay in memory, in ms. */
const memoryTime = 8_000;
/** A turn that is continued after this share of its retention is kept anew, so that it outlives what continues it. */
const renewalShare = 0.5;
/** Rows are removed this long after the last turn that relies on them, in ms: a continuing call may be on its way. */
const removalDelay = 5_000;
const removalInterval = 2_000;
/** Turns whose rows are removed in one call of the store, which takes 100 entries. */
const mostRemovals = 20;
/** Bytes of a row value in text form that three bytes of a turn take as four characters. */
const bytesOfText = 3 / 4;

interface Remembered {
    readonly turn: Turn;
    usedAt: number;
}

interface Expiry {
    readonly id: string;
    readonly part: string;
    readonly rows: number;
    /** Version of the first row. A later one says that the turn was kept anew. */
    readonly version: number;
    readonly at: number;
}

/** Parts of turns. */
export interface TurnsParts {
    readonly store: PacedStore;
    /** The largest value of a row in text form. */
    readonly mostRowBytes: number;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** Creates the turns of the programs that come to this daemon. */
export function createTurns({ store, mostRowBytes, metrics, log, now }: TurnsParts): Turns & Disposable {
    const remembered = new Map<string, Remembered>();
    const expiries: Expiry[] = [];
    const segmentBytes = Math.floor(mostRowBytes * bytesOfText) - 64;
    const sweep = setInterval(() => {
        forgetIdle();
        void removeExpired();
    }, removalInterval);
    sweep.unref();

    async function history(id: string): Promise<History> {
        try {
            const last = await find(id);
            if (last === undefined) {
                return "unknown";
            }
            const before = await Promise.all(last.ancestors.map(find));
            return before.every(turn => turn !== undefined) ? [...before, last] : "unknown";
        }
        catch (error) {
            if (error instanceof StoreError) {
                return "unavailable";
            }
            throw error;
        }
    }

    async function find(id: string): Promise<Turn | undefined> {
        const known = remembered.get(id);
        if (known !== undefined) {
            known.usedAt = now();
            metrics.turnFound("memory");
            return known.turn;
        }
        metrics.turnFound("store");
        const turn = await findStored(id);
        if (turn !== undefined) {
            remembered.set(id, { turn, usedAt: now() });
        }
        return turn;
    }

    /** A turn is unknown only if each part that may hold it says so. */
    async function findStored(id: string): Promise<Turn | undefined> {
        const [first, ...others] = placesOf(id);
        const reading = readTurn(id, first!);
        const early = await Promise.race([settled(reading), sleep(store.hedgeDelay(), undefined, { ref: false })]);
        if (early?.status === "fulfilled" && early.value !== undefined) {
            return early.value;
        }
        return firstFound([reading, ...others.map(part => readTurn(id, part))]);
    }

    async function readTurn(id: string, part: string): Promise<Turn | undefined> {
        const range = { table, part, from: id, to: `${id}0` };
        const page = await persist(store, timeout => store.read(range, { timeout }), urgentPersistence);
        return decode(id, page.rows);
    }

    async function keep(turn: NewTurn, history: readonly Turn[], retention: number, time: number): Promise<void> {
        const keptAt = Date.now();
        const ancestors = history.map(({ id }) => id);
        const aging = history.filter(before => keptAt - before.keptAt > retention * renewalShare);
        await Promise.all([...aging, { ...turn, ancestors }].map(each => write({ ...each, keptAt }, retention, time)));
    }

    async function write(turn: Turn, retention: number, time: number): Promise<void> {
        const places = placesOf(turn.id);
        const segments = segmentsOf(turn);
        await persist(store, (timeout, attempt) => writeAt(places[attempt % places.length]!, timeout), {
            ...patientPersistence,
            giveUpAfter: time,
        });
        remembered.set(turn.id, { turn, usedAt: now() });

        async function writeAt(part: string, timeout: number): Promise<void> {
            const puts = segments.map((value, index) => ({ table, part, key: keyOf(turn.id, index), value }));
            const result = await store.change({ puts }, { timeout });
            const version = result.applied ? result.version : 0;
            const at = now() + retention * (1 + renewalShare) + removalDelay;
            expiries.push({ id: turn.id, part, rows: puts.length, version, at });
        }
    }

    function segmentsOf(turn: Turn): readonly Buffer[] {
        const whole = encode(turn);
        const segments: Buffer[] = [];
        for (let at = 0; at < whole.length; at += segmentBytes) {
            segments.push(whole.subarray(at, at + segmentBytes));
        }
        return segments;
    }

    function forgetIdle(): void {
        for (const [id, { usedAt }] of remembered) {
            if (now() - usedAt > memoryTime) {
                remembered.delete(id);
            }
        }
    }

    /** Removes the rows of one part whose time is over; the other parts follow with the next calls. */
    async function removeExpired(): Promise<void> {
        const due = expiries.filter(({ at }) => at < now());
        const first = due[0];
        if (first === undefined) {
            return;
        }
        const { part } = first;
        const batch = due.filter(entry => entry.part === part).slice(0, mostRemovals);
        const conditions = batch.map(({ id, version }) => ({ table, part, key: id, version }));
        const removals = batch.flatMap(({ id, rows }) =>
            Array.from({ length: rows }, (_, index) => ({ table, part, key: keyOf(id, index) }))
        );
        try {
            const result = await store.change({ conditions, removals }, { timeout: removalInterval });
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
                againIn: removalInterval });
        }
    }

    return { history, keep, [Symbol.dispose]: () => clearInterval(sweep) };
}

/** The table of turns, for its cleaning. */
export const turnTable: CleanedTable = {
    table,
    parts,
    entryOf: key => key.replace(/\/\d{3}$/, ""),
    writtenAt: rows => decode("", rows)!.keptAt,
    keptFor: 3_600_000,
};

/** The parts that may hold a turn, the usual one first. */
function placesOf(id: string): readonly string[] {
    const first = hash(id) % parts;
    // An odd distance leads to a different part each time.
    const distance = (hash(`${id}\n`) % (parts / 2)) * 2 + 1;
    return Array.from({ length: placesOfTurn }, (_, index) => String((first + index * distance) % parts));
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

async function settled<Value>(promise: Promise<Value>): Promise<PromiseSettledResult<Value>> {
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
