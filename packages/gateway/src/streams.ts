import { EventSplitter, type StreamEvent } from "@tamarackgauge/core/gateway";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { beginStream } from "./callerAnswer.ts";
import type { StreamSink } from "./sendPlan.ts";

/** What a stream has carried to the caller so far. */
export interface StreamRelay extends StreamSink {
    /** Events that have been or are about to be passed on. */
    events(): readonly StreamEvent[];
    /** Passes on what is held back, and ends the answer. */
    finish(): void;
}

/** Parts of a relay. */
export interface StreamRelayParts {
    readonly response: ServerResponse;
    /** The newest event waits until the next one comes or the answer is finished. */
    readonly holdBackLastEvent: boolean;
    readonly resumable: boolean;
}

/** With this much for a caller that has not taken it, no more is read from the upstream, in bytes. */
const maxBufferedBytes = 256 * 1_024;

/** Passes events on as they come, whole events only: an upstream may stop in the middle of one. */
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
