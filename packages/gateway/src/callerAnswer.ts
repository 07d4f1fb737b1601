import { encodeAnswer, encodeLocalAnswer } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";

/** An answer of an upstream that has arrived whole. */
export interface UpstreamAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Why the system answers by itself. */
export interface LocalAnswer {
    readonly status: number;
    readonly reason: string;
    /** Milliseconds until the caller should come back. */
    readonly retryAfter?: number;
    /** The caller should come back on a new connection, which may reach another gateway. */
    readonly closeConnection?: boolean;
}

/** Passes an upstream's answer on. */
export function writeUpstreamAnswer(response: ServerResponse, { status, headers, body }: UpstreamAnswer): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, { ...encodeAnswer(headers), "content-length": body.length });
        response.end(body);
    }
}

/** Begins to pass a stream on. */
export function beginStream(response: ServerResponse, status: number, headers: IncomingHttpHeaders): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, encodeAnswer(headers));
    }
}

/** Answers in the system's own name. After a stream has begun the connection is closed, so that it looks incomplete. */
export function writeLocalAnswer(response: ServerResponse, call: string | undefined, answer: LocalAnswer): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const body = Buffer.from(JSON.stringify({ error: answer.reason }));
    if (answer.closeConnection === true) {
        response.setHeader("connection", "close");
    }
    response.writeHead(answer.status, { ...encodeLocalAnswer(call, answer.retryAfter), "content-length": body.length });
    response.end(body);
}
