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

/** Describes the table of turns to the cleaner. */
export const turnTable: CleanedTable = {
    table: turnTableName,
    partCount,
    entryKeyOf: key => key.replace(/\/\d{3}$/, ""),
    retainedUntil: rows => decodeTurn("", rows)!.keptUntil,
    maxAgeMs: 3_600_000,
};

/** The parts in which a turn may be stored, the preferred one first. */
export function candidatePartsOf(id: string): readonly string[] {
    const first = hash(id) % partCount;
    // As the number of parts is a power of two, an odd distance never leads to the same part twice.
    const distance = (hash(`${id}\n`) % (partCount / 2)) * 2 + 1;
    return Array.from({ length: partsPerTurn }, (_, index) => String((first + index * distance) % partCount));
}

/** Key of a turn's row. The key of the first row is the turn's id; a long turn continues in further rows. */
export function turnRowKey(id: string, index: number): string {
    return index === 0 ? id : `${id}/${String(index).padStart(3, "0")}`;
}

/** Encodes a turn as the values of its rows. `maxRowBytes` is the maximum size of a value as base64 text. */
export function encodeTurn({ ancestors, input, output, upstream, keptAt, keptUntil }: Turn,
    maxRowBytes: number): readonly Buffer[] {
    const encoded = Buffer.from(pack([ancestors, input, output, upstream, keptAt, keptUntil]));
    const segmentBytes = Math.floor(maxRowBytes * bytesPerBase64Char) - rowMarginBytes;
    const segments: Buffer[] = [];
    for (let offset = 0; offset < encoded.length; offset += segmentBytes) {
        segments.push(encoded.subarray(offset, offset + segmentBytes));
    }
    return segments;
}

/** Decodes the rows of a turn; undefined if there are none. */
export function decodeTurn(id: string, rows: readonly StoreRow[]): Turn | undefined {
    if (rows.length === 0) {
        return undefined;
    }
    // Rows of earlier versions of the program do not have the last value.
    const [ancestors, input, output, upstream, keptAt, keptUntil = keptAt] = unpack(
        Buffer.concat(rows.map(({ value }) => value)),
    ) as [string[], Buffer, Buffer, string, number, number | undefined];
    const { part, version } = rows[0]!;
    return { id, ancestors, input: Buffer.from(input), output: Buffer.from(output), upstream, keptAt, keptUntil,
        location: { part, version } };
}
