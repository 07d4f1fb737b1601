import type { Socket } from "node:net";
import { Duplex, Transform } from "node:stream";

/** Size of the length with which a frame begins. */
const lengthBytes = 4;
/** Longer than what is read from an upstream at once. */
const maxFrameBytes = 1_024 * 1_024;

/** The connection to another gateway ended, and the upstream's side of it had not. */
export class RelayBrokenError extends Error {
    constructor(reason = "the gateway that relays has closed the connection") {
        super(reason);
    }
}

/**
 * Puts what is written to it into frames: a length and so many bytes. A frame without bytes marks the end. A connection that ends
 * without it has been broken off, which its end alone does not tell: the operating system closes the connections of a process
 * that is killed in an orderly way.
 */
export function createFrameEncoder(): Transform {
    return new Transform({
        transform(chunk: Buffer, _, callback) {
            if (chunk.length > 0) {
                this.push(headOf(chunk.length));
                this.push(chunk);
            }
            callback();
        },
        flush(callback) {
            callback(null, headOf(0));
        },
    });
}

function headOf(length: number): Buffer {
    const head = Buffer.alloc(lengthBytes);
    head.writeUInt32BE(length);
    return head;
}

/** Takes the bytes out of frames. */
interface FrameDecoder {
    /** Decodes the next bytes of the connection; frames are passed on in parts, as they come. */
    decode(chunk: Buffer): readonly Buffer[];
    isEnded(): boolean;
}

function createFrameDecoder(): FrameDecoder {
    let head = Buffer.alloc(0);
    /** Bytes of the frame that are still to come. */
    let left = 0;
    let ended = false;

    /** Returns how many bytes belong to the head. */
    function readHead(bytes: Buffer): number {
        const part = bytes.subarray(0, lengthBytes - head.length);
        head = Buffer.concat([head, part]);
        if (head.length === lengthBytes) {
            left = head.readUInt32BE();
            ended = left === 0;
            head = Buffer.alloc(0);
        }
        if (left > maxFrameBytes) {
            throw new RelayBrokenError(`a frame of ${left} bytes has come from the gateway that relays`);
        }
        return part.length;
    }

    return {
        decode(chunk) {
            const parts: Buffer[] = [];
            let rest = chunk;
            while (rest.length > 0 && !ended) {
                if (left === 0) {
                    rest = rest.subarray(readHead(rest));
                    continue;
                }
                const part = rest.subarray(0, left);
                left -= part.length;
                rest = rest.subarray(part.length);
                parts.push(part);
            }
            return parts;
        },
        isEnded: () => ended,
    };
}

/** Without frames nothing tells whether the upstream's side has ended. */
const unframedDecoder: FrameDecoder = { decode: chunk => [chunk], isEnded: () => false };

/**
 * The upstream's side of a connection over which another gateway relays. It ends only as the upstream's side ends, and fails if
 * the connection ends otherwise. Without frames each end is a failure.
 */
export function readRelayed(connection: Socket, framed: boolean): Duplex {
    const decoder = framed ? createFrameDecoder() : unframedDecoder;
    const stream = new Duplex({
        allowHalfOpen: false,
        read: () => void connection.resume(),
        write: (chunk: Buffer, _, callback) => void connection.write(chunk, callback),
        final: callback => void connection.end(callback),
        destroy(error, callback) {
            connection.destroy();
            callback(error);
        },
    });

    function pass(chunk: Buffer): void {
        const hasRoom = decoder.decode(chunk).map(part => stream.push(part)).every(Boolean);
        if (decoder.isEnded()) {
            stream.push(null);
            // Nobody may be reading, and the end is to be seen all the same.
            stream.read(0);
        }
        else if (!hasRoom) {
            connection.pause();
        }
    }

    connection.on("data", (chunk: Buffer) => {
        try {
            pass(chunk);
        }
        catch (error) {
            stream.destroy(error as Error);
        }
    });
    // What broke is seen by the close that follows.
    connection.on("error", () => undefined);
    connection.once("close", () => {
        if (!decoder.isEnded()) {
            stream.destroy(new RelayBrokenError());
        }
    });
    return stream;
}
