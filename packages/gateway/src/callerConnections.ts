import { areHeadsNearLimit, callCost, type CallerMemoryUse, callerMemoryUse, chooseClosings, chooseClosingsForCall,
    type Closing, type ClosingCause, type ConnectionTimeouts, type ConnectionUse,
    hasRoomForCall } from "@tamarackgauge/core/gateway";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { headSize } from "./requestHead.ts";

/** The connections of callers and what they hold in memory, kept within a limit. */
export interface CallerConnections {
    /** Counts a request that has been read. */
    admit(request: IncomingMessage, response: ServerResponse): Admission;
    /** Counts the body of a request without a declared length. */
    recordBody(request: IncomingMessage, bytes: number): void;
    /** Ends a connection on which nothing more can be read, after the answers that it still waits for. */
    refuse(socket: Socket, status: number): void;
    setTimeouts(timeouts: ConnectionTimeouts): void;
    report(): CallerMemoryReport;
    close(): void;
}

/** What callers hold in memory, and the events since the last report. */
export interface CallerMemoryReport {
    readonly use: CallerMemoryUse;
    readonly closed: ReadonlyMap<ClosingCause, number>;
}

/**
 * Whether the call of a request may be taken. `noRoom`: it is to be refused. `ended`: its connection has ended, so it
 * gets no answer.
 */
export type Admission = "admitted" | "noRoom" | "ended";

/** One connection of a caller. */
interface Connection extends ConnectionUse {
    readonly socket: Socket;
    /** Bytes of the requests that have been read. */
    readBytes: number;
    headBytes: number;
    waitingSince: number;
    calls: number;
    /** Memory reserved for the calls under way. */
    callBytes: number;
    lastRequest: IncomingMessage | undefined;
    /** Whether bytes of the last request's body have been counted. */
    isBodyRead: boolean;
    /** Status with which the connection ends when no call is under way. */
    refusedWith: number | undefined;
    /** No further request is taken. */
    isEnding: boolean;
}

const requestTimeout = 408;
const checkIntervalMs = 200;
const shortCheckIntervalMs = 20;
/** The connections are also checked each time that so many have been opened. */
const connectionsPerCheck = 64;
/** Minimum time between two searches for connections to be closed for a call. */
const minSearchIntervalMs = 50;
/** Time for the caller to read the last answer before the connection is closed. */
const lingerMs = 1_000;
/** White space and the framing of chunks are not counted in the size of a request; fewer bytes than this are no head. */
const maxUncountedBytes = 1_024;

/** Bytes of a chunk's length in hexadecimal and of the two line ends. */
function chunkFramingBytes(chunkBytes: number): number {
    return chunkBytes.toString(16).length + 4;
}

/** Starts counting what the connections of a server hold, which may be `maxBytes` in all. */
export function trackConnections(server: Server, maxBytes: number, answer: (status: number) => string,
    initialTimeouts: ConnectionTimeouts): CallerConnections {
    const connections = new Map<Socket, Connection>();
    const closed = new Map<ClosingCause, number>();
    let timeouts = initialTimeouts;
    let callCosts = 0;
    let headBytes = 0;
    let openedSinceCheck = 0;
    let searchedAt = -Infinity;
    let timer = scheduleCheck(checkIntervalMs);
    const now = () => performance.now();
    const use = () => callerMemoryUse(connections.size, headBytes, callCosts);

    server.on("connection", (socket: Socket) => {
        const connection: Connection = { socket, readBytes: 0, headBytes: 0, waitingSince: now(), calls: 0,
            callBytes: 0, lastRequest: undefined, isBodyRead: false, refusedWith: undefined, isEnding: false };
        connections.set(socket, connection);
        socket.once("close", () => {
            connections.delete(socket);
            callCosts -= connection.callBytes;
        });
        openedSinceCheck += 1;
        if (openedSinceCheck === connectionsPerCheck) {
            setImmediate(check);
        }
    });

    /** What has come while the process was busy or stopped is read before the check. */
    function scheduleCheck(ms: number): NodeJS.Timeout {
        return setTimeout(() => setImmediate(check), ms).unref();
    }

    function check(): void {
        openedSinceCheck = 0;
        close(chooseClosings(update(), callCosts, maxBytes, timeouts, now()));
        clearTimeout(timer);
        timer = scheduleCheck(areHeadsNearLimit(use(), maxBytes) ? shortCheckIntervalMs : checkIntervalMs);
    }

    /** Counts the bytes of all unfinished heads anew, as Node.js reports none of them. */
    function update(): readonly Connection[] {
        const all = [...connections.values()];
        all.forEach(updateHead);
        headBytes = all.reduce((sum, connection) => sum + connection.headBytes, 0);
        return all.filter(({ isEnding }) => !isEnding);
    }

    function updateHead(connection: Connection): void {
        if (connection.isEnding) {
            return;
        }
        if (connection.lastRequest?.complete === true) {
            endRequest(connection, connection.lastRequest);
        }
        const bytes = connection.lastRequest === undefined
            ? Math.max(0, connection.socket.bytesRead - connection.readBytes)
            : 0;
        if (bytes > 0 && connection.headBytes === 0) {
            connection.waitingSince = now();
        }
        connection.headBytes = bytes;
    }

    /** Bytes of a body without a length that nobody has read are no head. */
    function endRequest(connection: Connection, request: IncomingMessage): void {
        connection.lastRequest = undefined;
        if (request.headers["transfer-encoding"] !== undefined && !connection.isBodyRead) {
            connection.readBytes = connection.socket.bytesRead;
        }
    }

    function close(closings: readonly Closing<Connection>[]): void {
        for (const { connection, cause } of closings) {
            if (!connection.isEnding) {
                closed.set(cause, (closed.get(cause) ?? 0) + 1);
            }
            if (cause === "headTimeout") {
                end(connection, requestTimeout, lingerMs);
            }
            else if (cause === "headMemory") {
                end(connection, requestTimeout, 0);
            }
            else {
                connection.isEnding = true;
                // Not only as its socket closes, which is too late for the call that it makes room for.
                connections.delete(connection.socket);
                connection.socket.destroy();
            }
        }
    }

    /** Ends a connection with an answer that its caller has the given time to read. */
    function end(connection: Connection, status: number, maxMs: number): void {
        const { socket } = connection;
        if (connection.isEnding || !socket.writable) {
            connection.isEnding = true;
            socket.destroy();
            return;
        }
        connection.isEnding = true;
        socket.end(answer(status), () => {
            const timeout = setTimeout(() => socket.destroy(), maxMs);
            socket.once("close", () => clearTimeout(timeout));
        });
    }

    function reserve(connection: Connection, cost: number): boolean {
        if (!hasRoomForCall(use(), cost, maxBytes) && now() - searchedAt > minSearchIntervalMs) {
            searchedAt = now();
            close(chooseClosingsForCall(update(), callCosts, cost, maxBytes, now()));
        }
        if (!hasRoomForCall(use(), cost, maxBytes)) {
            return false;
        }
        callCosts += cost;
        connection.callBytes += cost;
        return true;
    }

    function admit(request: IncomingMessage, response: ServerResponse): Admission {
        const connection = connections.get(request.socket);
        if (connection === undefined || connection.isEnding || connection.refusedWith !== undefined) {
            return "ended";
        }
        const bytes = headSize(request);
        const cost = callCost(bytes, request.rawHeaders.length / 2);
        connection.readBytes += bytes + Number(request.headers["content-length"] ?? 0);
        connection.lastRequest = request;
        connection.isBodyRead = false;
        connection.headBytes = 0;
        connection.calls += 1;
        const isAdmitted = reserve(connection, cost);
        // The refusal closes the connection, so no later request on it may run.
        connection.isEnding = !isAdmitted;
        response.once("close", () => finishCall(connection, isAdmitted ? cost : 0));
        return isAdmitted ? "admitted" : "noRoom";
    }

    function finishCall(connection: Connection, cost: number): void {
        const { socket } = connection;
        if (!connections.has(socket)) {
            return;
        }
        callCosts -= cost;
        connection.callBytes -= cost;
        connection.calls -= 1;
        if (connection.calls > 0) {
            return;
        }
        connection.waitingSince = now();
        if (connection.lastRequest?.complete === true) {
            endRequest(connection, connection.lastRequest);
        }
        const uncounted = socket.bytesRead - connection.readBytes;
        if (uncounted > 0 && uncounted < maxUncountedBytes) {
            connection.readBytes = socket.bytesRead;
        }
        if (connection.refusedWith !== undefined) {
            end(connection, connection.refusedWith, lingerMs);
        }
    }

    return {
        admit,
        recordBody(request, bytes) {
            const connection = connections.get(request.socket);
            if (connection !== undefined && request.headers["content-length"] === undefined) {
                connection.readBytes += bytes + chunkFramingBytes(bytes);
                connection.isBodyRead = true;
            }
        },
        refuse(socket, status) {
            const connection = connections.get(socket);
            if (connection === undefined) {
                socket.destroy();
            }
            else if (connection.calls > 0) {
                connection.refusedWith = status;
            }
            else if (!connection.isEnding) {
                end(connection, status, lingerMs);
            }
        },
        setTimeouts(next) {
            timeouts = next;
        },
        report() {
            const result = { use: use(), closed: new Map(closed) };
            closed.clear();
            return result;
        },
        close: () => clearTimeout(timer),
    };
}
