import createDebug from "debug";
import { createServer } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { z } from "zod";

/** A running stand-in. Disposing closes its port and all its connections. */
export interface Standin extends AsyncDisposable {
    readonly address: string;
    readonly port: number;
    readonly url: string;
}

/** A request whose body has been read. */
export interface Received {
    readonly method: string;
    /** Path segments, URL-decoded. */
    readonly path: readonly string[];
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly response: ServerResponse;
}

/** Answers a request. An `HttpError` thrown here becomes its status; anything else becomes 500. */
export type Handler = (received: Received) => Promise<void> | void;

/** An error that is answered with `status` and `body`. */
export class HttpError extends Error {
    constructor(readonly status: number, message: string, readonly body?: unknown) {
        super(message);
    }
}

const log = createDebug("tamarackgauge:standin");
const address = "127.0.0.1";
const maxBodyBytes = 64 * 1024 * 1024;

/** Listens on a loopback port (0 picks a free one); rejects when the port is taken. */
export async function listen(port: number, handler: Handler): Promise<Standin> {
    const server = createServer((request, response) => {
        readRequest(request, response).then(handler).catch((error: unknown) => {
            answerError(response, error);
        });
    });
    server.requestTimeout = 0;
    server.keepAliveTimeout = 60_000;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, resolve);
    });
    const bound = (server.address() as AddressInfo).port;
    return {
        address,
        port: bound,
        url: `http://${address}:${bound}`,
        [Symbol.asyncDispose]: () => close(server),
    };
}

/** Answers with JSON. Does nothing when the connection is closed or the headers have already been sent. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    if (response.destroyed || response.headersSent) {
        return;
    }
    const text = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "content-type": "application/json", "content-length": text.length });
    response.end(text);
}

/** Destroys the connection without an answer. */
export function dropConnection(response: ServerResponse): void {
    response.socket?.destroy();
}

/** Parses a JSON body; an empty body counts as `{}`. Throws `HttpError` 400. */
export function parseBody<Schema extends z.ZodType>(received: Received, schema: Schema): z.output<Schema> {
    const parsed = schema.safeParse(parseJson(received.body));
    if (!parsed.success) {
        throw new HttpError(400, z.prettifyError(parsed.error));
    }
    return parsed.data;
}

/** Resolves after `ms` milliseconds. */
export function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function parseJson(body: Buffer): unknown {
    if (body.length === 0) {
        return {};
    }
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        throw new HttpError(400, "the body is not valid JSON");
    }
}

async function readRequest(request: IncomingMessage, response: ServerResponse): Promise<Received> {
    const parts: Buffer[] = [];
    let size = 0;
    for await (const part of request as AsyncIterable<Buffer>) {
        size += part.length;
        if (size > maxBodyBytes) {
            throw new HttpError(413, `the body is larger than ${maxBodyBytes} bytes`);
        }
        parts.push(part);
    }
    const url = new URL(request.url ?? "/", "http://standin");
    return {
        method: request.method ?? "GET",
        path: decodePath(url.pathname),
        query: url.searchParams,
        headers: request.headers,
        body: Buffer.concat(parts),
        response,
    };
}

function decodePath(pathname: string): string[] {
    try {
        return pathname.split("/").slice(1).map(decodeURIComponent);
    }
    catch {
        throw new HttpError(400, "the path is not valid");
    }
}

function answerError(response: ServerResponse, error: unknown): void {
    if (response.destroyed || response.headersSent) {
        return;
    }
    if (error instanceof HttpError) {
        sendJson(response, error.status, error.body ?? { error: { message: error.message } });
        return;
    }
    log("request failed: %O", error);
    sendJson(response, 500, { error: { message: String(error) } });
}

function close(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
