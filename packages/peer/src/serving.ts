import { type AnswerEvent, type Call, type Refusal, RefusalError, refuse } from "@tamarackgauge/core";
import createDebug from "debug";
import { costOf, cut, pieceLength } from "./cost.ts";
import { CancelledError, LinkError, ProtocolError, type Reason } from "./reason.ts";
import type { Settings } from "./setting.ts";
import { kinds, pack, readCall, type WireMessage } from "./wire.ts";

const log = createDebug("tamarackgauge:peer");

/** Answers a call of the daemon `from`. The signal aborts with CancelledError or with LinkError. */
export type Serve = (from: string, call: Call, signal: AbortSignal) => AsyncIterable<AnswerEvent>;

/** The calls that this daemon serves on a link. */
export interface Serving {
    receive(message: WireMessage): void;
    /** Aborts every call with LinkError. */
    fail(reason: Reason): void;
    /** Calls whose iterable has not finished. */
    count(): number;
}

/** A call that is being served. `credit` may fall below zero by one piece of text. */
interface Stream {
    readonly id: number;
    readonly abort: AbortController;
    credit: number;
    closed: boolean;
    wake: () => void;
}

export function createServing(
    options: {
        readonly peer: string;
        readonly settings: Settings;
        readonly serve: Serve;
        readonly push: (message: WireMessage) => void;
        /** Resolves when the socket takes more; undefined if it does now. */
        readonly room: () => Promise<void> | undefined;
        readonly leaving: () => boolean;
        readonly finished: () => void;
    },
): Serving {
    const { peer, settings, serve, push, room, leaving, finished } = options;
    const streams = new Map<number, Stream>();
    let lastId = 0;
    let running = 0;

    function open(id: number, body: Uint8Array): void {
        if (id <= lastId) {
            throw new ProtocolError("stream_reused", `stream ${id}`);
        }
        const call = readCall(body);
        lastId = id;
        const refusal = leaving()
            ? refuse("leaving", "notRun")
            : running >= settings.streamLimit
            ? refuse("too_many_streams", "notRun")
            : undefined;
        if (refusal !== undefined) {
            push([kinds.refused, id, pack(refusal)]);
            return;
        }
        const stream: Stream = { id, abort: new AbortController(), credit: settings.window, closed: false,
            wake: () => {} };
        streams.set(id, stream);
        running += 1;
        void pump(stream, call).finally(() => {
            running -= 1;
            streams.delete(id);
            finished();
        });
    }

    async function pump(stream: Stream, call: Call): Promise<void> {
        try {
            for await (const event of serve(peer, call, stream.abort.signal)) {
                if (stream.closed) {
                    return;
                }
                if (event.type !== "text") {
                    end(stream, event);
                    return;
                }
                for (const piece of event.text.length > pieceLength ? cut(event) : [event]) {
                    if (stream.credit <= 0 || room() !== undefined) {
                        await waitForCredit(stream);
                    }
                    if (stream.closed) {
                        return;
                    }
                    stream.credit -= costOf(piece.text);
                    push([kinds.text, stream.id, piece.offset, piece.text]);
                }
            }
            refuseStream(stream, refuse("internal", "unknown", "the answer has no end"));
        }
        catch (error) {
            refuseStream(stream, refusalOf(error));
        }
    }

    /** Waits until the stream has credit and the socket has room. */
    async function waitForCredit(stream: Stream): Promise<void> {
        while (!stream.closed && stream.credit <= 0) {
            await new Promise<void>(resolve => {
                stream.wake = resolve;
            });
        }
        let wait = room();
        while (!stream.closed && wait !== undefined) {
            await wait;
            wait = room();
        }
    }

    function end(stream: Stream, event: Exclude<AnswerEvent, { type: "text"; }>): void {
        if (event.type === "refused") {
            refuseStream(stream, event.refusal);
            return;
        }
        const body = pack(event.completion);
        close(stream);
        push([kinds.done, stream.id, body]);
    }

    function refuseStream(stream: Stream, refusal: Refusal): void {
        if (stream.closed) {
            return;
        }
        close(stream);
        push([kinds.refused, stream.id, pack(refusal)]);
    }

    function close(stream: Stream): void {
        stream.closed = true;
        stream.wake();
    }

    function cancel(stream: Stream, error: Error): void {
        if (!stream.closed) {
            close(stream);
            stream.abort.abort(error);
        }
    }

    return {
        receive(message) {
            if (message[0] === kinds.call) {
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
            if (message[0] === kinds.credit) {
                stream.credit = Math.min(stream.credit + message[2], settings.window);
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
        count: () => running,
    };
}

function refusalOf(error: unknown): Refusal {
    if (error instanceof RefusalError) {
        return error.refusal;
    }
    log("a served call failed: %O", error);
    return refuse("internal", "unknown");
}
