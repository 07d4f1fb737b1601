import type { Duplex } from "node:stream";

/** Leaves out what an upstream sends before its answer. */
export interface InterimAnswers {
    /** States that the next bytes begin an answer. */
    expectAnswer(): void;
}

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

/**
 * Leaves out the interim answers on a connection. The HTTP client closes a connection on which a 100 comes that it has not
 * asked for, though any client has to expect one (RFC 9110, section 15.2). It reads with `read`.
 */
export function skipInterimAnswers(socket: Duplex, maxHeadBytes: number): InterimAnswers {
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    let isBeforeAnswer = false;
    let held: Buffer = none;

    /** The bytes without interim answers; undefined while it is open whether they begin one. */
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

    function readAnswer(size?: number): Buffer | null {
        for (;;) {
            const bytes = read(size);
            if (bytes === null || !isBeforeAnswer) {
                return bytes;
            }
            const begun = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
            held = none;
            const answer = withoutInterim(begun);
            if (answer !== undefined) {
                return answer;
            }
        }
    }

    socket.read = readAnswer;
    return { expectAnswer() {
        isBeforeAnswer = true;
        held = none;
    } };
}
