import { type ChangeResult, createByteSemaphore, type RowCondition, StoreError } from "@tamarackgauge/core/gateway";
import { callWithRetries, type HedgeableStore, largeWriteRetryPolicy, patientRetryPolicy } from "./storeRetry.ts";
import { sizeOf } from "./turnCache.ts";
import type { TurnRemoval } from "./turnRemoval.ts";
import { candidatePartsOf, type EncodedTurn, encodeTurn, type Turn, type TurnLocation, turnRowKey,
    turnTableName as table } from "./turnRow.ts";

/** How long a turn and its ancestors are to be kept. */
export interface Term {
    /** Time of the write, in ms since 1970. */
    readonly keptAt: number;
    /** Until when a turn must be kept at least, in ms since 1970. */
    readonly neededUntil: number;
    /** Until when a turn that is written now is kept, in ms since 1970. */
    readonly keptUntil: number;
    /** In ms. */
    readonly retention: number;
    /** Time in ms within which the write must be confirmed. */
    readonly maxDuration: number;
}

/** A turn that has not been written yet. */
export type UnwrittenTurn = Omit<Turn, "keptAt" | "keptUntil" | "location">;

/** Writes the rows of turns. All methods reject with a `StoreError` if a write cannot be confirmed in time. */
export interface TurnWriter {
    write(turn: UnwrittenTurn, term: Term): Promise<Turn>;
    /** Writes a turn again, unless another gateway has meanwhile written it for as long. */
    renew(turn: Turn, term: Term): Promise<Turn>;
}

/** Dependencies of the writer. */
export interface TurnWriterParts {
    readonly store: HedgeableStore;
    /** Maximum size of a row value as base64 text. */
    readonly maxRowBytes: number;
    readonly removal: TurnRemoval;
    /** Reads a turn from one part. */
    readonly readTurn: (id: string, part: string) => Promise<Turn | undefined>;
    readonly now: () => number;
}

/** Rows are kept longer than needed by this fraction of the retention, so that not every successor renews them. */
const surplusFraction = 0.5;
/**
 * Rows are removed this long after they are no longer kept, as a call that continues the turn may be in flight, and the
 * clocks of VMs differ.
 */
const removalDelayMs = 5_000;
/** Base64 text in one call of the store, which accepts 1 MB. */
const maxBytesPerCall = 512 * 1_024;
/** The store accepts 100 entries in a call, of which one is the condition. */
const maxRowsPerCall = 99;
/**
 * Base64 text of all calls with several rows that are in flight at once. Further ones wait, because each of these texts
 * takes several times its size on the heap while it is sent.
 */
const maxBytesInLargeWrites = 4 * 1_024 * 1_024;
/** Number of times that a renewal is tried anew because the rows have changed. */
const maxConflicts = 3;

/** Returns the term of a turn that is written now. */
export function termOf(retention: number, maxDuration: number): Term {
    const keptAt = Date.now();
    return { keptAt, neededUntil: keptAt + retention, keptUntil: keptAt + retention * (1 + surplusFraction), retention,
        maxDuration };
}

/** Creates the writer of the turns that this gateway completes. */
export function createTurnWriter({ store, maxRowBytes, removal, readTurn, now }: TurnWriterParts): TurnWriter {
    const rowsPerCall = Math.min(maxRowsPerCall, Math.max(1, Math.floor(maxBytesPerCall / maxRowBytes)));
    const largeWrites = createByteSemaphore(maxBytesInLargeWrites);

    async function write(turn: UnwrittenTurn, term: Term): Promise<Turn> {
        const kept = withTerm(turn, term);
        const location = await callAnyPart(turn, term, (part, timeout) => put(kept, part, term, [], timeout));
        return { ...kept, ...location === undefined ? {} : { location } };
    }

    /** Calls `callPart` for the parts in which a turn may be stored, one after the other, until one call succeeds. */
    function callAnyPart<Value>(turn: UnwrittenTurn, { maxDuration }: Term,
        callPart: (part: string, timeout: number) => Promise<Value>): Promise<Value> {
        const candidateParts = candidatePartsOf(turn.id);
        const policy = sizeOf(turn) < maxBytesPerCall / 2 ? patientRetryPolicy : largeWriteRetryPolicy;
        return callWithRetries(store,
            (timeout, attempt) => callPart(candidateParts[attempt % candidateParts.length]!, timeout), {
            ...policy,
            giveUpAfter: maxDuration,
        });
    }

    /**
     * Writes the rows of a turn; returns undefined if a condition did not hold. The first row is written last, as readers
     * take a turn without it for missing.
     */
    async function put(turn: Turn, part: string, { retention }: Term, conditions: readonly RowCondition[],
        timeout: number): Promise<TurnLocation | undefined> {
        const encoded = encodeTurn(turn, maxRowBytes);
        const batches = batchesOf(encoded.rowCount, rowsPerCall);
        for (const indexes of batches.slice(1)) {
            await putRows(turn.id, part, encoded, indexes, [], timeout);
        }
        const result = await putRows(turn.id, part, encoded, batches[0]!, conditions, timeout);
        if (!result.applied) {
            return undefined;
        }
        const { version } = result;
        removal.schedule({ id: turn.id, part, firstRow: 0, rowCount: encoded.rowCount, version, retention,
            removeAt: now() + turn.keptUntil - turn.keptAt + removalDelayMs });
        return { part, version };
    }

    async function putRows(id: string, part: string, encoded: EncodedTurn, indexes: readonly number[],
        conditions: readonly RowCondition[], timeout: number): Promise<ChangeResult> {
        const write = () => {
            const puts = indexes.map(index => ({ table, part, key: turnRowKey(id, index),
                value: encoded.value(index) })
            );
            return store.change({ conditions, puts }, { timeout });
        };
        return indexes.length === 1 ? write() : largeWrites.run(indexes.length * maxRowBytes, write);
    }

    function renew(turn: Turn, term: Term): Promise<Turn> {
        return callAnyPart(turn, term, (part, timeout) => renewIn(part, turn, term, timeout));
    }

    /**
     * A gateway that needs the turn for a shorter time must not shorten what another one has written, so the write
     * depends on the version of the row.
     */
    async function renewIn(part: string, turn: Turn, term: Term, timeout: number): Promise<Turn> {
        const kept = withTerm(turn, term);
        let current = turn.location?.part === part ? turn : await readTurn(turn.id, part);
        for (let conflicts = 0; conflicts < maxConflicts; conflicts += 1) {
            if (current !== undefined && current.keptUntil >= term.neededUntil) {
                return current;
            }
            const condition = { table, part, key: turnRowKey(turn.id, 0), version: current?.location?.version ?? 0 };
            const location = await put(kept, part, term, [condition], timeout);
            if (location !== undefined) {
                return { ...kept, location };
            }
            current = await readTurn(turn.id, part);
        }
        throw new StoreError("refused", "the rows of the turn change all the time");
    }

    return { write, renew };
}

function withTerm(turn: UnwrittenTurn, { keptAt, keptUntil }: Term): Turn {
    const { id, ancestors, input, output, upstream } = turn;
    return { id, ancestors, input, output, upstream, keptAt, keptUntil };
}

/** The indexes of a turn's rows, divided into the calls in which they are written. */
function batchesOf(rowCount: number, rowsPerCall: number): readonly (readonly number[])[] {
    const indexes = Array.from({ length: rowCount }, (_, index) => index);
    return Array.from({ length: Math.ceil(rowCount / rowsPerCall) },
        (_, batch) => indexes.slice(batch * rowsPerCall, (batch + 1) * rowsPerCall));
}
