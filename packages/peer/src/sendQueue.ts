import type { Clock } from "@tamarackgauge/core";
import { controlSize, pack, sizeOf, type WireMessage } from "./wire.ts";

/** Gathers messages into frames. */
export interface Outbox {
    /** Queues a message. `flushed` runs when the message is handed to the socket. */
    push(message: WireMessage, flushed?: () => void): void;
    /** Sends what is queued now; with nothing queued, sends nothing. */
    flush(): void;
    /** Milliseconds since the last frame was sent. */
    quietFor(): number;
    /** Drops what is queued and accepts nothing more. */
    close(): void;
}

/** `write` gets each frame and the part of it that is control traffic, in bytes. */
export function createOutbox(
    options: {
        readonly clock: Clock;
        readonly tickMs: number;
        readonly frameSize: number;
        readonly write: (frame: Buffer, control: number) => void;
    },
): Outbox {
    const { clock, tickMs, frameSize, write } = options;
    let messages: WireMessage[] = [];
    let callbacks: (() => void)[] = [];
    let size = 0;
    let sentAt = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    let immediate: NodeJS.Immediate | undefined;
    let closed = false;

    function flush(): void {
        clearTimeout(timer);
        clearImmediate(immediate);
        timer = undefined;
        immediate = undefined;
        if (closed || messages.length === 0) {
            return;
        }
        const frame = pack(messages);
        const control = messages.reduce((sum, message) => sum + controlSize(message), 0);
        const flushed = callbacks;
        messages = [];
        callbacks = [];
        size = 0;
        sentAt = clock.monotonic();
        flushed.forEach(callback => callback());
        write(frame, control);
    }

    function schedule(): void {
        if (timer !== undefined || immediate !== undefined) {
            return;
        }
        const wait = sentAt + tickMs - clock.monotonic();
        // A link that sent nothing during the last tick sends at the end of this turn of the event loop.
        if (wait <= 0) {
            immediate = setImmediate(flush);
        }
        else {
            timer = setTimeout(flush, wait);
        }
    }

    return {
        push(message, flushed) {
            if (closed) {
                return;
            }
            const bytes = sizeOf(message);
            if (messages.length > 0 && size + bytes > frameSize) {
                flush();
            }
            messages.push(message);
            size += bytes;
            if (flushed !== undefined) {
                callbacks.push(flushed);
            }
            if (size >= frameSize) {
                flush();
            }
            else {
                schedule();
            }
        },
        flush,
        quietFor: () => clock.monotonic() - sentAt,
        close() {
            closed = true;
            clearTimeout(timer);
            clearImmediate(immediate);
            messages = [];
            callbacks = [];
        },
    };
}
