/** The head of an HTTP/1 message. */
export interface MessageHead {
    readonly startLine: string;
    /** Headers in their order, with names in lower case. */
    readonly headers: readonly (readonly [name: string, value: string])[];
}

/** An HTTP/1 message, or the part of it that has come. */
export interface HttpMessage extends MessageHead {
    readonly body: Buffer;
    /** `none`: the body lasts until the end of the connection. */
    readonly framing: "length" | "chunks" | "none";
    /** Whether the message is complete by its framing. Never true for the framing `none`. */
    readonly complete: boolean;
    /** Bytes of the message, including its head. */
    readonly consumed: number;
}

/** Result of parsing the start of a byte sequence. */
export type ParsedMessage =
    | { readonly kind: "incomplete"; }
    | { readonly kind: "malformed"; readonly reason: string; }
    | { readonly kind: "message"; readonly message: HttpMessage; };

/** Options of the parser. */
export interface MessageOptions {
    readonly side: "request" | "response";
    /** Whether the message has no body whatever its headers say. */
    readonly withoutBody?: boolean;
}

const headEnd = "\r\n\r\n";
const startLinePatterns = {
    request: /^[A-Z]+ \/[^ ]* HTTP\/1\.[01]$/,
    response: /^HTTP\/1\.[01] \d{3}( [^\r\n]*)?$/,
} as const;
/** Status lines of answers that never have a body. */
const bodylessPattern = /^HTTP\/1\.[01] (1\d\d|204|304)\b/;
const headerPattern = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*?)[ \t]*$/;
const chunkSizePattern = /^[0-9a-f]{1,8}$/i;
const maxLineBytes = 65_536;

/** Parses the message at the start of a byte sequence. `incomplete`: its head has not come as a whole. */
export function parseMessage(bytes: Buffer, { side, withoutBody = false }: MessageOptions): ParsedMessage {
    const end = bytes.indexOf(headEnd);
    if (end < 0) {
        const isPrefix = side === "request" || "HTTP/1.".startsWith(bytes.toString("latin1", 0, 7));
        return isPrefix ? { kind: "incomplete" } : { kind: "malformed", reason: "no status line" };
    }
    const [startLine = "", ...lines] = bytes.toString("latin1", 0, end).split("\r\n");
    const fields = lines.map(line => headerPattern.exec(line));
    if (!startLinePatterns[side].test(startLine) || fields.some(field => field === null)) {
        return { kind: "malformed", reason: `malformed head: ${startLine.slice(0, 100)}` };
    }
    const headers = fields.map(field => [field![1]!.toLowerCase(), field![2]!] as const);
    const bodyStart = end + headEnd.length;
    const body = withoutBody || bodylessPattern.test(startLine)
        ? emptyBody
        : parseBody(bytes.subarray(bodyStart), headers, side);
    return typeof body === "string"
        ? { kind: "malformed", reason: body }
        : { kind: "message", message: { startLine, headers, ...body, consumed: bodyStart + body.consumed } };
}

/** The values of a header. */
export function headerValues({ headers }: MessageHead, wanted: string): readonly string[] {
    return headers.filter(([name]) => name === wanted).map(([, value]) => value);
}

type ParsedBody = Pick<HttpMessage, "body" | "framing" | "complete" | "consumed">;

const emptyBody: ParsedBody = { body: Buffer.alloc(0), framing: "length", complete: true, consumed: 0 };

function parseBody(bytes: Buffer, headers: MessageHead["headers"], side: MessageOptions["side"]): ParsedBody | string {
    const lengths = headers.filter(([name]) => name === "content-length").map(([, value]) => value);
    if (headers.some(([name, value]) => name === "transfer-encoding" && /chunked/i.test(value))) {
        return lengths.length > 0 ? "a length beside chunks" : parseChunks(bytes);
    }
    if (lengths.length === 0) {
        return side === "request"
            ? emptyBody
            : { body: bytes, framing: "none", complete: false, consumed: bytes.length };
    }
    if (new Set(lengths).size > 1 || !/^\d{1,9}$/.test(lengths[0]!)) {
        return "malformed length";
    }
    const length = Number(lengths[0]);
    const body = bytes.subarray(0, length);
    return { body, framing: "length", complete: body.length === length, consumed: body.length };
}

function parseChunks(bytes: Buffer): ParsedBody | string {
    const chunks: Buffer[] = [];
    const part = (complete: boolean, consumed: number): ParsedBody => ({ body: Buffer.concat(chunks), framing: "chunks",
        complete, consumed });
    for (let offset = 0;;) {
        const lineEnd = bytes.indexOf("\r\n", offset);
        if (lineEnd < 0) {
            return bytes.length - offset > maxLineBytes ? "malformed chunk" : part(false, bytes.length);
        }
        const size = bytes.toString("latin1", offset, lineEnd).split(";")[0]!.trim();
        if (!chunkSizePattern.test(size)) {
            return "malformed chunk";
        }
        const length = parseInt(size, 16);
        const start = lineEnd + 2;
        if (length === 0) {
            const trailerEnd = bytes.toString("latin1", lineEnd).indexOf(headEnd);
            return trailerEnd < 0 ? part(false, bytes.length) : part(true, lineEnd + trailerEnd + headEnd.length);
        }
        chunks.push(bytes.subarray(start, start + length));
        if (bytes.length < start + length + 2) {
            return part(false, bytes.length);
        }
        if (bytes.toString("latin1", start + length, start + length + 2) !== "\r\n") {
            return "malformed chunk";
        }
        offset = start + length + 2;
    }
}
