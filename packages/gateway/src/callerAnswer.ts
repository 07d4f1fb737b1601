import { encodeAnswer, encodeLocalAnswer } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { connectionHeaders, requestConnectionEnd } from "./connectionEnd.ts";

/** A complete answer of an upstream. */
export interface UpstreamAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** An answer that the gateway itself gives, usually a refusal. */
export interface LocalAnswer {
    readonly status: number;
    readonly reason: string;
    /** Milliseconds after which the caller should retry. */
    readonly retryAfter?: number;
    /** Headers beside those that every such answer has. */
    readonly headers?: Readonly<Record<string, string>>;
    /** What the decision was based on, for the log. */
    readonly details?: Readonly<Record<string, unknown>>;
    /** Closes the connection, so that the retry opens a new one and may reach another gateway. */
    readonly closeConnection?: boolean;
}

/** Forwards an upstream's answer. */
export function writeUpstreamAnswer(response: ServerResponse, { status, headers, body }: UpstreamAnswer): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, { ...encodeAnswer(headers), ...connectionHeaders(response),
            "content-length": body.length });
        response.end(body);
    }
}

/** Writes the head of a forwarded stream. */
export function beginStream(response: ServerResponse, status: number, headers: IncomingHttpHeaders): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, { ...encodeAnswer(headers), ...connectionHeaders(response) });
    }
}

/**
 * Writes an answer of the gateway itself. If a stream has already started, the connection is closed instead, so that the
 * caller sees an incomplete answer.
 */
export function writeLocalAnswer(response: ServerResponse, call: string | undefined, answer: LocalAnswer): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const body = Buffer.from(JSON.stringify({ error: answer.reason }));
    if (answer.closeConnection === true) {
        requestConnectionEnd(response);
    }
    response.writeHead(answer.status, { ...encodeLocalAnswer(call, answer.retryAfter), ...answer.headers,
        ...connectionHeaders(response), "content-length": body.length });
    response.end(body);
}
