import type { Duplex } from "node:stream";
import type { ParsingTurns } from "./parsingTurns.ts";

/** Passes on what comes on a connection to the HTTP client, within limits on what an answer takes. */
export interface AnswerReader {
    /** States that the next bytes begin an answer. */
    expectAnswer(): void;
    /** Counts bytes of the answer's body, which are no framing. */
    countBody(bytes: number): void;
    /** States that the answer has ended. */
    endAnswer(): void;
}

/** An upstream sends far more framing than its answer needs, perhaps without end. */
export class ExcessiveFramingError extends Error {
    constructor(bytes: number) {
        super(`the answer has ${bytes} bytes that are no body`);
    }
}

/**
 * Most bytes of an answer that are no part of its body: interim answers, the head, the sizes and extensions of chunks, trailers.
 * The body may have as many again, so that answers in very small chunks pass unless they are long.
 */
const maxFramingBytes = 128 * 1_024;
/** Most bytes that are parsed at once, so that a connection's turn can end in between. */
const maxPartBytes = 4 * 1_024;

const headEnd = "\r\n\r\n";
const interimStart = "HTTP/1.x 1xx";
/** Interim answers; 101 is none, as it ends the use of HTTP. */
const interimPattern = /^HTTP\/1\.[01] 1(?!01)\d\d/;
const none = Buffer.alloc(0);

/** How many bytes of an interim answer lie at the start; undefined if that is not known yet. */
function interimBytes(bytes: Buffer, maxBytes: number): number | undefined {
    const start = bytes.subarray(0, interimStart.length).toString("latin1");
    if (start.length < interimStart.length) {
        // Only these bytes can become the start of an interim answer.
        return "HTTP/1.".startsWith(start.slice(0, 7)) ? undefined : 0;
    }
    if (!interimPattern.test(start)) {
        return 0;
    }
    const end = bytes.indexOf(headEnd);
    if (end < 0) {
        return bytes.length > maxBytes ? 0 : undefined;
    }
    return end + headEnd.length;
}

/** Leaves out the interim answers before an answer. */
interface InterimFilter {
    begin(): void;
    /** The bytes without interim answers; undefined while it is open whether they begin one. */
    pass(bytes: Buffer): Buffer | undefined;
}

function createInterimFilter(maxHeadBytes: number): InterimFilter {
    let isBeforeAnswer = false;
    let held: Buffer = none;

    function withoutInterim(bytes: Buffer): Buffer | undefined {
        let rest = bytes;
        while (rest.length > 0) {
            const length = interimBytes(rest, maxHeadBytes);
            if (length === undefined) {
                held = rest;
                return undefined;
            }
            if (length === 0) {
                isBeforeAnswer = false;
                return rest;
            }
            rest = rest.subarray(length);
        }
        return undefined;
    }

    return {
        begin() {
            isBeforeAnswer = true;
            held = none;
        },
        pass(bytes) {
            if (!isBeforeAnswer) {
                return bytes;
            }
            const begun = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
            held = none;
            return withoutInterim(begun);
        },
    };
}

/**
 * Reads a connection for the HTTP client, which reads with `read`. Interim answers are left out, as the client closes a
 * connection on which a 100 comes that it has not asked for, though any client has to expect one (RFC 9110, section 15.2). What
 * one connection brings is parsed in turns with the others, as very small chunks take far longer than their size suggests.
 */
export function readAnswers(socket: Duplex, maxHeadBytes: number, turns: ParsingTurns): AnswerReader {
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    const unshift = socket.unshift.bind(socket);
    const interim = createInterimFilter(maxHeadBytes);
    let isInAnswer = false;
    let readBytes = 0;
    let bodyBytes = 0;
    let isTurnOver: (() => boolean) | undefined;
    let awaitsTurn = false;

    function takeTurn(): void {
        awaitsTurn = false;
        socket.emit("readable");
    }

    function awaitTurn(): void {
        isTurnOver = undefined;
        awaitsTurn = true;
        turns.enqueue(takeTurn);
    }

    /** The next bytes of an answer; null if there are none, or the connection's turn is over. */
    function readPart(): Buffer | null {
        if (awaitsTurn) {
            return null;
        }
        if (isTurnOver?.() === true) {
            awaitTurn();
            return null;
        }
        isTurnOver ??= turns.begin();
        const waiting = socket.readableLength;
        const part = waiting > maxPartBytes ? read(maxPartBytes) : read();
        if (part === null) {
            isTurnOver = undefined;
        }
        return part;
    }

    function isExcessive(): boolean {
        return readBytes - bodyBytes > maxFramingBytes + bodyBytes;
    }

    function readAnswer(size?: number): Buffer | null {
        if (!isInAnswer) {
            return read(size);
        }
        for (;;) {
            if (isExcessive()) {
                socket.destroy(new ExcessiveFramingError(readBytes - bodyBytes));
                return null;
            }
            const part = readPart();
            if (part === null) {
                return null;
            }
            readBytes += part.length;
            const answer = interim.pass(part);
            if (answer !== undefined) {
                return answer;
            }
        }
    }

    /** The HTTP client puts back what it has not parsed when it pauses. */
    function putBack(bytes: Buffer): void {
        readBytes -= bytes.length;
        unshift(bytes);
    }

    socket.read = readAnswer;
    socket.unshift = putBack;
    socket.once("close", () => turns.remove(takeTurn));
    return {
        expectAnswer() {
            isInAnswer = true;
            readBytes = 0;
            bodyBytes = 0;
            interim.begin();
        },
        countBody(bytes) {
            bodyBytes += bytes;
        },
        endAnswer() {
            isInAnswer = false;
            isTurnOver = undefined;
        },
    };
}
