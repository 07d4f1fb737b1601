import { type MessageOptions, type ParsedMessage, parseMessage } from "@tamarackgauge/standin";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Reads messages from a connection, one after the other. */
export interface SocketReader {
    /** The next message, when it has come as a whole; `incomplete` if the connection ended before. */
    readMessage(options: MessageOptions): Promise<ParsedMessage>;
    /** The next message, when its head has come; it is not taken off. */
    peekHead(options: MessageOptions): Promise<ParsedMessage>;
}

/** Starts reading from a connection. */
export function openSocketReader(socket: Socket): SocketReader {
    let chunks: Buffer[] = [];
    let ended = false;
    let wake: (() => void) | undefined;
    socket.on("data", chunk => {
        chunks.push(chunk);
        wake?.();
    });
    for (const event of ["end", "close"]) {
        socket.on(event, () => {
            ended = true;
            wake?.();
        });
    }

    function received(): Buffer {
        const bytes = Buffer.concat(chunks);
        chunks = [bytes];
        return bytes;
    }

    async function readUntil(options: MessageOptions, isEnough: (parsed: ParsedMessage) => boolean) {
        for (;;) {
            const parsed = parseMessage(received(), options);
            if (ended || isEnough(parsed)) {
                return parsed;
            }
            await new Promise<void>(resolve => {
                wake = resolve;
            });
        }
    }

    return {
        async readMessage(options) {
            const parsed = await readUntil(options,
                result => result.kind === "malformed" || (result.kind === "message" && result.message.complete));
            if (parsed.kind === "message" && !parsed.message.complete) {
                return { kind: "incomplete" };
            }
            if (parsed.kind === "message") {
                chunks = [received().subarray(parsed.message.consumed)];
            }
            return parsed;
        },
        peekHead: options => readUntil(options, ({ kind }) => kind !== "incomplete"),
    };
}

/** Writes bytes in a number of parts of about the same size, with pauses in between. */
export async function writeInParts(socket: Socket, bytes: Buffer, parts: number, pauseMs: number): Promise<void> {
    const size = Math.max(1, Math.ceil(bytes.length / parts));
    for (let offset = 0; offset < bytes.length && socket.writable; offset += size) {
        if (offset > 0) {
            await sleep(pauseMs);
        }
        socket.write(bytes.subarray(offset, offset + size));
    }
}
