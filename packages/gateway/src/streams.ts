import { EventSplitter, type StreamEvent } from "@tamarackgauge/core/gateway";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { beginStream } from "./callerAnswer.ts";
import type { StreamSink } from "./sendPlan.ts";

/** Relay of a stream to the caller. */
export interface StreamRelay extends StreamSink {
    /** Events that were received from upstreams, including one that is held back. */
    events(): readonly StreamEvent[];
    /** Writes the event that is held back, and ends the answer. */
    finish(): void;
}

/** Dependencies and options of a relay. */
export interface StreamRelayParts {
    readonly response: ServerResponse;
    /** Whether the newest event is held back until the next one arrives or `finish` is called. */
    readonly holdBackLastEvent: boolean;
    readonly resumable: boolean;
}

/** Reading from the upstream pauses while more than this is buffered for the caller. */
const maxBufferedBytes = 256 * 1_024;

/** Creates a relay. It writes complete events only, as an upstream may stop in the middle of an event. */
export function createStreamRelay({ response, holdBackLastEvent, resumable }: StreamRelayParts): StreamRelay {
    const events: StreamEvent[] = [];
    let splitter = new EventSplitter();
    let heldEvent: Buffer | undefined;

    function begin(status: number, headers: IncomingHttpHeaders): void {
        splitter = new EventSplitter();
        beginStream(response, status, headers);
    }

    function data(chunk: Buffer): boolean {
        for (const event of splitter.push(chunk)) {
            events.push(event);
            if (heldEvent !== undefined) {
                response.write(heldEvent);
            }
            heldEvent = holdBackLastEvent ? event.raw : undefined;
            if (!holdBackLastEvent) {
                response.write(event.raw);
            }
        }
        return response.writableLength <= maxBufferedBytes;
    }

    function drained(): Promise<void> {
        return new Promise(resolve => {
            const settle = () => {
                response.off("drain", settle);
                response.off("close", settle);
                resolve();
            };
            response.on("drain", settle);
            response.on("close", settle);
        });
    }

    function finish(): void {
        if (heldEvent !== undefined) {
            response.write(heldEvent);
        }
        const remainder = splitter.remainder();
        response.end(remainder.length === 0 ? undefined : remainder);
    }

    return {
        begin,
        write: data,
        drained,
        relayedEvents: () => events.length,
        incompleteBytes: () => splitter.remainder().length,
        finish,
        events: () => events,
        resumeAfter: () => resumable ? events[events.length - 1]?.id : undefined,
    };
}
