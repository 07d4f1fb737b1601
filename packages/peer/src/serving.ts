import { type AnswerEvent, type Call, type Refusal, RefusalError, refuse } from "@tamarackgauge/core";
import createDebug from "debug";
import { creditCostOf, maxPieceLength, splitText } from "./cost.ts";
import { CancelledError, type CloseReason, LinkError, ProtocolError } from "./reason.ts";
import type { PeerSettings } from "./setting.ts";
import { messageKinds, pack, readCall, type WireMessage } from "./wire.ts";

const log = createDebug("tamarackgauge:peer");

/** Handles a call of the daemon `from`. The signal is aborted with CancelledError or LinkError. */
export type CallHandler = (from: string, call: Call, signal: AbortSignal) => AsyncIterable<AnswerEvent>;

/** The calls that this daemon serves on a link. */
export interface IncomingCalls {
    receive(message: WireMessage): void;
    /** Aborts every call with LinkError. */
    fail(reason: CloseReason): void;
    /** Number of calls whose iterable has not finished. */
    count(): number;
}

/** A call that is being served. `credit` may become negative by the cost of one text message. */
interface Stream {
    readonly id: number;
    readonly abortController: AbortController;
    credit: number;
    closed: boolean;
    wake: () => void;
}

export function createIncomingCalls(
    options: {
        readonly peer: string;
        readonly settings: PeerSettings;
        readonly handleCall: CallHandler;
        readonly push: (message: WireMessage) => void;
        /** Resolves when the socket's send buffer has room; undefined if it has room now. */
        readonly whenWritable: () => Promise<void> | undefined;
        readonly isLeaving: () => boolean;
        readonly onCallFinished: () => void;
    },
): IncomingCalls {
    const { peer, settings, handleCall, push, whenWritable, isLeaving, onCallFinished } = options;
    const streams = new Map<number, Stream>();
    let lastId = 0;
    let runningCalls = 0;

    function open(id: number, body: Uint8Array): void {
        if (id <= lastId) {
            throw new ProtocolError("stream_reused", `stream ${id}`);
        }
        const call = readCall(body);
        lastId = id;
        const refusal = isLeaving()
            ? refuse("leaving", "notRun")
            : runningCalls >= settings.maxStreamsPerLink
            ? refuse("too_many_streams", "notRun")
            : undefined;
        if (refusal !== undefined) {
            push([messageKinds.refused, id, pack(refusal)]);
            return;
        }
        const stream: Stream = { id, abortController: new AbortController(), credit: settings.streamWindowBytes,
            closed: false, wake: () => {} };
        streams.set(id, stream);
        runningCalls += 1;
        void sendEvents(stream, call).finally(() => {
            runningCalls -= 1;
            streams.delete(id);
            onCallFinished();
        });
    }

    async function sendEvents(stream: Stream, call: Call): Promise<void> {
        try {
            for await (const event of handleCall(peer, call, stream.abortController.signal)) {
                if (stream.closed) {
                    return;
                }
                if (event.type !== "text") {
                    finish(stream, event);
                    return;
                }
                for (const piece of event.text.length > maxPieceLength ? splitText(event) : [event]) {
                    if (stream.credit <= 0 || whenWritable() !== undefined) {
                        await waitUntilSendable(stream);
                    }
                    if (stream.closed) {
                        return;
                    }
                    stream.credit -= creditCostOf(piece.text);
                    push([messageKinds.text, stream.id, piece.offset, piece.text]);
                }
            }
            refuseStream(stream, refuse("internal", "unknown", "the answer has no end"));
        }
        catch (error) {
            refuseStream(stream, refusalOf(error));
        }
    }

    /** Waits until the stream has credit and the socket's send buffer has room. */
    async function waitUntilSendable(stream: Stream): Promise<void> {
        while (!stream.closed && stream.credit <= 0) {
            await new Promise<void>(resolve => {
                stream.wake = resolve;
            });
        }
        let writable = whenWritable();
        while (!stream.closed && writable !== undefined) {
            await writable;
            writable = whenWritable();
        }
    }

    function finish(stream: Stream, event: Exclude<AnswerEvent, { type: "text"; }>): void {
        if (event.type === "refused") {
            refuseStream(stream, event.refusal);
            return;
        }
        const body = pack(event.completion);
        close(stream);
        push([messageKinds.done, stream.id, body]);
    }

    function refuseStream(stream: Stream, refusal: Refusal): void {
        if (stream.closed) {
            return;
        }
        close(stream);
        push([messageKinds.refused, stream.id, pack(refusal)]);
    }

    function close(stream: Stream): void {
        stream.closed = true;
        stream.wake();
    }

    function cancel(stream: Stream, error: Error): void {
        if (!stream.closed) {
            close(stream);
            stream.abortController.abort(error);
        }
    }

    return {
        receive(message) {
            if (message[0] === messageKinds.call) {
                open(message[1], message[2]);
                return;
            }
            const id = message[1] as number;
            const stream = streams.get(id);
            if (stream === undefined) {
                if (id > lastId) {
                    throw new ProtocolError("stream_reused", `stream ${id} was never opened`);
                }
                return;
            }
            if (message[0] === messageKinds.credit) {
                stream.credit = Math.min(stream.credit + message[2], settings.streamWindowBytes);
                stream.wake();
            }
            else {
                cancel(stream, new CancelledError(peer));
            }
        },
        fail(reason) {
            for (const stream of streams.values()) {
                cancel(stream, new LinkError(peer, reason, true));
            }
        },
        count: () => runningCalls,
    };
}

function refusalOf(error: unknown): Refusal {
    if (error instanceof RefusalError) {
        return error.refusal;
    }
    log("handling a call failed: %O", error);
    return refuse("internal", "unknown");
}
