import { encodeAnswer, encodeLocalAnswer } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";

/** An answer of an upstream that has arrived whole. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Why the system answers by itself. */
export interface OwnAnswer {
    readonly status: number;
    readonly reason: string;
    /** Milliseconds until the caller should come back. */
    readonly retryAfter?: number;
    /** The caller should come back on a new connection, which may reach another gateway. */
    readonly elsewhere?: boolean;
}

/** Passes an upstream's answer on. */
export function writeAnswer(response: ServerResponse, { status, headers, body }: WholeAnswer): void {
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
export function writeOwnAnswer(response: ServerResponse, call: string | undefined, answer: OwnAnswer): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const body = Buffer.from(JSON.stringify({ error: answer.reason }));
    if (answer.elsewhere === true) {
        response.setHeader("connection", "close");
    }
    response.writeHead(answer.status, { ...encodeLocalAnswer(call, answer.retryAfter), "content-length": body.length });
    response.end(body);
}
