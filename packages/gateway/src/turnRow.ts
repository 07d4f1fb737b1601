import { hash, type StoreRow } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import type { CleanedTable } from "./cleaner.ts";

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
    /** Its rows are not removed before this time, by the same clock. */
    readonly keptUntil: number;
    /** Where its first row was found or written; undefined if that is not known. */
    readonly location?: TurnLocation;
}

/** The part that holds a turn's rows, and the version of the first one. */
export interface TurnLocation {
    readonly part: string;
    readonly version: number;
}

/** Name of the table of turns. */
export const turnTableName = "turns";
const partCount = 256;
/**
 * Number of parts in which a turn may be stored, as a part can be unavailable while others answer. Readers read the
 * first part, and the others only if that did not return the turn.
 */
const partsPerTurn = 3;
/** The store limits the size of base64 text, which encodes three bytes in four characters. */
const bytesPerBase64Char = 3 / 4;
const rowMarginBytes = 64;
const rowKeySeparator = "/";
const continuationPattern = /\/\d{3}$/;
/** The character after the separator: keys of a turn's rows come before its key with this character. */
const keyAfterSeparator = "0";

/** Describes the table of turns to the cleaner. */
export const turnTable: CleanedTable = {
    table: turnTableName,
    partCount,
    entryKeyOf: firstRowKeyOf,
    retainedUntil: rows => continuationPattern.test(rows[0]!.key) ? NaN : decodeRows(rows).keptUntil,
    maxAgeMs: 3_600_000,
};

/** The parts in which a turn may be stored, the preferred one first. */
export function candidatePartsOf(id: string): readonly string[] {
    const first = hash(id) % partCount;
    // As the number of parts is a power of two, an odd distance never leads to the same part twice.
    const distance = (hash(`${id}\n`) % (partCount / 2)) * 2 + 1;
    return Array.from({ length: partsPerTurn }, (_, index) => String((first + index * distance) % partCount));
}

/**
 * Key of a turn's row. The key of the first row is the turn's id, unless that has a separator, which no other id's key begins
 * with; a long turn continues in further rows.
 */
export function turnRowKey(id: string, index: number): string {
    const key = id.includes(rowKeySeparator) ? rowKeySeparator + escapeSeparators(id) : id;
    return index === 0 ? key : `${key}${rowKeySeparator}${String(index).padStart(3, "0")}`;
}

function escapeSeparators(id: string): string {
    return id.replaceAll("%", "%25").replaceAll(rowKeySeparator, "%2F");
}

function firstRowKeyOf(key: string): string {
    return key.replace(continuationPattern, "");
}

/** The keys of a turn's rows lie in this range, beside rows of turns whose ids begin with its own. */
export function turnRowRange(id: string): { readonly from: string; readonly to: string; } {
    const key = turnRowKey(id, 0);
    return { from: key, to: `${key}${keyAfterSeparator}` };
}

/** Where to read on in the range of a turn's rows after a key; rows of other turns are passed over. */
export function turnRowAfter(id: string, key: string): string {
    const [next, continuation] = [`${key}\0`, turnRowKey(id, 1)];
    return next < continuation ? continuation : next;
}

/**
 * A turn as the values of its rows. The values together are a marker byte, the length of the header, the header, the
 * input and the output. Each value is built when it is asked for, so that a large turn is not copied as a whole.
 */
export interface EncodedTurn {
    readonly rowCount: number;
    value(index: number): Buffer;
}

/** A byte with which no value of msgpack begins: rows of earlier versions of the program hold one such value. */
const formatMarker = 0xc1;
const headerLengthBytes = 4;

/** Encodes a turn. `maxRowBytes` is the maximum size of a value as base64 text. */
export function encodeTurn({ ancestors, input, output, upstream, keptAt, keptUntil }: Turn,
    maxRowBytes: number): EncodedTurn {
    const header = pack([ancestors, input.length, upstream, keptAt, keptUntil]);
    const start = Buffer.alloc(1 + headerLengthBytes);
    start.writeUInt8(formatMarker);
    start.writeUInt32BE(header.length, 1);
    const pieces = [start, Buffer.from(header), input, output];
    const totalBytes = pieces.reduce((sum, { length }) => sum + length, 0);
    const valueBytes = maxValueBytes(maxRowBytes);
    return {
        rowCount: Math.ceil(totalBytes / valueBytes),
        value: index => sliceOf(pieces, index * valueBytes, Math.min(totalBytes, (index + 1) * valueBytes)),
    };
}

function maxValueBytes(maxRowBytes: number): number {
    return Math.floor(maxRowBytes * bytesPerBase64Char) - rowMarginBytes;
}

/** Returns a range of the concatenation of `pieces`. */
function sliceOf(pieces: readonly Buffer[], from: number, to: number): Buffer {
    let offset = 0;
    const slices: Buffer[] = [];
    for (const piece of pieces) {
        slices.push(piece.subarray(Math.max(0, from - offset), Math.max(0, to - offset)));
        offset += piece.length;
    }
    return Buffer.concat(slices);
}

/**
 * Decodes a turn from the rows of its range, of which some may be of other turns; undefined if its first row is missing, so that
 * there is no complete turn.
 */
export function decodeTurn(id: string, rows: readonly StoreRow[]): Turn | undefined {
    const key = turnRowKey(id, 0);
    const ownRows = rows.filter(row => firstRowKeyOf(row.key) === key);
    const first = ownRows[0];
    return first?.key === key
        ? { id, location: { part: first.part, version: first.version }, ...decodeRows(ownRows) }
        : undefined;
}

function decodeRows(rows: readonly StoreRow[]): Omit<Turn, "id" | "location"> {
    const bytes = Buffer.concat(rows.map(({ value }) => value));
    if (bytes[0] !== formatMarker) {
        return decodeEarlierFormat(bytes);
    }
    const headerStart = 1 + headerLengthBytes;
    const inputStart = headerStart + bytes.readUInt32BE(1);
    const [ancestors, inputLength, upstream, keptAt, keptUntil] = unpack(
        bytes.subarray(headerStart, inputStart),
    ) as [string[], number, string, number, number];
    const outputStart = inputStart + inputLength;
    return { ancestors, upstream, keptAt, keptUntil, input: bytes.subarray(inputStart, outputStart),
        output: bytes.subarray(outputStart) };
}

/** Decodes the rows of earlier versions of the program, which do not say until when they are kept. */
function decodeEarlierFormat(bytes: Buffer) {
    const [ancestors, input, output, upstream, keptAt] = unpack(bytes) as [string[], Buffer, Buffer, string, number];
    return { ancestors, input: Buffer.from(input), output: Buffer.from(output), upstream, keptAt, keptUntil: keptAt };
}
