import type { Clock } from "@tamarackgauge/core";
import { controlBytesOf, maxPackedBytes, pack, type WireMessage } from "./wire.ts";

/** Batches outgoing messages into frames. */
export interface SendQueue {
    /** Queues a message. `onFlush` is called when the message is passed to the socket. */
    push(message: WireMessage, onFlush?: () => void): void;
    /** Sends the queued messages at once, if there are any. */
    flush(): void;
    /** Milliseconds since the last frame was sent. */
    msSinceLastFrame(): number;
    /** Discards the queued messages and ignores later ones. */
    close(): void;
}

/** `write` receives each frame and the number of its bytes that are control traffic. */
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
        // If no frame was sent during the last batch interval, the frame is sent in this iteration of the event loop.
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
