import type { IncomingMessage } from "node:http";
import { WebSocket } from "ws";
import { createAccepterHandshake, createDialerHandshake, type Handshake, type Identity } from "./handshake.ts";
import { type CloseReason, closeReasonOf, closeReasons, describeReason, ProtocolError } from "./reason.ts";
import type { PeerSettings } from "./setting.ts";
import type { TrafficMeter } from "./traffic.ts";

/** Path of the WebSocket endpoint. */
export const endpointPath = "/peer/v1";

/** Maximum number of bytes, HTTP upgrade included, that an unauthenticated connection may send. */
export const maxHandshakeBytes = 8192;

/** Identity of this daemon and the cluster key. */
export interface Credentials {
    readonly self: Identity;
    readonly key: Buffer;
}

/** Callbacks of a connection attempt. Exactly one of them is called, once. */
export interface ConnectHandlers {
    onAuthenticated(socket: WebSocket, peer: Identity): void;
    onFailed(reason: CloseReason, detail: string): void;
}

/** Connects to a daemon and authenticates both ends. Returns a function that aborts the attempt. */
export function dial(
    target: { readonly name: string; readonly address: string; readonly port: number; },
    credentials: Credentials,
    settings: PeerSettings,
    meter: TrafficMeter,
    handlers: ConnectHandlers,
): () => void {
    const host = target.address.includes(":") ? `[${target.address}]` : target.address;
    const socket = new WebSocket(`ws://${host}:${target.port}${endpointPath}`, {
        perMessageDeflate: false,
        maxPayload: settings.maxMessageBytes + settings.flushThresholdBytes,
        handshakeTimeout: settings.handshakeTimeoutMs,
    });
    const handshake = createDialerHandshake(credentials.self, target.name, credentials.key);
    return authenticate(socket, handshake, true, settings, meter, handlers);
}

/** Authenticates a connection that the server accepted. Returns a function that aborts the handshake. */
export function accept(
    socket: WebSocket,
    credentials: Credentials,
    settings: PeerSettings,
    meter: TrafficMeter,
    handlers: ConnectHandlers,
): () => void {
    return authenticate(
        socket,
        createAccepterHandshake(credentials.self, credentials.key),
        false,
        settings,
        meter,
        handlers,
    );
}

function authenticate(
    socket: WebSocket,
    handshake: Handshake,
    isDialer: boolean,
    settings: PeerSettings,
    meter: TrafficMeter,
    handlers: ConnectHandlers,
): () => void {
    const timer = setTimeout(() => fail("handshake_late"), settings.handshakeTimeoutMs);
    let settled = false;

    function settleOnce(): boolean {
        if (settled) {
            return false;
        }
        settled = true;
        clearTimeout(timer);
        socket.off("message", receive);
        socket.off("close", onClose);
        return true;
    }

    function fail(reason: CloseReason, detail = describeReason(reason)): void {
        if (!settleOnce()) {
            return;
        }
        if (socket.readyState === socket.OPEN) {
            socket.close(closeReasons[reason].code, closeReasons[reason].text);
            setTimeout(() => socket.terminate(), 100).unref();
        }
        else {
            socket.terminate();
        }
        handlers.onFailed(reason, detail);
    }

    function send(text: string): void {
        meter.recordSent(text.length, text.length, isDialer);
        socket.send(text);
    }

    function receive(data: Buffer, isBinary: boolean): void {
        meter.recordReceived(data.length, data.length, !isDialer);
        try {
            if (isBinary) {
                throw new ProtocolError("unauthenticated", "a binary frame during the handshake");
            }
            const step = handshake.receive(data.toString("utf8"));
            if (step.identity !== undefined && settleOnce()) {
                // The link registers its listeners before the last proof is sent, so that it receives every frame of
                // the peer.
                handlers.onAuthenticated(socket, step.identity);
            }
            if (step.send !== undefined) {
                send(step.send);
            }
        }
        catch (error) {
            if (!(error instanceof ProtocolError)) {
                throw error;
            }
            fail(error.reason, error.message);
        }
    }

    function onClose(code: number): void {
        fail(closeReasonOf(code));
    }

    socket.on("message", receive);
    socket.on("close", onClose);
    // This listener is never removed, because an error event without a listener would terminate the process.
    socket.on("error", error => fail("unreachable", describeReason("unreachable", error.message)));
    socket.once("open", () => {
        if (handshake.firstMessage !== undefined) {
            send(handshake.firstMessage);
        }
    });
    return () => fail("disposed");
}

/** Destroys the connection if it sends more than `maxHandshakeBytes` before `release` is called. */
export function limitHandshakeBytes(request: IncomingMessage): { release(): void; } {
    const { socket } = request;
    const check = () => {
        if (socket.bytesRead > maxHandshakeBytes) {
            socket.destroy();
        }
    };
    socket.on("data", check);
    return { release: () => socket.off("data", check) };
}
