import { type CallerCapacity, callerCapacityOf, type ConnectionTimeouts,
    type SocketAddress } from "@tamarackgauge/core/gateway";
import { createServer, type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { type CallerConnections, trackConnections } from "./callerConnections.ts";
import { listen } from "./listen.ts";
import type { Log } from "./log.ts";

/** Takes a request; without room for its call it is to be refused at once. */
export type CallListener = (request: IncomingMessage, response: ServerResponse, hasRoom: boolean) => void;

/** The listening server for callers. Requests that arrive before they can be handled wait. */
export interface CallerServer {
    readonly server: Server;
    readonly connections: CallerConnections;
    /** Passes all requests to the listener, those that wait first. */
    setListener(listener: CallListener): void;
    /** Sets the maximum size of a request head, in bytes, for the connections that are opened from now on. */
    setMaxHeadBytes(bytes: number): void;
}

/** Maximum size of a request head until the declared one is known: a smaller one might refuse heads that are allowed. */
const defaultMaxHeadBytes = 65_536;
/** Time limits until the declared ones are known. */
const defaultTimeouts: ConnectionTimeouts = { head: 10_000, idle: 60_000 };
/** When a caller that was refused before the program is loaded should try again, in seconds. */
const retryAfter = "0.3";
const badRequest = 400;
const headTooLarge = 431;
const serviceUnavailable = 503;
/** Statuses for requests that Node.js does not accept, by the code of its error. */
const errorStatuses: Readonly<Record<string, number>> = { HPE_HEADER_OVERFLOW: headTooLarge };

/**
 * Starts listening for callers. This module loads quickly, so that a process that starts accepts connections before the
 * rest of the program is loaded; callers that find no listener use up their attempts. What callers hold is bounded from
 * the first connection on.
 */
export async function openCallerServer(address: () => SocketAddress, log: Log,
    capacity: CallerCapacity = callerCapacityOf()): Promise<CallerServer> {
    const waiting: [IncomingMessage, ServerResponse][] = [];
    let listener: CallListener = (request, response, hasRoom) =>
        hasRoom ? waiting.push([request, response]) : refuseCall(response);
    // Node.js checks its own time limits of heads only every 30 s, and counts an unused connection as a head. It reads
    // `maxHeaderSize` of the server for each new connection.
    const server: Server & { maxHeaderSize?: number; } = createServer({ maxHeaderSize: defaultMaxHeadBytes,
        headersTimeout: 0, requestTimeout: 0, noDelay: true }, (request, response) => {
        const admission = connections.admit(request, response);
        if (admission !== "ended") {
            listener(request, response, admission === "admitted");
        }
    });
    // The size of a head bounds its headers. Node.js leaves out those above a number, without an error.
    server.maxHeadersCount = 0;
    const connections = trackConnections(server, capacity, rawAnswer, defaultTimeouts);
    // Node.js counts a connection as idle as soon as its last answer has ended, also if the caller has not got all of it. It calls
    // this method itself when the server is closed.
    server.closeIdleConnections = () => connections.closeIdle();
    server.on("clientError", ({ code = "" }: NodeJS.ErrnoException, socket) => {
        if (code === "ECONNRESET") {
            socket.destroy();
        }
        else {
            connections.refuse(socket as Socket, errorStatuses[code] ?? badRequest);
        }
    });
    server.on("close", () => connections.close());
    await listen(server, address, log);
    return {
        server,
        connections,
        setListener(next) {
            listener = next;
            connections.open();
            // A caller that has left meanwhile is not served, and its response reports no second end.
            waiting.splice(0).filter(([, response]) => !response.destroyed)
                .forEach(([request, response]) => next(request, response, true));
        },
        setMaxHeadBytes(bytes) {
            server.maxHeaderSize = bytes;
        },
    };
}

function refuseCall(response: ServerResponse): void {
    response.writeHead(serviceUnavailable, { "retry-after": retryAfter, "connection": "close", "content-length": 0 })
        .end();
}

/** An answer without a body that ends its connection. */
function rawAnswer(status: number): string {
    return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
