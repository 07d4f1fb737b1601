import type { AnswerHead } from "@tamarackgauge/core/gateway";
import { decodeAnswer } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders } from "node:http";
import { Client, type Dispatcher } from "undici";
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
    /** Order among calls that wait for a connection: from 0, the most urgent, to 9. */
    readonly priority: number;
}

/**
 * Why a call has no answer. `unreachable`: no connection could be made. `noRoom`: the upstream takes no more connections,
 * or all that this gateway may open are in use. In these cases the call certainly never left this process. `unknown`: the
 * call was sent.
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
    /** Reads no more of the answer until `resume`. */
    pause(): void;
    resume(): void;
}

/** Client of one upstream. */
export interface UpstreamClient extends AsyncDisposable {
    send(send: Send, observer: SendObserver): Sending;
}

/** Parts of a client. */
export interface UpstreamClientParts {
    readonly host: string;
    readonly port: number;
    /** The most connections that this gateway may have open now. */
    readonly mostConnections: () => number;
    /** The largest head of an answer, in bytes. */
    readonly mostHeadBytes: number;
}

const idleTimeout = 8_000;
/** An idle connection is given up this long before the upstream closes it. */
const idleMargin = 1_000;

/** A call that finds all connections in use waits this long for one, in ms, before it may go to another upstream. */
const connectionWait = 250;

/** A connection, which carries one call at a time. */
interface Connection {
    readonly client: Client;
    busy: boolean;
}

/** A call that waits for a connection. */
interface WaitingSend {
    readonly priority: number;
    start(connection: Connection): void;
}

/** Creates a client of the upstream at an address. */
export function createUpstreamClient(parts: UpstreamClientParts): UpstreamClient {
    const { host, port, mostConnections, mostHeadBytes } = parts;
    /** The one used last comes first, so that the others become idle and are closed. */
    let connections: Connection[] = [];
    /** The most urgent first, and among equals the one that came first. */
    let waiting: WaitingSend[] = [];

    function takeConnection(): Connection | undefined {
        const idle = connections.find(({ busy }) => !busy);
        const connection = idle ?? (connections.length < mostConnections() ? open() : undefined);
        if (connection !== undefined) {
            connection.busy = true;
            connections = [connection, ...connections.filter(other => other !== connection)];
        }
        return connection;
    }

    function open(): Connection {
        const client = new Client(`http://${host}:${port}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: idleTimeout,
            keepAliveTimeoutThreshold: idleMargin,
            maxHeaderSize: mostHeadBytes,
            connect: createUpstreamConnector(),
        });
        return { client, busy: false };
    }

    /** A connection on which an answer may still come that belongs to no call is not used again. */
    function giveBack(connection: Connection, isClean: boolean): void {
        connection.busy = false;
        if (!isClean || connections.length > mostConnections()) {
            connections = connections.filter(other => other !== connection);
            // Its call has ended, so that nobody waits for the end of the connection.
            connection.client.destroy().catch(() => undefined);
        }
        startWaiting();
    }

    function startWaiting(): void {
        const connection = waiting.length === 0 ? undefined : takeConnection();
        if (connection !== undefined) {
            waiting.shift()!.start(connection);
        }
    }

    function send(call: Send, observer: SendObserver): Sending {
        const connection = takeConnection();
        return connection === undefined ? waitAndSend(call, observer) : sendOn(connection, call, observer);
    }

    function waitAndSend(call: Send, observer: SendObserver): Sending {
        let started: Sending | undefined;
        const timer = setTimeout(() => {
            withdraw();
            observer.fail("noRoom", "all connections to the upstream are in use");
        }, connectionWait);
        const own: WaitingSend = {
            priority: call.priority,
            start(connection) {
                clearTimeout(timer);
                started = sendOn(connection, call, observer);
            },
        };
        const behind = waiting.findIndex(({ priority }) => priority > call.priority);
        waiting.splice(behind < 0 ? waiting.length : behind, 0, own);

        function withdraw(): void {
            clearTimeout(timer);
            waiting = waiting.filter(other => other !== own);
        }

        return {
            cancel() {
                withdraw();
                started?.cancel();
            },
            wasSent: () => started?.wasSent() === true,
            pause: () => started?.pause(),
            resume: () => started?.resume(),
        };
    }

    function sendOn(connection: Connection, { call, method, path, headers, body }: Send, observer: SendObserver) {
        let controller: Dispatcher.DispatchController | undefined;
        let sent = false;
        let over = false;
        let identified = false;

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
                identified = head.callId === call;
                // An upstream may send an answer twice; the second one then stands where another call's is due.
                if (head.callId !== undefined ? !identified : head.signed) {
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
                giveBack(connection, identified);
                if (!over) {
                    over = true;
                    observer.end();
                }
            },
            onResponseError(_, error) {
                giveBack(connection, false);
                fail(error);
            },
        };
        try {
            connection.client.dispatch({ method, path, headers, body: body ?? null }, handler);
        }
        catch (error) {
            giveBack(connection, false);
            fail(error as Error);
        }
        return { cancel, wasSent: () => sent, pause: () => controller?.pause(), resume: () => controller?.resume() };
    }

    return {
        send,
        async [Symbol.asyncDispose]() {
            await Promise.all(connections.map(({ client }) => client.destroy()));
        },
    };
}
