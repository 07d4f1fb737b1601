import { type AnswerHead, mismatchReason } from "@tamarackgauge/core/gateway";
import { decodeAnswer } from "@tamarackgauge/platform";
import type { IncomingHttpHeaders } from "node:http";
import { Client, type Dispatcher, errors } from "undici";
import type { AnswerReader } from "./answerReader.ts";
import { createParsingTurns, type ParsingTurns } from "./parsingTurns.ts";
import type { UpstreamTarget } from "./relays.ts";
import { createUpstreamSocket, UpstreamFullError, type UpstreamSocket } from "./upstreamConnector.ts";
import { createDirectPaths, type UpstreamPaths, type WatchedCall } from "./upstreamPaths.ts";

/** A call in the form in which it is sent to an upstream. */
export interface UpstreamRequest {
    /** Id of the call, which the upstream repeats in its answer. */
    readonly callId: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Priority among calls that wait for a connection, from 0 (the most urgent) to 9. */
    readonly priority: number;
    /** Connections that have carried the call in earlier attempts; the client adds the one that it uses. */
    readonly usedConnections: UsedConnections;
    /** Whether the call may run again, so that it fails at once on a connection that was cut off. */
    readonly isRepeatable?: boolean;
}

/**
 * Connections that have carried a call. None of them carries it again: an upstream may send an answer twice, and the
 * second copy, which bears the call's id, would be taken for the answer to the later attempt.
 */
export type UsedConnections = WeakSet<object>;

/**
 * Why a call was not answered. `unreachable`: no connection could be established. `noRoom`: the upstream accepts no
 * more connections, or all that this gateway may open are in use. In both cases it is certain that the call never left
 * this process. `unknown`: the call was sent, and its outcome is unknown.
 */
export type RequestFailure = "unreachable" | "noRoom" | "unknown";

/** Receives the answer to a call. `end` or `fail` is the last method that is called. */
export interface ResponseObserver {
    head(head: AnswerHead, headers: IncomingHttpHeaders): void;
    data(chunk: Buffer): void;
    end(): void;
    fail(failure: RequestFailure, reason: string): void;
}

/** A call that is in flight at an upstream or waits for a connection to it. */
export interface ActiveRequest {
    /** False only if it is certain that the call never left this process. */
    wasSent(): boolean;
    /** Closes the connection, so that the upstream stops working on the call. The observer is not called any more. */
    cancel(): void;
    /** Stops reading the answer until `resume` is called. */
    pause(): void;
    resume(): void;
}

/** Client of one upstream. */
export interface UpstreamClient extends AsyncDisposable {
    send(request: UpstreamRequest, observer: ResponseObserver): ActiveRequest;
    /**
     * Sends no further call: those that wait for a connection fail, idle connections are closed, and the others after
     * their answers.
     */
    retire(): void;
}

/** Dependencies of a client. */
export interface UpstreamClientParts {
    readonly host: string;
    readonly port: number;
    /** Maximum number of connections that this gateway may currently have open. */
    readonly maxConnections: () => number;
    /** Maximum size of an answer's status line and headers. */
    readonly maxHeadBytes: number;
    /** The upstream as it is known now; needed to reach it through other gateways. */
    readonly target?: () => UpstreamTarget;
    readonly paths?: UpstreamPaths;
    /** Shares the time for parsing answers with the connections to other upstreams. */
    readonly turns?: ParsingTurns;
}

const idleTimeoutMs = 8_000;
/** An idle connection is closed this long before the upstream would close it. */
const idleTimeoutMarginMs = 1_000;

/**
 * A relayed connection is not reused after this time, so that a direct one is tried again, and that no call is sent through a
 * gateway that is about to stop.
 */
const maxRelayedAgeMs = 2_000;

/** Maximum time for which a call waits for a free connection before it may be sent to another upstream. */
const connectionWaitMs = 250;

/** A connection. It carries one call at a time. */
interface Connection {
    readonly client: Client;
    readonly socket: UpstreamSocket;
    readonly openedAt: number;
    busy: boolean;
    /** Whether the call that it carries may run again. */
    isRepeatable: boolean;
}

/** A call that waits for a connection. */
interface WaitingRequest {
    readonly request: UpstreamRequest;
    readonly refuse: () => void;
    start(connection: Connection): void;
}

/** An answer with this status has no body, though it may have the length of the one that it stands for. */
const notModified = 304;
const leavingReason = "the upstream leaves";

/** Stands for a call that never leaves this process. */
const unsentRequest: ActiveRequest = { wasSent: () => false, cancel: () => undefined, pause: () => undefined,
    resume: () => undefined };

/** Creates a client for the upstream at an address. */
export function createUpstreamClient(parts: UpstreamClientParts): UpstreamClient {
    const { host, port, maxConnections, maxHeadBytes, paths = createDirectPaths() } = parts;
    const { turns = createParsingTurns(() => performance.now()) } = parts;
    const {
        target = () => ({ id: "", address: { host, port }, dataCentre: "", isLeaving: false,
            requestsPerSecond: undefined }),
    } = parts;
    /** The most recently used connection is first, so that those not needed become idle and are closed. */
    let connections: Connection[] = [];
    /** Ordered by priority, then by arrival. */
    let waiting: WaitingRequest[] = [];
    let retired = false;
    const stopListening = paths.onCutOff(closeDirectConnections);

    /** Calls that may not run again keep their connections, which may work again in time. */
    function closeDirectConnections(): void {
        connections
            .filter(({ socket, busy, isRepeatable }) => socket.kind() === "direct" && (!busy || isRepeatable))
            .forEach(closeConnection);
    }

    function isReusable({ socket, openedAt }: Connection): boolean {
        return socket.kind() === "relayed"
            ? performance.now() - openedAt < maxRelayedAgeMs
            : !paths.isCutOff();
    }

    function acquireConnection({ usedConnections, isRepeatable = false }: UpstreamRequest): Connection | undefined {
        connections.filter(connection => !connection.busy && !isReusable(connection)).forEach(closeConnection);
        const idle = connections.filter(({ busy }) => !busy);
        const unused = idle.find(connection => !usedConnections.has(connection));
        if (unused === undefined && connections.length >= maxConnections() && idle.length > 0) {
            closeConnection(idle.at(-1)!);
        }
        const connection = unused ?? (connections.length < maxConnections() ? openConnection() : undefined);
        if (connection !== undefined) {
            connection.busy = true;
            connection.isRepeatable = isRepeatable;
            usedConnections.add(connection);
            connections = [connection, ...connections.filter(other => other !== connection)];
        }
        return connection;
    }

    function openConnection(): Connection {
        const socket = createUpstreamSocket(maxHeadBytes, turns, () => paths.open(target()));
        const client = new Client(`http://${host}:${port}`, {
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: idleTimeoutMs,
            keepAliveTimeoutThreshold: idleTimeoutMarginMs,
            maxHeaderSize: maxHeadBytes,
            connect: socket.connector,
        });
        return { client, socket, openedAt: performance.now(), busy: false, isRepeatable: false };
    }

    /** A connection is not reused if it may still deliver an answer that belongs to none of the pending calls. */
    function releaseConnection(connection: Connection, isReusable: boolean): void {
        connection.busy = false;
        if (retired || !isReusable || connections.length > maxConnections()) {
            closeConnection(connection);
        }
        startNextWaiting();
    }

    /** Closes a connection; a call that it carries fails. */
    function closeConnection(connection: Connection): void {
        connections = connections.filter(other => other !== connection);
        connection.client.destroy().catch(() => undefined);
    }

    function startNextWaiting(): void {
        const connection = waiting.length === 0 ? undefined : acquireConnection(waiting[0]!.request);
        if (connection !== undefined) {
            waiting.shift()!.start(connection);
        }
    }

    function send(request: UpstreamRequest, observer: ResponseObserver): ActiveRequest {
        if (retired) {
            queueMicrotask(() => observer.fail("unreachable", leavingReason));
            return unsentRequest;
        }
        const connection = acquireConnection(request);
        return connection === undefined
            ? enqueue(request, observer)
            : sendOverConnection(connection, request, observer);
    }

    function enqueue(request: UpstreamRequest, observer: ResponseObserver): ActiveRequest {
        let started: ActiveRequest | undefined;
        const refuse = (reason: string) => {
            dequeue();
            observer.fail("noRoom", reason);
        };
        const timer = setTimeout(() => refuse("all connections to the upstream are in use"), connectionWaitMs);
        const entry: WaitingRequest = {
            request,
            refuse: () => refuse(leavingReason),
            start(connection) {
                clearTimeout(timer);
                started = sendOverConnection(connection, request, observer);
            },
        };
        const index = waiting.findIndex(other => other.request.priority > request.priority);
        waiting.splice(index < 0 ? waiting.length : index, 0, entry);

        function dequeue(): void {
            clearTimeout(timer);
            waiting = waiting.filter(other => other !== entry);
        }

        return {
            cancel() {
                dequeue();
                started?.cancel();
            },
            wasSent: () => started?.wasSent() === true,
            pause: () => started?.pause(),
            resume: () => started?.resume(),
        };
    }

    function sendOverConnection(connection: Connection, { callId, method, path, headers, body }: UpstreamRequest,
        observer: ResponseObserver) {
        let controller: Dispatcher.DispatchController | undefined;
        let sent = false;
        let ended = false;
        let isMatched = false;
        let hasNoBody = false;
        let watched: WatchedCall | undefined;
        let reader: AnswerReader | undefined;

        function fail(error: Error): void {
            stopWatching();
            if (!ended) {
                ended = true;
                observer.fail(sent ? "unknown" : error instanceof UpstreamFullError ? "noRoom" : "unreachable",
                    error.message);
            }
        }

        function stopWatching(): void {
            watched?.[Symbol.dispose]();
            watched = undefined;
        }

        function cancel(): void {
            ended = true;
            stopWatching();
            controller?.abort(new Error("cancelled"));
        }

        function endOrFail(wasReset: boolean): void {
            if (wasReset) {
                fail(new Error("the connection was reset within the answer"));
            }
            else if (!ended) {
                ended = true;
                observer.end();
            }
        }

        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(started) {
                controller = started;
                if (ended) {
                    started.abort(new Error("cancelled"));
                    return;
                }
                if (retired) {
                    fail(new Error(leavingReason));
                    started.abort(new Error(leavingReason));
                    return;
                }
                sent = true;
                watched = connection.socket.kind() === "direct" ? paths.watch() : undefined;
                reader = connection.socket.reader();
                reader?.expectAnswer();
            },
            onResponseStart(_, status, responseHeaders, reasonPhrase) {
                watched?.heard();
                if (ended || status < 200) {
                    return;
                }
                const head = decodeAnswer(status, responseHeaders, reasonPhrase);
                // An upstream may send an answer twice; the second one then arrives in place of the next call's answer.
                const mismatch = mismatchReason(head, callId);
                if (mismatch !== undefined) {
                    fail(new Error(mismatch));
                    cancel();
                    return;
                }
                isMatched = true;
                hasNoBody = status === notModified;
                observer.head(head, responseHeaders);
            },
            onResponseData(_, chunk) {
                watched?.heard();
                reader?.countBody(chunk.length);
                if (!ended) {
                    observer.data(chunk);
                }
            },
            onResponseEnd() {
                stopWatching();
                reader?.endAnswer();
                // The HTTP client takes a reset for the end of an answer that has neither a length nor chunks.
                void connection.socket.wasReset().then(endOrFail);
                releaseConnection(connection, isMatched);
            },
            onResponseError(_, error) {
                releaseConnection(connection, false);
                // The HTTP client misses the bytes that the length of such an answer only describes.
                if (hasNoBody && error instanceof errors.ResponseContentLengthMismatchError) {
                    endOrFail(false);
                    return;
                }
                fail(error);
            },
        };
        try {
            connection.client.dispatch({ method, path, headers, body: body ?? null }, handler);
        }
        catch (error) {
            releaseConnection(connection, false);
            fail(error as Error);
        }
        return { cancel, wasSent: () => sent, pause: () => controller?.pause(), resume: () => controller?.resume() };
    }

    function retire(): void {
        retired = true;
        waiting.slice().forEach(({ refuse }) => refuse());
        connections.filter(({ busy }) => !busy).forEach(closeConnection);
    }

    return {
        send,
        retire,
        async [Symbol.asyncDispose]() {
            stopListening();
            await Promise.all(connections.map(({ client }) => client.destroy()));
        },
    };
}
