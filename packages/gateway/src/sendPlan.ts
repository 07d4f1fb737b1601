import type { ByteAccount, CallHead, ServiceRoute } from "@tamarackgauge/core/gateway";
import type { RawHeaders } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders } from "node:http";

/** What a call is like for its sends. */
export interface SendPlan {
    readonly call: ReceivedCall;
    readonly priority: number | undefined;
    /** The engine that keeps the session's memory, if known. */
    readonly preferred: string | undefined;
    /** Present for a call whose answer is a stream. */
    readonly sink: StreamSink | undefined;
}

/** A call that has been read whole. Times are monotonic milliseconds. */
export interface ReceivedCall {
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: RawHeaders;
    readonly head: CallHead;
    readonly route: ServiceRoute;
    readonly body: Buffer | undefined;
    /** Counts the bytes that are held for the call. */
    readonly byteAccount: ByteAccount;
    /** The moment by which the answer must have ended. */
    readonly deadlineAt: number;
}

/** Takes a stream. */
export interface StreamSink {
    /** An upstream begins to answer with a stream; called once for each upstream. */
    begin(status: number, headers: IncomingHttpHeaders): void;
    /** False if the caller does not keep up; `drained` resolves when it does. */
    write(chunk: Buffer): boolean;
    drained(): Promise<void>;
    /** Whole events that were passed on. */
    relayedEvents(): number;
    /** Bytes of an event that has not ended. */
    incompleteBytes(): number;
    /** The last event that was passed on whole, if the stream may go on after it. */
    resumeAfter(): string | undefined;
}
