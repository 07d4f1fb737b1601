import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** The upstream closed a new connection before anything was sent on it: it has no room for one more. */
export class NoRoomForConnection extends Error {
    constructor() {
        super("the upstream closed a new connection");
    }
}

const connectTimeout = 600;
/**
 * An upstream closes a connection for which it has no room at once. Nothing is sent on a new one before, so that a call is not
 * of unknown fate for want of room. In ms.
 */
const newConnectionHold = 6;

/** Makes connections to upstreams. */
export function createUpstreamConnector(): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeout, noDelay: true, keepAlive: true,
        keepAliveInitialDelay: 1_000 });
    return (options, callback) =>
        connect(options, (...[error, socket]) => {
            if (error !== null) {
                callback(isReset(error) ? new NoRoomForConnection() : error, null);
                return;
            }
            holdNew(socket, isClosed => isClosed ? callback(new NoRoomForConnection(), null) : callback(null, socket));
        });
}

function isReset(error: NodeJS.ErrnoException): boolean {
    return error.code === "ECONNRESET";
}

/** Tells once whether the other side has closed a connection within its first moments. */
function holdNew(socket: Socket, tell: (isClosed: boolean) => void): void {
    const timer = setTimeout(() => end(false), newConnectionHold);
    const close = () => end(true);
    const events = ["error", "end", "close"] as const;

    function end(isClosed: boolean): void {
        clearTimeout(timer);
        events.forEach(event => socket.off(event, close));
        if (isClosed) {
            socket.on("error", () => undefined);
            socket.destroy();
        }
        tell(isClosed);
    }

    events.forEach(event => socket.on(event, close));
}
