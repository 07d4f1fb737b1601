import { EventSplitter, type StreamEvent } from "@tamarackgauge/core/gateway";
import type { IncomingHttpHeaders } from "node:http";
import type { StreamSink } from "./sendPlan.ts";
import type { StreamWriter } from "./streamWriter.ts";

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
    readonly writer: StreamWriter;
    /**
     * Whether the data of the events is kept. The newest event is then held back until the next one arrives or `finish`
     * is called.
     */
    readonly keepsOutput: boolean;
    readonly resumable: boolean;
    /** Maximum number of tokens that an upstream generates for the call; 0 if the caller did not declare it. */
    readonly maxTokens: number;
    /** Called when an upstream has generated more than `maxTokens` and goes on; nothing further is relayed. */
    readonly onExcess: () => void;
}

const carriageReturn = 0x0d;
const lineFeedByte = 0x0a;
const lineFeed = Buffer.of(lineFeedByte);

/** Creates a relay. It writes complete events only, as an upstream may stop in the middle of an event. */
export function createStreamRelay(
    { writer, keepsOutput, resumable, maxTokens, onExcess }: StreamRelayParts,
): StreamRelay {
    let eventCount = 0;
    let tokens = 0;
    let tokensPerEvent = 0;
    /** Tokens of the upstream that sends now. */
    let attemptTokens = 0;
    let exceeded = false;
    let lastEventId: string | undefined;
    const output: Buffer[] = [];
    let outputBytes = 0;
    let splitter = new EventSplitter();
    let heldEvent: Buffer | undefined;

    function begin(status: number, headers: IncomingHttpHeaders, nextTokensPerEvent: number): void {
        splitter = new EventSplitter();
        tokensPerEvent = nextTokensPerEvent;
        attemptTokens = 0;
        writer.begin(status, headers);
    }

    function data(chunk: Buffer): boolean {
        for (const event of splitter.push(chunk)) {
            if (!exceeded) {
                relay(event);
            }
        }
        return !writer.isFull();
    }

    function relay(event: StreamEvent): void {
        const generatedBefore = attemptTokens;
        tokens += tokensPerEvent;
        attemptTokens += tokensPerEvent;
        // The event in which the maximum is reached may go beyond it, and one without a token may end the stream.
        if (maxTokens > 0 && generatedBefore > maxTokens) {
            exceeded = true;
            onExcess();
            return;
        }
        eventCount += 1;
        lastEventId = event.id;
        if (!keepsOutput) {
            writer.write(event.raw);
            return;
        }
        output.push(event.data, lineFeed);
        outputBytes += event.data.length + lineFeed.length;
        if (heldEvent !== undefined) {
            writer.write(heldEvent);
        }
        heldEvent = event.raw;
    }

    function finish(): void {
        if (heldEvent !== undefined) {
            writer.write(heldEvent);
        }
        const remainder = splitter.remainder();
        if (remainder.length > 0) {
            writer.write(remainder);
        }
        writer.end();
    }

    return {
        begin,
        write: data,
        drained: () => writer.drained(),
        relayedEvents: () => eventCount,
        incompleteBytes: () => splitter.remainderBytes(),
        heldBytes: () => splitter.remainderBytes() + outputBytes + writer.heldBytes(),
        endsInsideEvent: () => splitter.remainder().some(byte => byte !== carriageReturn && byte !== lineFeedByte),
        finish,
        tokens: () => tokens,
        output: () => Buffer.concat(output),
        resumeAfter: () => resumable ? lastEventId : undefined,
    };
}
