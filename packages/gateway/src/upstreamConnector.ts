import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** The upstream closed a new connection before anything was sent over it, as its connection limit is reached. */
export class UpstreamFullError extends Error {
    constructor() {
        super("the upstream closed a new connection");
    }
}

const connectTimeoutMs = 600;
/**
 * Time for which nothing is sent over a new connection. An upstream at its connection limit closes it at once; if a
 * call had already been sent, its outcome would be unknown.
 */
const newConnectionHoldMs = 6;

/** Creates a connector that opens the connections to upstreams. */
export function createUpstreamConnector(): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMs, noDelay: true, keepAlive: true,
        keepAliveInitialDelay: 1_000 });
    return (options, callback) =>
        connect(options, (...[error, socket]) => {
            if (error !== null) {
                callback(isReset(error) ? new UpstreamFullError() : error, null);
                return;
            }
            detectEarlyClose(socket,
                isClosed => isClosed ? callback(new UpstreamFullError(), null) : callback(null, socket));
        });
}

function isReset(error: NodeJS.ErrnoException): boolean {
    return error.code === "ECONNRESET";
}

/** Calls back once with whether the other side closed the connection within `newConnectionHoldMs`. */
function detectEarlyClose(socket: Socket, callback: (isClosed: boolean) => void): void {
    const timer = setTimeout(() => finish(false), newConnectionHoldMs);
    const onClose = () => finish(true);
    const events = ["error", "end", "close"] as const;

    function finish(isClosed: boolean): void {
        clearTimeout(timer);
        events.forEach(event => socket.off(event, onClose));
        if (isClosed) {
            socket.on("error", () => undefined);
            socket.destroy();
        }
        callback(isClosed);
    }

    events.forEach(event => socket.on(event, onClose));
}
