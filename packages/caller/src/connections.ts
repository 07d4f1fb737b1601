import { type Refusal, RefusalError, refuse } from "@tamarackgauge/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Limits } from "./limits.ts";
import { rawRefusal } from "./writer.ts";

/** Time for a caller to read the last answer on a connection that is being closed. */
const closeTimeoutMs = 1000;

/** Handles connection errors of a server: input that is not HTTP, too many connections, pipelining. */
export interface Connections {
    /**
     * Reserves the connection for a response. Throws a `RefusalError` for a pipelined request, one that arrives before
     * the previous answer has ended: its answer would be buffered behind a stream that may take minutes.
     */
    claim(request: IncomingMessage, response: ServerResponse): void;
}

/** Installs the handlers of errors at the level of connections and HTTP parsing. */
export function watchConnections(server: Server, limits: Limits, onRefusal: (refusal: Refusal) => void): Connections {
    const currentResponses = new WeakMap<Duplex, ServerResponse>();
    let connectionCount = 0;

    function close(socket: Duplex, refusal: Refusal): void {
        onRefusal(refusal);
        const response = currentResponses.get(socket);
        const midAnswer = response !== undefined && response.headersSent && !response.writableFinished;
        if (midAnswer || !socket.writable) {
            socket.destroy();
            return;
        }
        socket.end(rawRefusal(refusal));
        setTimeout(() => socket.destroy(), closeTimeoutMs).unref();
    }

    server.on("connection", socket => {
        socket.setKeepAlive(true, limits.tcpKeepAliveDelay);
        connectionCount += 1;
        socket.on("close", () => connectionCount -= 1);
        if (connectionCount > limits.maxConnections) {
            close(socket, refuse("too_many_streams", "notRun", "too many connections", 1000));
        }
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const refusal = refusalOf(error);
        if (refusal === undefined) {
            socket.destroy();
            return;
        }
        close(socket, refusal);
    });

    return {
        claim: (request, response) => {
            const previous = currentResponses.get(request.socket);
            // `writableEnded`, not `finish`: the caller's next request may arrive before the `finish` event.
            const previousUnfinished = previous !== undefined && !previous.writableEnded;
            if (previousUnfinished || previous?.getHeader("connection") === "close") {
                response.setHeader("connection", "close");
                currentResponses.set(request.socket, response);
                throw new RefusalError(
                    refuse("malformed_request", "notRun", "the connection still carries another answer"),
                );
            }
            currentResponses.set(request.socket, response);
        },
    };
}

function refusalOf({ code }: NodeJS.ErrnoException): Refusal | undefined {
    switch (code) {
        case "ECONNRESET":
        case "EPIPE":
            return undefined;
        case "HPE_HEADER_OVERFLOW":
            return refuse("headers_too_large", "notRun");
        case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
            return refuse("body_too_large", "notRun", "the chunk extensions are too long");
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return refuse("request_slow", "notRun");
        default:
            return refuse("malformed_request", "notRun", code);
    }
}
