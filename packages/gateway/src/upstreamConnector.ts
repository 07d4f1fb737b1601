import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { buildConnector } from "undici";
import { type AnswerReader, readAnswers } from "./answerReader.ts";
import type { ParsingTurns } from "./parsingTurns.ts";
import type { PathKind, UpstreamPath } from "./upstreamPaths.ts";

/** The upstream closed a new connection before anything was sent over it, as its connection limit is reached. */
export class UpstreamFullError extends Error {
    constructor() {
        super("the upstream closed a new connection");
    }
}

/**
 * Time for which nothing is sent over a new connection. An upstream at its connection limit closes it at once; if a
 * call had already been sent, its outcome would be unknown.
 */
const newConnectionHoldMs = 6;

/** The connection that is currently open to an upstream, if any. */
export interface UpstreamSocket {
    readonly connector: buildConnector.connector;
    /** How the connection was opened; undefined before. */
    kind(): PathKind | undefined;
    /** Reads the answers on the connection; undefined before it is open. */
    reader(): AnswerReader | undefined;
    /** Whether the connection ended because it was reset, not because the upstream closed its side. */
    wasReset(): Promise<boolean>;
}

/** Creates a connector that opens the connections to an upstream, one after the other; `maxHeadBytes` is the maximum size of an answer's head. */
export function createUpstreamSocket(maxHeadBytes: number, turns: ParsingTurns,
    open: () => Promise<UpstreamPath>): UpstreamSocket {
    let wasReset = async () => false;
    let kind: PathKind | undefined;
    let reader: AnswerReader | undefined;
    const connector = createConnector(open, path => {
        kind = path.kind;
        wasReset = path.kind === "direct" ? detectReset(path.socket) : async () => path.socket.readableAborted;
        reader = readAnswers(path.socket, maxHeadBytes, turns);
    });
    return { connector, kind: () => kind, wasReset: () => wasReset(), reader: () => reader };
}

/** `onOpen` receives each connection before it is used. */
function createConnector(open: () => Promise<UpstreamPath>,
    onOpen: (path: UpstreamPath) => void): buildConnector.connector {
    return (_, callback) =>
        void open().then(path =>
            detectEarlyClose(path.socket, isClosed => {
                if (isClosed) {
                    callback(new UpstreamFullError(), null);
                    return;
                }
                onOpen(path);
                // The client uses of a socket what every duplex stream has.
                callback(null, path.socket as Socket);
            }), (error: Error) => callback(isReset(error) ? new UpstreamFullError() : error, null));
}

function isReset(error: NodeJS.ErrnoException): boolean {
    return error.code === "ECONNRESET";
}

/** Calls back once with whether the other side closed the connection within `newConnectionHoldMs`. */
function detectEarlyClose(socket: Duplex, callback: (isClosed: boolean) => void): void {
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

/**
 * Returns a function that tells whether the connection was reset. Node.js reports a reset that arrives together with
 * data as an orderly end. Writing zero bytes shows it: nothing is sent, and the write fails on a connection that was
 * reset.
 */
export function detectReset(socket: Socket): () => Promise<boolean> {
    let failedAfterEnd: Promise<boolean> | undefined;
    // Before the socket's own listener, which rejects further writes.
    socket.prependListener("end", () => {
        failedAfterEnd = new Promise(resolve => socket.write("", error => resolve(error instanceof Error)));
    });
    return async () => failedAfterEnd ?? socket.readableAborted;
}
