import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** The upstream closed a new connection before anything was sent on it: it has no room for one more. */
export class UpstreamFullError extends Error {
    constructor() {
        super("the upstream closed a new connection");
    }
}

const connectTimeoutMs = 600;
/**
 * An upstream closes a connection for which it has no room at once. Nothing is sent on a new one before, so that a call is not
 * of unknown fate for want of room. In ms.
 */
const newConnectionHoldMs = 6;

/** Makes connections to upstreams. */
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

/** Tells once whether the other side has closed a connection within its first moments. */
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
