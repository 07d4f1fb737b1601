import type { ConnectionUse } from "@tamarackgauge/core/gateway";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** One connection of a caller. */
export interface CallerConnection extends ConnectionUse {
    readonly socket: Socket;
    headBytes: number;
    /** Bytes that have been read from the connection and are not parsed yet. */
    waitingBytes: number;
    waitingSince: number;
    calls: number;
    /** Calls under way whose answers may have to be broken off. */
    breakableCalls: number;
    isUsed: boolean;
    /** Answers of the calls under way, in the order of their requests. */
    readonly responses: Set<ServerResponse>;
    /** Memory reserved for the calls under way. */
    callBytes: number;
    lastRequest: IncomingMessage | undefined;
    /** The bytes that are being parsed; empty between two parts. */
    part: Buffer;
    /** Bytes of the last request's body that are still to come, if its length is declared. */
    bodyLeft: number;
    /** Continues to read a connection that was held. */
    readOn: () => void;
    /** Status with which the connection ends when no call is under way. */
    refusedWith: number | undefined;
    /** No further request is taken. */
    isEnding: boolean;
    /** The last answer has begun, with which the connection ends. */
    isAtLastAnswer: boolean;
}

/** A connection on which nothing has come. */
export function createConnection(socket: Socket, now: number): CallerConnection {
    return { socket, headBytes: 0, waitingBytes: 0, waitingSince: now, calls: 0, breakableCalls: 0, isUsed: false,
        responses: new Set(), callBytes: 0, lastRequest: undefined, part: Buffer.alloc(0), bodyLeft: 0,
        readOn: () => undefined, refusedWith: undefined, isEnding: false, isAtLastAnswer: false };
}

/** Whether the body of the last request is still to come. */
export function isReadingBody({ lastRequest }: CallerConnection): boolean {
    return lastRequest?.complete === false;
}

/** Whether a body of declared length is still to come. */
export function isInSizedBody(connection: CallerConnection): boolean {
    return isReadingBody(connection) && connection.bodyLeft > 0;
}

/** Whether no further request is taken. */
export function isEnding(connection: CallerConnection): boolean {
    return connection.isEnding || connection.isAtLastAnswer || connection.refusedWith !== undefined;
}

/** Whether the connection has been used, and neither a call is under way nor a part of one has come. */
export function isIdle(connection: CallerConnection): boolean {
    const { isUsed, calls, headBytes, waitingBytes } = connection;
    return isUsed && calls === 0 && headBytes === 0 && waitingBytes === 0 && !isReadingBody(connection);
}
