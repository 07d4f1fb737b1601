/** One event of a stream, raw and decoded. */
export interface StreamEvent {
    /** All bytes of the event, including the empty line at its end. */
    readonly raw: Buffer;
    readonly id: string | undefined;
    readonly data: Buffer;
}

const lineFeed = 0x0a;
const noBytes = Buffer.alloc(0);

/** Splits the bytes of an event stream (`text/event-stream`) into complete events. */
export class EventSplitter {
    /** Holds the incomplete event; larger than it, so that small chunks are appended without copying what has come before. */
    private block: Buffer = noBytes;
    private blockBytes = 0;
    /** Number of leading bytes of the incomplete event that are known to contain no event terminator. */
    private searchedBytes = 0;

    /** Appends received bytes and returns the events that they complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        let pending = this.blockBytes === 0 ? chunk : this.append(chunk);
        const events: StreamEvent[] = [];
        let end = findEventEnd(pending, this.searchedBytes);
        while (end > 0) {
            events.push(parseEvent(pending.subarray(0, end)));
            pending = pending.subarray(end);
            end = findEventEnd(pending, 0);
        }
        if (events.length > 0 || this.blockBytes === 0) {
            this.hold(pending);
        }
        this.searchedBytes = Math.max(0, this.blockBytes - terminatorOverlapBytes);
        return events;
    }

    /** Received bytes of the incomplete last event. */
    remainder(): Buffer {
        return this.block.subarray(0, this.blockBytes);
    }

    /** Number of received bytes of the incomplete last event. */
    remainderBytes(): number {
        return this.blockBytes;
    }

    /** Appends to the incomplete event, and returns all of it. */
    private append(chunk: Buffer): Buffer {
        const bytes = this.blockBytes + chunk.length;
        if (bytes > this.block.length) {
            const block = Buffer.allocUnsafeSlow(bytes * 2);
            this.block.copy(block, 0, 0, this.blockBytes);
            this.block = block;
        }
        chunk.copy(this.block, this.blockBytes);
        this.blockBytes = bytes;
        return this.remainder();
    }

    /** Begins an incomplete event in a block of its own, as events that were returned lie in the one before. */
    private hold(bytes: Buffer): void {
        this.block = bytes.length === 0 ? noBytes : Buffer.allocUnsafeSlow(bytes.length * 2);
        bytes.copy(this.block);
        this.blockBytes = bytes.length;
    }
}

/**
 * Length of the longest event terminator minus one. That many bytes are searched again, as a terminator may be split
 * between two chunks.
 */
const terminatorOverlapBytes = 2;

/** Returns the length of the first event including its empty line, searching from an offset; 0 if it is incomplete. */
function findEventEnd(bytes: Buffer, from: number): number {
    let index = bytes.indexOf(lineFeed, from);
    while (index >= 0) {
        if (bytes[index + 1] === lineFeed) {
            return index + 2;
        }
        if (bytes[index + 1] === 0x0d && bytes[index + 2] === lineFeed) {
            return index + 3;
        }
        index = bytes.indexOf(lineFeed, index + 1);
    }
    return 0;
}

function parseEvent(raw: Buffer): StreamEvent {
    let id: string | undefined;
    const data: string[] = [];
    // Latin-1 maps every byte to one character, so that the data is converted back without loss.
    for (const line of raw.toString("latin1").split(/\r?\n/)) {
        const { name, value } = parseField(line);
        if (name === "id") {
            id = value;
        }
        else if (name === "data") {
            data.push(value);
        }
    }
    return { raw, id, data: Buffer.from(data.join("\n"), "latin1") };
}

function parseField(line: string): { readonly name: string; readonly value: string; } {
    const colon = line.indexOf(":");
    if (colon < 0) {
        return { name: line, value: "" };
    }
    const value = line.slice(colon + 1);
    return { name: line.slice(0, colon), value: value.startsWith(" ") ? value.slice(1) : value };
}
