/** One event of a stream, as it came and as decoded. */
export interface StreamEvent {
    /** All bytes of the event, the empty line at its end included. */
    readonly raw: Buffer;
    readonly id: string | undefined;
    readonly data: Buffer;
}

const lineFeed = 0x0a;

/** Splits the bytes of an event stream (`text/event-stream`) into whole events. */
export class EventSplitter {
    private pending: Buffer = Buffer.alloc(0);
    /** Bytes of `pending` in which no event ends. */
    private searchedBytes = 0;

    /** Takes bytes and gives the events that they complete. */
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

    /** Bytes that no event end has followed yet. */
    remainder(): Buffer {
        return this.pending;
    }
}

/** Bytes of the longest end of an event less one: an end may begin in what has been searched. */
const terminatorOverlapBytes = 2;

/** The length of the first event with its empty line, looked for from an offset on; 0 if that line has not come. */
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
    // Latin-1 keeps every byte as it is.
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
