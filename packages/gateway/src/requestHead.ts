import type { IncomingMessage } from "node:http";

/** The parts of a request head that determine its size. */
export type RequestHead = Pick<IncomingMessage, "method" | "url" | "httpVersion" | "rawHeaders">;

/** Bytes of a request line beside method, path and version: two spaces, `HTTP/` and the end of the line. */
const requestLineBytes = 9;
/** Bytes of a header line beside name and value: colon and the end of the line. */
const headerLineBytes = 3;
const emptyLineBytes = 2;
/** The end of a request head, an empty line after the last header. */
export const headEnd = "\r\n\r\n";
const headEndBytes = Buffer.from(headEnd);

/** Smallest size in which a request head can have come: without white space around values, which Node.js removes. */
function minHeadSize({ method = "", url = "", httpVersion, rawHeaders }: RequestHead): number {
    const line = method.length + url.length + httpVersion.length + requestLineBytes;
    const headers = rawHeaders.reduce((bytes, text) => bytes + text.length, 0);
    return line + headers + rawHeaders.length / 2 * headerLineBytes + emptyLineBytes;
}

/**
 * Size of a request head in bytes. `earlierBytes` have come before `lastPart`, in which it ended. Where its end was cut
 * apart, the last part goes on behind it, and the size is the smallest possible one.
 */
export function headSize(head: RequestHead, earlierBytes: number, lastPart: Buffer): number {
    return lastPart.subarray(-headEnd.length).equals(headEndBytes)
        ? earlierBytes + lastPart.length
        : minHeadSize(head);
}
