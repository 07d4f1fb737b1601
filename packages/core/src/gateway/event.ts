/** One event of a stream, raw and decoded. */
export interface StreamEvent {
    /** All bytes of the event, including the empty line at its end. */
    readonly raw: Buffer;
    readonly id: string | undefined;
    readonly data: Buffer;
}

const lineFeed = 0x0a;

/** Splits the bytes of an event stream (`text/event-stream`) into complete events. */
export class EventSplitter {
    private pending: Buffer = Buffer.alloc(0);
    /** Number of leading bytes of `pending` that are known to contain no event terminator. */
    private searchedBytes = 0;

    /** Appends received bytes and returns the events that they complete. */
    push(chunk: Buffer): readonly StreamEvent[] {
        this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const events: StreamEvent[] = [];
        let end = findEventEnd(this.pending, this.searchedBytes);
        while (end > 0) {
            events.push(parseEvent(this.pending.subarray(0, end)));
            this.pending = this.pending.subarray(end);
            end = findEventEnd(this.pending, 0);
        }
        this.searchedBytes = Math.max(0, this.pending.length - terminatorOverlapBytes);
        return events;
    }

    /** Received bytes of the incomplete last event. */
    remainder(): Buffer {
        return this.pending;
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
