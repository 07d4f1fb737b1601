import type { IncomingMessage } from "node:http";

/** The parts of a request head that determine its size. */
export type RequestHead = Pick<IncomingMessage, "method" | "url" | "httpVersion" | "rawHeaders">;

/** Bytes of a request line beside method, path and version: two spaces, `HTTP/` and the end of the line. */
const requestLineBytes = 9;
/** Bytes of a header line beside name and value: colon, space and the end of the line. */
const headerLineBytes = 4;
const emptyLineBytes = 2;

/** Size of a request head in bytes; white space around values that Node.js has removed is not counted. */
export function headSize({ method = "", url = "", httpVersion, rawHeaders }: RequestHead): number {
    const line = method.length + url.length + httpVersion.length + requestLineBytes;
    const headers = rawHeaders.reduce((bytes, text) => bytes + text.length, 0);
    return line + headers + rawHeaders.length / 2 * headerLineBytes + emptyLineBytes;
}
