import type { SocketAddress } from "@tamarackgauge/core/gateway";
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse,
    STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { listen } from "./listen.ts";
import type { Log } from "./log.ts";

/** The listening server for callers. Requests that arrive before they can be handled wait. */
export interface CallerServer {
    readonly server: Server;
    /** Passes all requests to the listener, those that wait first. */
    setListener(listener: RequestListener): void;
    /** Sets the maximum size of a request head, in bytes, for the connections that are opened from now on. */
    setMaxHeadBytes(bytes: number): void;
}

/** Maximum size of a request head until the declared one is known: a smaller one might refuse heads that are allowed. */
const defaultMaxHeadBytes = 65_536;
const badRequest = 400;
const requestTimeout = 408;
const headTooLarge = 431;
/** Statuses for requests that Node.js does not accept, by the code of its error. */
const errorStatuses: Readonly<Record<string, number>> = { HPE_HEADER_OVERFLOW: headTooLarge,
    ERR_HTTP_REQUEST_TIMEOUT: requestTimeout };

/**
 * Starts listening for callers. This module loads quickly, so that a process that starts accepts connections before the
 * rest of the program is loaded; callers that find no listener use up their attempts.
 */
export async function openCallerServer(address: () => SocketAddress, log: Log): Promise<CallerServer> {
    const waiting: [IncomingMessage, ServerResponse][] = [];
    let listener: RequestListener = (request, response) => waiting.push([request, response]);
    // Node.js reads this property of the server for each new connection.
    const server: Server & { maxHeaderSize?: number; } = createServer({ maxHeaderSize: defaultMaxHeadBytes,
        noDelay: true }, (request, response) => listener(request, response));
    server.on("clientError", refuseUnreadable);
    await listen(server, address, log);
    return {
        server,
        setListener(next) {
            listener = next;
            waiting.splice(0).forEach(([request, response]) => next(request, response));
        },
        setMaxHeadBytes(bytes) {
            server.maxHeaderSize = bytes;
        },
    };
}

function refuseUnreadable({ code = "" }: NodeJS.ErrnoException, socket: Duplex): void {
    if (socket.writable && code !== "ECONNRESET") {
        const status = errorStatuses[code] ?? badRequest;
        socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    }
    else {
        socket.destroy();
    }
}
