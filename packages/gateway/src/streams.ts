import { EventSplitter, type StreamEvent } from "@tamarackgauge/core/gateway";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { beginStream } from "./callerAnswer.ts";
import type { StreamSink } from "./sendPlan.ts";

/** Relay of a stream to the caller. */
export interface StreamRelay extends StreamSink {
    /** Tokens in all events that were received, by the services of the upstreams that sent them. */
    tokens(): number;
    /** The data of all events, each followed by a line feed, if the relay keeps it. */
    output(): Buffer;
    /** Writes the event that is held back, and ends the answer. */
    finish(): void;
}

/** Dependencies and options of a relay. */
export interface StreamRelayParts {
    readonly response: ServerResponse;
    /**
     * Whether the data of the events is kept. The newest event is then held back until the next one arrives or `finish`
     * is called.
     */
    readonly keepsOutput: boolean;
    readonly resumable: boolean;
}

/** Reading from the upstream pauses while more than this is buffered for the caller. */
const maxBufferedBytes = 256 * 1_024;

const carriageReturn = 0x0d;
const lineFeedByte = 0x0a;
const lineFeed = Buffer.of(lineFeedByte);

/** Creates a relay. It writes complete events only, as an upstream may stop in the middle of an event. */
export function createStreamRelay({ response, keepsOutput, resumable }: StreamRelayParts): StreamRelay {
    let eventCount = 0;
    let tokens = 0;
    let tokensPerEvent = 0;
    let lastEventId: string | undefined;
    const output: Buffer[] = [];
    let splitter = new EventSplitter();
    let heldEvent: Buffer | undefined;

    function begin(status: number, headers: IncomingHttpHeaders, nextTokensPerEvent: number): void {
        splitter = new EventSplitter();
        tokensPerEvent = nextTokensPerEvent;
        beginStream(response, status, headers);
    }

    function data(chunk: Buffer): boolean {
        splitter.push(chunk).forEach(relay);
        return response.writableLength <= maxBufferedBytes;
    }

    function relay(event: StreamEvent): void {
        eventCount += 1;
        tokens += tokensPerEvent;
        lastEventId = event.id;
        if (!keepsOutput) {
            response.write(event.raw);
            return;
        }
        output.push(event.data, lineFeed);
        if (heldEvent !== undefined) {
            response.write(heldEvent);
        }
        heldEvent = event.raw;
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
        relayedEvents: () => eventCount,
        incompleteBytes: () => splitter.remainder().length,
        endsInsideEvent: () => splitter.remainder().some(byte => byte !== carriageReturn && byte !== lineFeedByte),
        finish,
        tokens: () => tokens,
        output: () => Buffer.concat(output),
        resumeAfter: () => resumable ? lastEventId : undefined,
    };
}
