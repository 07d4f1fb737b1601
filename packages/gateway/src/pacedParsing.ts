import type { Socket } from "node:net";
import type { ParsingTurns } from "./parsingTurns.ts";

/** What decides how far the bytes of a connection are parsed. */
export interface ParsingPace {
    /** Whether no more is to be parsed for now. */
    isHeld(): boolean;
    /** Whether what else comes is of no interest. */
    isEnding(): boolean;
    /** Whether the next part belongs to a body of declared length, which is parsed in no time. */
    isInSizedBody(): boolean;
    /** Size of the next part to be parsed. */
    nextPart(bytes: Buffer): number;
    /** Called before a part is parsed. */
    parsing(part: Buffer): void;
    /** Called after a part has been parsed. */
    parsed(part: Buffer): void;
    /** Called with the bytes that have been read and wait. */
    waiting(bytes: number): void;
}

const noBytes = Buffer.alloc(0);

/**
 * Passes what comes on a connection to its HTTP parser in parts and in turns, as Node.js parses all that one read has
 * brought, however many requests or chunks it holds. Returns a function that continues when the connection is not held any
 * more.
 */
export function paceParsing(socket: Socket, turns: ParsingTurns, pace: ParsingPace): () => void {
    // The listener that the HTTP server has just added. Adding another one takes the connection from the parser's own reads.
    const [parse] = socket.listeners("data") as ((bytes: Buffer) => void)[];
    const resume = socket.resume.bind(socket);
    let isScheduled = false;
    let awaitsTurn = false;
    /** What is to be parsed in the next turn. Not put back, as the connection is read further each time it is emptied. */
    let pending: Buffer = noBytes;
    if (parse === undefined) {
        return () => undefined;
    }

    function parseInParts(bytes: Buffer): void {
        const isTurnOver = turns.begin();
        let offset = 0;
        while (offset < bytes.length && !socket.destroyed && !pace.isEnding()) {
            // The HTTP server itself pauses a connection whose answers are not read.
            if (pace.isHeld() || socket.isPaused()) {
                hold(bytes.subarray(offset));
                return;
            }
            if (offset > 0 && !pace.isInSizedBody() && isTurnOver()) {
                awaitTurn(bytes.subarray(offset));
                return;
            }
            const part = bytes.subarray(offset, offset + pace.nextPart(bytes.subarray(offset)));
            offset += part.length;
            pace.parsing(part);
            parse!(part);
            pace.parsed(part);
        }
        pace.waiting(0);
    }

    function hold(bytes: Buffer): void {
        socket.pause();
        socket.unshift(bytes);
        pace.waiting(socket.readableLength);
    }

    function awaitTurn(bytes: Buffer): void {
        pending = bytes;
        awaitsTurn = true;
        socket.pause();
        // A paused connection is read until so many bytes wait.
        pace.waiting(pending.length + Math.max(socket.readableLength, socket.readableHighWaterMark));
        turns.enqueue(takeTurn);
    }

    function takeTurn(): void {
        const bytes = pending;
        pending = noBytes;
        awaitsTurn = false;
        resume();
        parseInParts(bytes);
    }

    function forget(): void {
        pending = noBytes;
        turns.remove(takeTurn);
    }

    function readOn(): void {
        isScheduled = false;
        if (!socket.destroyed && !pace.isHeld()) {
            socket.resume();
        }
    }

    // Node.js resumes a connection each time the body of a request is read.
    socket.resume = () => awaitsTurn ? socket : resume();
    socket.once("close", forget);
    socket.off("data", parse);
    socket.on("data", parseInParts);
    return () => {
        // Not at once, so that each connection gets its turn.
        if (socket.isPaused() && !isScheduled) {
            isScheduled = true;
            setImmediate(readOn);
        }
    };
}
