import { type AnswerEvent, type Call, refuse } from "@tamarackgauge/core";
import { creditCostOf, maxPieceLength } from "./cost.ts";
import { type CloseReason, LinkError, ProtocolError } from "./reason.ts";
import type { PeerSettings } from "./setting.ts";
import { messageKinds, pack, readCompletion, readRefusal, type WireMessage } from "./wire.ts";

/** The calls that this daemon makes on a link. */
export interface OutgoingCalls {
    /** Returns the events of a call. The call is sent when `next` is first called. */
    open(call: Call, signal: AbortSignal): AsyncIterator<AnswerEvent, void>;
    receive(message: WireMessage): void;
    /** Fails every call with LinkError, after the events that were already received have been delivered. */
    fail(reason: CloseReason): void;
    /** Number of calls whose final event has not been received. */
    count(): number;
}

/** A call in progress. `unreturnedCredit` is the credit of received events that was not yet returned to the sender. */
interface Stream {
    readonly id: number;
    events: AnswerEvent[];
    unreturnedCredit: number;
    sent: boolean;
    ended: boolean;
    failure: LinkError | undefined;
    wake: () => void;
}

export function createOutgoingCalls(
    peer: string,
    settings: PeerSettings,
    push: (message: WireMessage, onFlush?: () => void) => void,
): OutgoingCalls {
    const streams = new Map<number, Stream>();
    let lastId = 0;
    let unfinishedCalls = 0;
    let closeReason: CloseReason | undefined;

    function sendCall(call: Call): Stream | undefined {
        const body = pack(call);
        if (body.length > settings.maxMessageBytes) {
            return undefined;
        }
        lastId += 1;
        unfinishedCalls += 1;
        const stream: Stream = { id: lastId, events: [], unreturnedCredit: 0, sent: false, ended: false,
            failure: undefined, wake: () => {} };
        streams.set(stream.id, stream);
        push([messageKinds.call, stream.id, body], () => {
            stream.sent = true;
        });
        return stream;
    }

    /** A hand-written iterator, because nested generators took twice the CPU time for each event. */
    function open(call: Call, signal: AbortSignal): AsyncIterator<AnswerEvent, void> {
        let stream: Stream | undefined;
        let events: readonly AnswerEvent[] = [];
        let position = 0;
        let consumedCredit = 0;
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
                return openStream();
            }
            if (consumedCredit >= settings.streamWindowBytes / 4) {
                returnCredit(stream, consumedCredit);
                consumedCredit = 0;
            }
            if (position === events.length) {
                events = stream.events;
                stream.events = [];
                position = 0;
            }
            const event = events[position];
            return event === undefined ? waitForEvent(stream) : deliver(event);
        }

        function openStream(): Promise<IteratorResult<AnswerEvent, void>> {
            if (closeReason !== undefined) {
                finished = true;
                return Promise.reject(new LinkError(peer, closeReason, false));
            }
            stream = sendCall(call);
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
                consumedCredit += creditCostOf(event.text);
            }
            else {
                finish();
            }
            return Promise.resolve({ done: false, value: event });
        }

        function waitForEvent(current: Stream): Promise<IteratorResult<AnswerEvent, void>> {
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
                unfinishedCalls -= 1;
                push([messageKinds.cancel, stream.id]);
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

    function returnCredit(stream: Stream, bytes: number): void {
        stream.unreturnedCredit -= bytes;
        if (!stream.ended && stream.failure === undefined) {
            push([messageKinds.credit, stream.id, bytes]);
        }
    }

    function receive(message: WireMessage): void {
        const id = message[1] as number;
        const stream = streams.get(id);
        if (stream === undefined) {
            // Events of a call that was cancelled at this end may still arrive.
            if (id > lastId) {
                throw new ProtocolError("stream_reused", `stream ${id} was never opened`);
            }
            return;
        }
        if (stream.ended) {
            throw new ProtocolError("stream_reused", `stream ${id} has ended`);
        }
        handleEvent(stream, message);
        stream.wake();
    }

    function handleEvent(stream: Stream, message: WireMessage): void {
        switch (message[0]) {
            case messageKinds.text:
                stream.unreturnedCredit += creditCostOf(message[3]);
                if (stream.unreturnedCredit > settings.streamWindowBytes + creditCostOf("") + 2 * maxPieceLength) {
                    throw new ProtocolError("credit_exceeded", `stream ${stream.id}`);
                }
                stream.events.push({ type: "text", offset: message[2], text: message[3] });
                return;
            case messageKinds.done:
                addFinalEvent(stream, { type: "done", completion: readCompletion(message[2]) });
                return;
            case messageKinds.refused:
                addFinalEvent(stream, { type: "refused", refusal: readRefusal(message[2]) });
        }
    }

    function addFinalEvent(stream: Stream, event: AnswerEvent): void {
        stream.events.push(event);
        stream.ended = true;
        unfinishedCalls -= 1;
    }

    return {
        open,
        receive,
        fail(reason) {
            closeReason = reason;
            unfinishedCalls = 0;
            for (const stream of streams.values()) {
                if (!stream.ended) {
                    stream.failure = new LinkError(peer, reason, stream.sent);
                    stream.wake();
                }
            }
        },
        count: () => unfinishedCalls,
    };
}
