import { type AnswerEvent, type Call, refuse } from "@tamarackgauge/core";
import { costOf, pieceLength } from "./cost.ts";
import { LinkError, ProtocolError, type Reason } from "./reason.ts";
import type { Settings } from "./setting.ts";
import { kinds, pack, readCompletion, readRefusal, type WireMessage } from "./wire.ts";

/** The calls that this daemon opened on a link. */
export interface Calls {
    /** Opens a call when the iterator is first pulled. */
    open(call: Call, signal: AbortSignal): AsyncIterator<AnswerEvent, void>;
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
    let unfinished = 0;
    let failed: Reason | undefined;

    function start(call: Call): Stream | undefined {
        const body = pack(call);
        if (body.length > settings.messageLimit) {
            return undefined;
        }
        lastId += 1;
        unfinished += 1;
        const stream: Stream = { id: lastId, events: [], held: 0, sent: false, ended: false, failure: undefined,
            wake: () => {} };
        streams.set(stream.id, stream);
        push([kinds.call, stream.id, body], () => {
            stream.sent = true;
        });
        return stream;
    }

    /** Written as an iterator: generators within generators took twice the CPU time for each event. */
    function open(call: Call, signal: AbortSignal): AsyncIterator<AnswerEvent, void> {
        let stream: Stream | undefined;
        let events: readonly AnswerEvent[] = [];
        let position = 0;
        let used = 0;
        let finished = false;

        function next(): Promise<IteratorResult<AnswerEvent, void>> {
            if (finished) {
                return Promise.resolve({ done: true, value: undefined });
            }
            if (signal.aborted) {
                finish();
                return Promise.reject(signal.reason as Error);
            }
            if (stream === undefined) {
                return begin();
            }
            if (used >= settings.window / 4) {
                giveBack(stream, used);
                used = 0;
            }
            if (position === events.length) {
                events = stream.events;
                stream.events = [];
                position = 0;
            }
            const event = events[position];
            return event === undefined ? wait(stream) : deliver(event);
        }

        function begin(): Promise<IteratorResult<AnswerEvent, void>> {
            if (failed !== undefined) {
                finished = true;
                return Promise.reject(new LinkError(peer, failed, false));
            }
            stream = start(call);
            if (stream === undefined) {
                finished = true;
                return Promise.resolve({ done: false,
                    value: { type: "refused", refusal: refuse("body_too_large", "notRun") } });
            }
            signal.addEventListener("abort", abort);
            return next();
        }

        function deliver(event: AnswerEvent): Promise<IteratorResult<AnswerEvent, void>> {
            position += 1;
            if (event.type === "text") {
                used += costOf(event.text);
            }
            else {
                finish();
            }
            return Promise.resolve({ done: false, value: event });
        }

        function wait(current: Stream): Promise<IteratorResult<AnswerEvent, void>> {
            if (current.failure !== undefined) {
                finish();
                return Promise.reject(current.failure);
            }
            return new Promise(resolve => {
                current.wake = () => {
                    current.wake = () => {};
                    resolve(next());
                };
            });
        }

        function abort(): void {
            stream?.wake();
        }

        function finish(): void {
            finished = true;
            signal.removeEventListener("abort", abort);
            if (stream === undefined) {
                return;
            }
            streams.delete(stream.id);
            if (!stream.ended && stream.failure === undefined) {
                unfinished -= 1;
                push([kinds.cancel, stream.id]);
            }
        }

        return {
            next,
            return() {
                if (!finished) {
                    finish();
                }
                return Promise.resolve({ done: true, value: undefined });
            },
        };
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
                endWith(stream, { type: "done", completion: readCompletion(message[2]) });
                return;
            case kinds.refused:
                endWith(stream, { type: "refused", refusal: readRefusal(message[2]) });
        }
    }

    function endWith(stream: Stream, event: AnswerEvent): void {
        stream.events.push(event);
        stream.ended = true;
        unfinished -= 1;
    }

    return {
        open,
        receive,
        fail(reason) {
            failed = reason;
            unfinished = 0;
            for (const stream of streams.values()) {
                if (!stream.ended) {
                    stream.failure = new LinkError(peer, reason, stream.sent);
                    stream.wake();
                }
            }
        },
        count: () => unfinished,
    };
}
