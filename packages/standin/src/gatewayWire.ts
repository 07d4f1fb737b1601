import { headerValues, type HttpMessage, type MessageHead } from "./httpMessage.ts";

/** A call as a caller of the users' platform sends it. */
export interface WireCall {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly version: "1.0" | "1.1";
    readonly deadlineMs: number | undefined;
    readonly turn: {
        readonly program: string;
        readonly budget: number;
        readonly maxTokens: number;
        readonly previous: string | undefined;
    } | undefined;
    /** Whether the call bears headers that only the gateway may set. */
    readonly withReservedHeaders?: boolean;
    readonly closes?: boolean;
    readonly expectsContinue?: boolean;
    readonly framing: "length" | "chunks";
    readonly body: Buffer | undefined;
}

const reservedHeaders = { "X-Hold": "h", "X-Pin-Ms": "9", "X-Kv-Backup": "127.0.0.1:9", "Kv-From": "127.0.0.1:9/h" };

/** The bytes of a call. */
export function renderCall(call: WireCall): Buffer {
    const { id, method, path, version, deadlineMs, turn, framing, body } = call;
    const headers: Record<string, string | undefined> = {
        "Host": "fleet.test",
        "X-Request-Id": id,
        "X-Deadline-Ms": deadlineMs?.toString(),
        "X-Program-Id": turn?.program,
        "X-Token-Budget": turn?.budget.toString(),
        "X-Token-Usage": turn === undefined ? undefined : `100,${turn.maxTokens}`,
        "X-Previous-Turn": turn?.previous,
        ...call.withReservedHeaders === true ? reservedHeaders : {},
        "Connection": call.closes === true ? "close" : undefined,
        "Expect": call.expectsContinue === true ? "100-continue" : undefined,
        ...body === undefined
            ? {}
            : framing === "chunks"
            ? { "Transfer-Encoding": "chunked" }
            : { "Content-Length": String(body.length) },
    };
    return Buffer.concat([Buffer.from(`${method} ${path} HTTP/${version}\r\n${renderHeaders(headers)}\r\n`, "latin1"),
        body === undefined ? Buffer.alloc(0) : framing === "chunks" ? renderChunks([body], true) : body]);
}

/** What an upstream reads from the head of a call. */
export interface ReceivedCallHead {
    readonly ids: readonly string[];
    readonly method: string;
    readonly path: string;
    readonly deadlineMs: number | undefined;
    readonly target: string | undefined;
    readonly lastEventId: number | undefined;
    readonly hasReservedHeaders: boolean;
}

/** Reads the head of a call that an upstream received. */
export function readCallHead(message: MessageHead): ReceivedCallHead {
    const [method = "", path = ""] = message.startLine.split(" ");
    const first = (name: string) => headerValues(message, name)[0];
    const numberOf = (name: string) => first(name) === undefined ? undefined : Number(first(name));
    return { ids: headerValues(message, "x-request-id"), method, path, deadlineMs: numberOf("x-deadline-ms"),
        target: first("x-target-instance"), lastEventId: numberOf("last-event-id"),
        hasReservedHeaders: Object.keys(reservedHeaders).some(name => first(name.toLowerCase()) !== undefined) };
}

/** The head of an answer as an upstream of the users' platform sends it. */
export interface WireAnswerHead {
    readonly status: number;
    readonly ids: readonly string[];
    readonly signature: string | undefined;
    readonly notRun: boolean;
    readonly leaving: string | undefined;
    readonly encoding: string | undefined;
    readonly closes: boolean;
    readonly streamed: boolean;
    readonly framing: "length" | "chunks" | "none";
    readonly length: number;
}

/** The bytes of an answer's head. */
export function renderAnswerHead(head: WireAnswerHead): string {
    return `HTTP/1.1 ${head.status} Status\r\n${
        renderHeaders({
            "X-Request-Id": head.ids,
            "X-Response-Signature": head.signature,
            "X-Not-Executed": head.notRun ? "1" : undefined,
            "Server-Leaving": head.leaving,
            "Content-Encoding": head.encoding,
            "Connection": head.closes ? "close" : undefined,
            "Content-Type": head.streamed ? "text/event-stream" : undefined,
            "Content-Length": head.framing === "length" ? String(head.length) : undefined,
            "Transfer-Encoding": head.framing === "chunks" ? "chunked" : undefined,
        })
    }\r\n`;
}

/** An answer as a caller reads it. */
export interface WireAnswer {
    readonly status: number;
    readonly ids: readonly string[];
    readonly signature: string | undefined;
    readonly closes: boolean;
}

/** Reads the head of an answer that a caller received. */
export function readAnswerHead(message: HttpMessage): WireAnswer {
    return { status: Number(message.startLine.split(" ")[1]), ids: headerValues(message, "x-request-id"),
        signature: headerValues(message, "x-response-signature")[0],
        closes: headerValues(message, "connection").some(value => /\bclose\b/i.test(value)) };
}

/** Removes the id of the call from the bytes of an answer. */
export function withoutCallId(answer: string): string {
    return answer.replaceAll(/X-Request-Id: [^\r]*\r\n/g, "");
}

/** Parts of a body as chunks; `ended`: with the last, empty one. */
export function renderChunks(parts: readonly Buffer[], ended: boolean): Buffer {
    const chunks = parts.filter(({ length }) => length > 0)
        .flatMap(part => [Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from("\r\n")]);
    return Buffer.concat([...chunks, Buffer.from(ended ? "0\r\n\r\n" : "")]);
}

function renderHeaders(headers: Record<string, string | readonly string[] | undefined>): string {
    return Object.entries(headers)
        .flatMap(([name, values]) => [values ?? []].flat().map(value => `${name}: ${value}\r\n`))
        .join("");
}
