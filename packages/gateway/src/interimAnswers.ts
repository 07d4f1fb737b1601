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
export interface InterimFilter {
    /** States that the next bytes begin an answer. */
    begin(): void;
    /** The bytes without interim answers; undefined while it is open whether they begin one. */
    pass(bytes: Buffer): Buffer | undefined;
}

/** Creates a filter; `maxHeadBytes` is the maximum size of an interim answer. */
export function createInterimFilter(maxHeadBytes: number): InterimFilter {
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
