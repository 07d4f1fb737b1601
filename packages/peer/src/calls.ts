import { type AnswerEvent, type Call, refuse } from "@tamarackgauge/core";
import { costOf, pieceLength } from "./cost.ts";
import { LinkError, ProtocolError, type Reason } from "./reason.ts";
import type { Settings } from "./setting.ts";
import { kinds, pack, readCompletion, readRefusal, type WireMessage } from "./wire.ts";

/** The calls that this daemon opened on a link. */
export interface Calls {
    /** Opens a call when the iterable is first pulled. */
    open(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent, void>;
    receive(message: WireMessage): void;
    /** Ends every call with LinkError, after the events that already arrived. */
    fail(reason: Reason): void;
    /** Calls whose end has not arrived. */
    count(): number;
}

/** A call in progress. `held` counts the credit of events that arrived and were not yet given back. */
interface Stream {
    readonly id: number;
    events: AnswerEvent[];
    held: number;
    sent: boolean;
    ended: boolean;
    failure: LinkError | undefined;
    wake: () => void;
}

export function createCalls(
    peer: string,
    settings: Settings,
    push: (message: WireMessage, flushed?: () => void) => void,
): Calls {
    const streams = new Map<number, Stream>();
    let lastId = 0;
    let failed: Reason | undefined;

    function start(call: Call): Stream | undefined {
        const body = pack(call);
        if (body.length > settings.messageLimit) {
            return undefined;
        }
        lastId += 1;
        const stream: Stream = { id: lastId, events: [], held: 0, sent: false, ended: false, failure: undefined,
            wake: () => {} };
        streams.set(stream.id, stream);
        push([kinds.call, stream.id, body], () => {
            stream.sent = true;
        });
        return stream;
    }

    async function* open(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent, void> {
        signal.throwIfAborted();
        if (failed !== undefined) {
            throw new LinkError(peer, failed, false);
        }
        const stream = start(call);
        if (stream === undefined) {
            yield { type: "refused", refusal: refuse("body_too_large", "notRun") };
            return;
        }
        const abort = () => stream.wake();
        signal.addEventListener("abort", abort);
        try {
            yield* drainStream(stream, signal);
        }
        finally {
            signal.removeEventListener("abort", abort);
            streams.delete(stream.id);
            if (!stream.ended && stream.failure === undefined) {
                push([kinds.cancel, stream.id]);
            }
        }
    }

    async function* drainStream(stream: Stream, signal: AbortSignal): AsyncGenerator<AnswerEvent, void> {
        let used = 0;
        for (;;) {
            const events = stream.events;
            stream.events = [];
            for (const event of events) {
                signal.throwIfAborted();
                yield event;
                if (event.type !== "text") {
                    return;
                }
                used += costOf(event.text);
                if (used >= settings.window / 4) {
                    giveBack(stream, used);
                    used = 0;
                }
            }
            signal.throwIfAborted();
            if (stream.events.length > 0) {
                continue;
            }
            if (stream.failure !== undefined) {
                throw stream.failure;
            }
            await new Promise<void>(resolve => {
                stream.wake = resolve;
            });
        }
    }

    function giveBack(stream: Stream, bytes: number): void {
        stream.held -= bytes;
        if (!stream.ended && stream.failure === undefined) {
            push([kinds.credit, stream.id, bytes]);
        }
    }

    function receive(message: WireMessage): void {
        const id = message[1] as number;
        const stream = streams.get(id);
        if (stream === undefined) {
            // Events of a call that was cancelled here may still be under way.
            if (id > lastId) {
                throw new ProtocolError("stream_reused", `stream ${id} was never opened`);
            }
            return;
        }
        if (stream.ended) {
            throw new ProtocolError("stream_reused", `stream ${id} has ended`);
        }
        accept(stream, message);
        stream.wake();
    }

    function accept(stream: Stream, message: WireMessage): void {
        switch (message[0]) {
            case kinds.text:
                stream.held += costOf(message[3]);
                if (stream.held > settings.window + costOf("") + 2 * pieceLength) {
                    throw new ProtocolError("credit_exceeded", `stream ${stream.id}`);
                }
                stream.events.push({ type: "text", offset: message[2], text: message[3] });
                return;
            case kinds.done:
                stream.events.push({ type: "done", completion: readCompletion(message[2]) });
                stream.ended = true;
                return;
            case kinds.refused:
                stream.events.push({ type: "refused", refusal: readRefusal(message[2]) });
                stream.ended = true;
        }
    }

    return {
        open,
        receive,
        fail(reason) {
            failed = reason;
            for (const stream of streams.values()) {
                if (!stream.ended) {
                    stream.failure = new LinkError(peer, reason, stream.sent);
                    stream.wake();
                }
            }
        },
        count: () => [...streams.values()].filter(stream => !stream.ended).length,
    };
}
