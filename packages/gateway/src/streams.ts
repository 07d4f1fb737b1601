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
    readonly holdsLast: boolean;
    readonly resumable: boolean;
}

/** With this much for a caller that has not taken it, no more is read from the upstream, in bytes. */
const mostUnread = 256 * 1_024;

/** Passes events on as they come, whole events only: an upstream may stop in the middle of one. */
export function createStreamRelay({ response, holdsLast, resumable }: StreamRelayParts): StreamRelay {
    const events: StreamEvent[] = [];
    let splitter = new EventSplitter();
    let held: Buffer | undefined;

    function begin(status: number, headers: IncomingHttpHeaders): void {
        splitter = new EventSplitter();
        beginStream(response, status, headers);
    }

    function data(chunk: Buffer): boolean {
        for (const event of splitter.push(chunk)) {
            events.push(event);
            if (held !== undefined) {
                response.write(held);
            }
            held = holdsLast ? event.raw : undefined;
            if (!holdsLast) {
                response.write(event.raw);
            }
        }
        return response.writableLength <= mostUnread;
    }

    function drained(): Promise<void> {
        return new Promise(resolve => {
            const done = () => {
                response.off("drain", done);
                response.off("close", done);
                resolve();
            };
            response.on("drain", done);
            response.on("close", done);
        });
    }

    function finish(): void {
        if (held !== undefined) {
            response.write(held);
        }
        const rest = splitter.remainder();
        response.end(rest.length === 0 ? undefined : rest);
    }

    return {
        begin,
        data,
        drained,
        passed: () => events.length,
        unfinished: () => splitter.remainder().length,
        finish,
        events: () => events,
        resumeAfter: () => resumable ? events[events.length - 1]?.id : undefined,
    };
}
