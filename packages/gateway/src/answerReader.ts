import type { Duplex } from "node:stream";
import { createInterimFilter } from "./interimAnswers.ts";
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
