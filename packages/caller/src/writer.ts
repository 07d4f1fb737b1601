import { httpStatusOf, type Refusal } from "@tamarackgauge/core";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Time for a caller to read a refusal that is sent before the request's body has been read. */
const lingerTimeoutMs = 1000;

/** Writes a text and waits for backpressure to end; false if the caller is gone or reads nothing for `timeout` ms. */
export async function write(response: ServerResponse, text: string, timeout: number): Promise<boolean> {
    if (response.destroyed || response.closed) {
        return false;
    }
    return response.write(text) || await waitForEvent(response, "drain", timeout);
}

/** Ends a response and waits until all of it is flushed; false if the caller is gone or reads too slowly. */
export async function end(response: ServerResponse, text: string, timeout: number): Promise<boolean> {
    if (response.destroyed || response.closed) {
        return false;
    }
    response.end(text);
    return response.writableFinished || await waitForEvent(response, "finish", timeout);
}

function waitForEvent(response: ServerResponse, event: "drain" | "finish", timeout: number): Promise<boolean> {
    return new Promise(resolve => {
        const timer = setTimeout(() => {
            response.destroy();
            finish(false);
        }, timeout);
        const succeed = () => finish(true);
        const fail = () => finish(false);
        function finish(result: boolean): void {
            clearTimeout(timer);
            response.off(event, succeed).off("close", fail);
            resolve(result);
        }
        response.on(event, succeed).on("close", fail);
    });
}

/** The body of a refusal. */
export function refusalBody({ code, name, message, run, retryAfterMs }: Refusal): string {
    return JSON.stringify({ error: { code, name, message, run, retryAfterMs } });
}

/** The headers of a refusal. `retry-after` is in whole seconds, rounded up. */
export function refusalHeaders(refusal: Refusal): Record<string, string> {
    const { retryAfterMs } = refusal;
    return {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(refusalBody(refusal))),
        ...(retryAfterMs === undefined ? {} : { "retry-after": String(Math.max(1, Math.ceil(retryAfterMs / 1000))) }),
    };
}

/** Answers with a refusal. Does nothing if the response's headers have already been sent. */
export async function sendRefusal(request: IncomingMessage, response: ServerResponse, refusal: Refusal): Promise<void> {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const unread = !request.complete;
    if (unread) {
        response.setHeader("connection", "close");
    }
    response.writeHead(httpStatusOf(refusal), refusalHeaders(refusal));
    if (!unread) {
        response.end(refusalBody(refusal));
        return;
    }
    // Closing while the caller is still sending would reset the connection, and the answer could be lost.
    response.write(refusalBody(refusal));
    await linger(request);
    response.end();
}

function linger(request: IncomingMessage): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, lingerTimeoutMs);
        request.once("close", () => {
            clearTimeout(timer);
            resolve();
        });
        request.on("error", () => undefined).resume();
    });
}

/** Formats a refusal as raw HTTP/1.1, for errors that Node reports with a socket but no response object. */
export function rawRefusal(refusal: Refusal): string {
    const headers = { ...refusalHeaders(refusal), connection: "close" };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 ${httpStatusOf(refusal)} ${refusal.name}\r\n${lines}\r\n${refusalBody(refusal)}`;
}
