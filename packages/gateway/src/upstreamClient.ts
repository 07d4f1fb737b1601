import type { AnswerHead } from "@tamarackgauge/core/gateway";
import { decodeAnswer } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders } from "node:http";
import { type Dispatcher, Pool } from "undici";
import { createUpstreamConnector, NoRoomForConnection } from "./upstreamConnector.ts";

/** A call as it goes to an upstream. */
export interface Send {
    /** Identity of the call, which the upstream repeats in its answer. */
    readonly call: string;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/**
 * Why a call has no answer. `unreachable`: no connection could be made. `noRoom`: the upstream takes no more connections.
 * In both cases the call certainly never left this process. `unknown`: the call was sent.
 */
export type SendFailure = "unreachable" | "noRoom" | "unknown";

/** Told what comes back of a call. After `end` or `fail` nothing more comes. */
export interface SendObserver {
    head(head: AnswerHead, headers: IncomingHttpHeaders): void;
    data(chunk: Buffer): void;
    end(): void;
    fail(failure: SendFailure, reason: string): void;
}

/** A call under way at an upstream. */
export interface Sending {
    /** False only if the call certainly never left this process. */
    wasSent(): boolean;
    /** Closes its connection, so that the upstream stops working on it. The observer hears nothing more. */
    cancel(): void;
}

/** Client of one upstream. */
export interface UpstreamClient extends AsyncDisposable {
    send(send: Send, observer: SendObserver): Sending;
}

const idleTimeout = 8_000;
/** An idle connection is given up this long before the upstream closes it. */
const idleMargin = 1_000;

/** Creates a client of the upstream at an address. */
export function createUpstreamClient(host: string, port: number, connections: number): UpstreamClient {
    const pool = new Pool(`http://${host}:${port}`, {
        connections,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: idleTimeout,
        keepAliveTimeoutThreshold: idleMargin,
        connect: createUpstreamConnector(),
    });

    function send({ call, method, path, headers, body }: Send, observer: SendObserver): Sending {
        let controller: Dispatcher.DispatchController | undefined;
        let sent = false;
        let over = false;

        function fail(error: Error): void {
            if (!over) {
                over = true;
                observer.fail(sent ? "unknown" : error instanceof NoRoomForConnection ? "noRoom" : "unreachable",
                    error.message);
            }
        }

        function cancel(): void {
            over = true;
            controller?.abort(new Error("cancelled"));
        }

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(started) {
                controller = started;
                if (over) {
                    started.abort(new Error("cancelled"));
                    return;
                }
                sent = true;
            },
            onResponseStart(_, status, responseHeaders) {
                if (over || status < 200) {
                    return;
                }
                const head = decodeAnswer(status, responseHeaders);
                // An upstream may send an answer twice; the second one then stands where another call's is due.
                if (head.call !== undefined && head.call !== call) {
                    fail(new Error("the answer belongs to another call"));
                    cancel();
                    return;
                }
                observer.head(head, responseHeaders);
            },
            onResponseData(_, chunk) {
                if (!over) {
                    observer.data(chunk);
                }
            },
            onResponseEnd() {
                if (!over) {
                    over = true;
                    observer.end();
                }
            },
            onResponseError(_, error) {
                fail(error);
            },
        };
        try {
            pool.dispatch({ method: method, path, headers, body: body ?? null }, handler);
        }
        catch (error) {
            fail(error as Error);
        }
        return { cancel, wasSent: () => sent };
    }

    return { send, [Symbol.asyncDispose]: () => pool.destroy() };
}
