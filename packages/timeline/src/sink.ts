import debug from "debug";
import type { Writable } from "node:stream";
import type { TimelineEvent } from "./event.ts";

const log = debug("tamarackgauge:timeline");

/** Receives every event as it is recorded. */
export interface Sink {
    write(event: TimelineEvent): void;
}

/** Settings of a stream sink. */
export interface StreamSinkOptions {
    /** Bytes that may be buffered in the stream; beyond that, events are dropped and appear as gaps. Default 1 MB. */
    readonly maxBufferedBytes?: number;
}

/**
 * Writes events as newline-delimited JSON to a stream, such as standard output. Events of one turn of the event loop
 * are written together, after the work that recorded them. A stream that fails is not written to again.
 */
export function createStreamSink(stream: Writable, options: StreamSinkOptions = {}): Sink {
    const { maxBufferedBytes = 1_048_576 } = options;
    let pending: TimelineEvent[] = [];
    let failed = false;
    stream.on("error", error => {
        failed = true;
        log("events are no longer written: %s", error.message);
    });

    function flush(): void {
        const events = pending;
        pending = [];
        if (failed || stream.writableLength > maxBufferedBytes) {
            log("%d events were not written", events.length);
            return;
        }
        stream.write(events.map(event => JSON.stringify(event) + "\n").join(""));
    }

    return {
        write(event) {
            if (pending.push(event) === 1) {
                setImmediate(flush);
            }
        },
    };
}
