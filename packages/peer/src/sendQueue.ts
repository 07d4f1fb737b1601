import type { Clock } from "@tamarackgauge/core";
import { controlBytesOf, maxPackedBytes, pack, type WireMessage } from "./wire.ts";

/** Gathers messages into frames. */
export interface SendQueue {
    /** Queues a message. `flushed` runs when the message is handed to the socket. */
    push(message: WireMessage, onFlush?: () => void): void;
    /** Sends what is queued now; with nothing queued, sends nothing. */
    flush(): void;
    /** Milliseconds since the last frame was sent. */
    msSinceLastFrame(): number;
    /** Drops what is queued and accepts nothing more. */
    close(): void;
}

/** `write` gets each frame and the part of it that is control traffic, in bytes. */
export function createSendQueue(
    options: {
        readonly clock: Clock;
        readonly batchIntervalMs: number;
        readonly flushThresholdBytes: number;
        readonly write: (frame: Buffer, controlBytes: number) => void;
    },
): SendQueue {
    const { clock, batchIntervalMs, flushThresholdBytes, write } = options;
    let messages: WireMessage[] = [];
    let pendingCallbacks: (() => void)[] = [];
    let queuedBytes = 0;
    let lastSentAt = Number.NEGATIVE_INFINITY;
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
        const controlBytes = messages.reduce((sum, message) => sum + controlBytesOf(message), 0);
        const flushedCallbacks = pendingCallbacks;
        messages = [];
        pendingCallbacks = [];
        queuedBytes = 0;
        lastSentAt = clock.monotonic();
        flushedCallbacks.forEach(callback => callback());
        write(frame, controlBytes);
    }

    function schedule(): void {
        if (timer !== undefined || immediate !== undefined) {
            return;
        }
        const delayMs = lastSentAt + batchIntervalMs - clock.monotonic();
        // A link that sent nothing during the last tick sends at the end of this turn of the event loop.
        if (delayMs <= 0) {
            immediate = setImmediate(flush);
        }
        else {
            timer = setTimeout(flush, delayMs);
        }
    }

    return {
        push(message, onFlush) {
            if (closed) {
                return;
            }
            const messageBytes = maxPackedBytes(message);
            if (messages.length > 0 && queuedBytes + messageBytes > flushThresholdBytes) {
                flush();
            }
            messages.push(message);
            queuedBytes += messageBytes;
            if (onFlush !== undefined) {
                pendingCallbacks.push(onFlush);
            }
            if (queuedBytes >= flushThresholdBytes) {
                flush();
            }
            else {
                schedule();
            }
        },
        flush,
        msSinceLastFrame: () => clock.monotonic() - lastSentAt,
        close() {
            closed = true;
            clearTimeout(timer);
            clearImmediate(immediate);
            messages = [];
            pendingCallbacks = [];
        },
    };
}
