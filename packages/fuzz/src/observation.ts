import type { ReceivedCallHead } from "@tamarackgauge/standin";
import type { PlannedAnswer } from "./content.ts";
import type { CallScript, Script } from "./script.ts";

/** A call that reached an upstream. Times are monotonic milliseconds. */
export interface ObservedAttempt {
    readonly upstream: string;
    readonly head: ReceivedCallHead;
    /** The body; undefined if the upstream answered before it had read it. */
    readonly body: string | undefined;
    readonly atMs: number;
    /** Whether the upstream began to work on the call. */
    readonly ran: boolean;
    readonly answer: PlannedAnswer;
    /** Whether the answer is sound and nothing has gone wrong on its connection before. */
    readonly isSound: boolean;
    /** Whether the answer says that the upstream leaves. */
    readonly announcesLeaving: boolean;
}

/** How a connection ended, as its caller saw it. `silent`: the gateway had not answered long after the deadline. */
export type ConnectionEnd = "fin" | "reset" | "open" | "left" | "silent";

/** A call that a caller sent, in the order of its connection. */
export interface SentCall {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly previous: string | undefined;
    /** The program and its token budget, if the call is a turn. */
    readonly turn: { readonly program: string; readonly budget: number; } | undefined;
    readonly sentAtMs: number;
    /** When all bytes had been written; undefined if the caller left before. */
    readonly wholeAtMs: number | undefined;
    /** When the answer was complete by its framing. */
    readonly answeredAtMs: number | undefined;
}

/** A connection of a caller. */
export interface ObservedConnection {
    readonly calls: readonly SentCall[];
    readonly received: Buffer;
    readonly end: ConnectionEnd;
    readonly endedAtMs: number;
    /** Number of the gateway that it leads to. */
    readonly gateway: number;
}

/** A change of an upstream's entry that the store has acknowledged. */
export interface ObservedEntryChange {
    readonly upstream: string;
    readonly atMs: number;
}

/** All that was seen on the sockets of callers and upstreams. */
export interface Observation {
    readonly script: Script;
    /** The calls by their ids, with those that are made after the script. */
    readonly calls: ReadonlyMap<string, CallScript>;
    readonly connections: readonly ObservedConnection[];
    readonly attempts: readonly ObservedAttempt[];
    /** Bytes that an upstream received and that are no request. */
    readonly malformedRequests: readonly string[];
    readonly entryChanges: readonly ObservedEntryChange[];
}
