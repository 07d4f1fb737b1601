import { areHeadsOverLimit, callCost, type CallerCapacity, type CallerMemoryUse, callerMemoryUse, chooseClosings,
    chooseClosingsForCall, chooseWaiting, type Closing, type ClosingCause, type ConnectionTimeouts, hasRoomForCall,
    maxUnansweredCalls } from "@tamarackgauge/core/gateway";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type CallerConnection, createConnection, isEnding, isIdle, isInSizedBody,
    isReadingBody } from "./callerConnection.ts";
import { paceParsing, type ParsingPace } from "./pacedParsing.ts";
import { createParsingTurns } from "./parsingTurns.ts";
import { headEnd, headSize } from "./requestHead.ts";

/** The connections of callers, kept within what they may hold of memory and descriptors. */
export interface CallerConnections {
    /** Counts a request that has been read. */
    admit(request: IncomingMessage, response: ServerResponse): Admission;
    /** Size of the head of an admitted request, in bytes. */
    headSizeOf(request: IncomingMessage): number;
    /** Reads on from connections whose first request waited until calls could be handled. */
    open(): void;
    /**
     * Whether the answer that begins now is the last one that is owed on its connection. If so, nothing more is read from it, and
     * it is to be closed after the answer.
     */
    endWith(request: IncomingMessage, response: ServerResponse): boolean;
    /** Takes no further call from a connection before the answer has ended, as it may have to be broken off. */
    holdBehind(request: IncomingMessage, response: ServerResponse): void;
    /** Closes the connections that have been used, and on which neither a call is under way nor a part of one has come. */
    closeIdle(): void;
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

const requestTimeout = 408;
const checkIntervalMs = 200;
/** The connections are also checked each time that so many have been opened. */
const connectionsPerCheck = 64;
/** Minimum time between two searches for connections to be closed for a call. */
const minSearchIntervalMs = 50;
/** Time for the caller to read the last answer before the connection is closed. */
const lingerMs = 1_000;
/** Most bytes that are parsed at once where requests may begin: a head ends after few of them. */
const maxPartBytes = 1_024;
const noBytes = Buffer.alloc(0);
const carriageReturn = 0x0d;
const lineFeed = 0x0a;

/** Empty lines between requests are no head. */
function isBlank(bytes: Buffer): boolean {
    return bytes.every(byte => byte === carriageReturn || byte === lineFeed);
}

/** Starts counting what the connections of a server hold, and keeps it within the capacity. */
export function trackConnections(server: Server, capacity: CallerCapacity, answer: (status: number) => string,
    initialTimeouts: ConnectionTimeouts): CallerConnections {
    const maxBytes = capacity.bytes;
    const connections = new Map<Socket, CallerConnection>();
    const closed = new Map<ClosingCause, number>();
    const headSizes = new WeakMap<IncomingMessage, number>();
    let timeouts = initialTimeouts;
    let callCosts = 0;
    let headBytes = 0;
    let openedSinceCheck = 0;
    let isCheckDue = false;
    let searchedAt = -Infinity;
    let waitingBytes = 0;
    let isOpen = false;
    const timer = setInterval(() => setImmediate(check), checkIntervalMs).unref();
    const now = () => performance.now();
    const turns = createParsingTurns(now);
    const use = () => callerMemoryUse(connections.size, headBytes, callCosts, waitingBytes);

    server.on("connection", (socket: Socket) => {
        const connection = createConnection(socket, now());
        connections.set(socket, connection);
        connection.readOn = paceParsing(socket, turns, paceOf(connection));
        socket.once("close", () => {
            forget(connection);
            callCosts -= connection.callBytes;
            endResponses(connection);
        });
        openedSinceCheck += 1;
        if (!isCheckDue && (openedSinceCheck >= connectionsPerCheck || connections.size > capacity.connections)) {
            isCheckDue = true;
            setImmediate(check);
        }
    });
    if (Number.isFinite(capacity.acceptedConnections)) {
        server.maxConnections = capacity.acceptedConnections;
    }
    server.on("drop", () => countClosing("descriptors"));

    function check(): void {
        openedSinceCheck = 0;
        isCheckDue = false;
        close(chooseClosings(openConnections(), callCosts, capacity, timeouts, now()));
    }

    function countClosing(cause: ClosingCause): void {
        closed.set(cause, (closed.get(cause) ?? 0) + 1);
    }

    function openConnections(): readonly CallerConnection[] {
        return [...connections.values()].filter(({ isEnding }) => !isEnding);
    }

    function forget(connection: CallerConnection): void {
        if (connections.delete(connection.socket)) {
            setHeadBytes(connection, 0);
            setWaitingBytes(connection, 0);
        }
    }

    /** Node.js reports the end of a connection only to the response whose turn on it has come. */
    function endResponses({ responses }: CallerConnection): void {
        for (const response of responses) {
            if (response.socket === null) {
                response.destroy();
                response.emit("close");
            }
        }
    }

    function setHeadBytes(connection: CallerConnection, bytes: number): void {
        if (bytes > 0 && connection.headBytes === 0) {
            connection.waitingSince = now();
        }
        headBytes += bytes - connection.headBytes;
        connection.headBytes = bytes;
    }

    function setWaitingBytes(connection: CallerConnection, bytes: number): void {
        waitingBytes += bytes - connection.waitingBytes;
        connection.waitingBytes = bytes;
    }

    function isHeld(connection: CallerConnection): boolean {
        const isFull = connection.calls >= maxCallsOf() || connection.breakableCalls > 0;
        return isFull && (!isOpen || !isReadingBody(connection));
    }

    function paceOf(connection: CallerConnection): ParsingPace {
        return {
            isHeld: () => isHeld(connection),
            isEnding: () => isEnding(connection),
            isInSizedBody: () => isInSizedBody(connection),
            nextPart(bytes) {
                if (isInSizedBody(connection)) {
                    return connection.bodyLeft;
                }
                // Beyond the part, so that it does not cut the end of a head apart.
                const end = bytes.subarray(0, maxPartBytes + headEnd.length - 1).indexOf(headEnd);
                return end < 0 ? maxPartBytes : end + headEnd.length;
            },
            parsing(part) {
                connection.part = part;
            },
            parsed(part) {
                connection.part = noBytes;
                recordPart(connection, part);
            },
            waiting(bytes) {
                if (connections.has(connection.socket)) {
                    setWaitingBytes(connection, bytes);
                    close(chooseWaiting(connections.values(), waitingBytes, maxBytes));
                }
            },
        };
    }

    function maxCallsOf(): number {
        return isOpen ? maxUnansweredCalls(use(), maxBytes) : 1;
    }

    /** Counts what has been parsed as a part of a head, unless it belongs to a request whose head is whole. */
    function recordPart(connection: CallerConnection, part: Buffer): void {
        const { lastRequest } = connection;
        if (lastRequest !== undefined) {
            connection.bodyLeft -= Math.min(part.length, connection.bodyLeft);
            connection.lastRequest = lastRequest.complete ? undefined : lastRequest;
        }
        else if (connections.has(connection.socket) && !connection.isEnding &&
            (connection.headBytes > 0 || !isBlank(part))) {
            setHeadBytes(connection, connection.headBytes + part.length);
            checkHeads();
        }
    }

    /** Closes unfinished heads beyond their share as they come. */
    function checkHeads(): void {
        if (areHeadsOverLimit(use(), maxBytes)) {
            check();
        }
    }

    function close(closings: readonly Closing<CallerConnection>[]): void {
        for (const { connection, cause } of closings) {
            if (!connection.isEnding) {
                countClosing(cause);
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
                forget(connection);
                connection.socket.destroy();
            }
        }
    }

    /** Ends a connection with an answer that its caller has the given time to read. */
    function end(connection: CallerConnection, status: number, maxMs: number): void {
        const { socket } = connection;
        setHeadBytes(connection, 0);
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

    function reserve(connection: CallerConnection, cost: number): boolean {
        if (!hasRoomForCall(use(), cost, maxBytes) && now() - searchedAt > minSearchIntervalMs) {
            searchedAt = now();
            close(chooseClosingsForCall(openConnections(), callCosts, cost, maxBytes, now()));
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
        if (connection === undefined || isEnding(connection)) {
            return "ended";
        }
        const bytes = headSize(request, connection.headBytes, connection.part);
        headSizes.set(request, bytes);
        const cost = callCost(bytes, request.rawHeaders.length / 2);
        connection.bodyLeft = Number(request.headers["content-length"] ?? 0);
        connection.lastRequest = request;
        setHeadBytes(connection, 0);
        connection.calls += 1;
        connection.isUsed = true;
        const isAdmitted = reserve(connection, cost);
        // The refusal closes the connection, so no later request on it may run.
        connection.isEnding = !isAdmitted;
        connection.responses.add(response);
        response.once("close", () => {
            connection.responses.delete(response);
            finishCall(connection, isAdmitted ? cost : 0);
        });
        return isAdmitted ? "admitted" : "noRoom";
    }

    function finishCall(connection: CallerConnection, cost: number): void {
        if (!connections.has(connection.socket)) {
            return;
        }
        callCosts -= cost;
        connection.callBytes -= cost;
        connection.calls -= 1;
        connection.readOn();
        if (connection.calls === 0) {
            connection.waitingSince = now();
            if (connection.refusedWith !== undefined) {
                end(connection, connection.refusedWith, lingerMs);
            }
        }
    }

    function endWith({ socket }: IncomingMessage, response: ServerResponse): boolean {
        const connection = connections.get(socket);
        if (connection === undefined || connection.isEnding) {
            return true;
        }
        const isLast = [...connection.responses].at(-1) === response;
        const isAlone = connection.calls === 1 && connection.waitingBytes === 0;
        // Nothing can come behind a request whose body has not ended.
        connection.isAtLastAnswer = isLast && (isAlone || isReadingBody(connection));
        return connection.isAtLastAnswer;
    }

    function holdBehind({ socket }: IncomingMessage, response: ServerResponse): void {
        const connection = connections.get(socket);
        if (connection !== undefined) {
            connection.breakableCalls += 1;
            response.once("close", () => connection.breakableCalls -= 1);
        }
    }

    function closeIdle(): void {
        openConnections().filter(isIdle).forEach(({ socket }) => socket.destroySoon());
    }

    return {
        admit,
        endWith,
        holdBehind,
        closeIdle,
        headSizeOf: request => headSizes.get(request) ?? 0,
        open() {
            isOpen = true;
            connections.forEach(({ readOn }) => readOn());
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
        close: () => clearInterval(timer),
    };
}
