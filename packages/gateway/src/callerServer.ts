import type { SocketAddress } from "@tamarackgauge/core/gateway";
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import { listen } from "./listen.ts";
import type { Log } from "./log.ts";

/** The listening server for callers. Requests that arrive before they can be handled wait. */
export interface CallerServer {
    readonly server: Server;
    /** Passes all requests to the listener, those that wait first. */
    setListener(listener: RequestListener): void;
}

/** Maximum size of a request head that Node.js parses. */
const maxHeaderBytes = 65_536;

/**
 * Starts listening for callers. This module loads quickly, so that a process that starts accepts connections before the
 * rest of the program is loaded; callers that find no listener use up their attempts.
 */
export async function openCallerServer(address: SocketAddress, log: Log): Promise<CallerServer> {
    const waiting: [IncomingMessage, ServerResponse][] = [];
    let listener: RequestListener = (request, response) => waiting.push([request, response]);
    const server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true },
        (request, response) => listener(request, response));
    await listen(server, address, log);
    return {
        server,
        setListener(next) {
            listener = next;
            waiting.splice(0).forEach(([request, response]) => next(request, response));
        },
    };
}
