import type { ByteAccount, CallHead, RefusalCause, Scope, ServiceRoute, Team } from "@tamarackgauge/core/gateway";
import type { RawHeaders } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders } from "node:http";
import type { CallCredit } from "./callCredit.ts";

/** What is needed to send a call to upstreams. */
export interface SendPlan {
    readonly call: ReceivedCall;
    /** The call is sent only with a credit of its team. */
    readonly credit: CallCredit;
    readonly priority: number | undefined;
    /** Turns of the program that came before, as far as known. */
    readonly precedingTurns: number;
    /** Whether it was decided before that the call is admitted, whatever the load. */
    readonly isAdmitted: boolean;
    /** Why the call is refused if no upstream with a rate limit takes it, as the others are overloaded. */
    readonly overload: () => RefusalCause | undefined;
    /** Id of the engine that is expected to have the previous turn in its cache, if known. */
    readonly preferred: string | undefined;
    /** Receiver of the answer if it is a stream. */
    readonly sink: StreamSink | undefined;
}

/** A call whose body has been read completely. Times are monotonic milliseconds. */
export interface ReceivedCall {
    readonly method: string;
    readonly path: string;
    readonly rawHeaders: RawHeaders;
    readonly head: CallHead;
    /** The route, with the priority of the caller's team. */
    readonly route: ServiceRoute;
    readonly team: Team | undefined;
    /** What the ids of the call's turn and program belong to. */
    readonly scope: Scope;
    readonly body: Buffer | undefined;
    /** Accounts for the bytes that are buffered for the call. */
    readonly byteAccount: ByteAccount;
    readonly arrivedAt: number;
    /** Time at which the answer must be complete. */
    readonly deadlineAt: number;
}

/** Receiver of a streamed answer. */
export interface StreamSink {
    /** Called once for each upstream that starts to answer with a stream, with the tokens in each of its events. */
    begin(status: number, headers: IncomingHttpHeaders, tokensPerEvent: number): void;
    /** Returns false if too many bytes are buffered for the caller; `drained` resolves when it may continue. */
    write(chunk: Buffer): boolean;
    drained(): Promise<void>;
    /** Number of complete events that were relayed. */
    relayedEvents(): number;
    /** Size in bytes of the event that is still incomplete. */
    incompleteBytes(): number;
    /** Bytes of the answer in memory: those of the incomplete event, those kept as a turn, and those that wait for the caller. */
    heldBytes(): number;
    /** Whether bytes of an event have come without its end; empty lines after an event belong to none. */
    endsInsideEvent(): boolean;
    /** Id of the last event that was relayed completely, if the stream can be resumed after it. */
    resumeAfter(): string | undefined;
}
