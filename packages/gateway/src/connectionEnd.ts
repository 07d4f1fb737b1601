import type { ServerResponse } from "node:http";

/** What decides whether a caller's connection is closed after an answer. */
export interface ConnectionEnd {
    /** Whether connections are closed as their calls are answered, as the process stops. */
    readonly isStopping: () => boolean;
    /** Whether no other answer is owed on the connection. If so, no further call is taken from it. */
    readonly endWith: () => boolean;
}

const ends = new WeakMap<ServerResponse, ConnectionEnd>();
const requested = new WeakSet<ServerResponse>();

/** Sets what decides about the connection of an answer. */
export function setConnectionEnd(response: ServerResponse, end: ConnectionEnd): void {
    ends.set(response, end);
}

/** Asks for the connection to be closed after an answer that has not begun, unless others are owed on it. */
export function requestConnectionEnd(response: ServerResponse): void {
    requested.add(response);
}

/**
 * Headers of an answer that begins now. They are not decided earlier: Node.js closes a connection after the first answer that
 * announces it, however many calls have come behind that one.
 */
export function connectionHeaders(response: ServerResponse): { readonly connection?: "close"; } {
    const end = ends.get(response);
    const isWanted = requested.has(response) || end?.isStopping() === true;
    return isWanted && end?.endWith() !== false ? { connection: "close" } : {};
}
