import type { IncomingMessage } from "node:http";
import { WebSocket } from "ws";
import { createAccepter, createDialer, type Handshake, type Identity } from "./handshake.ts";
import { describe, ProtocolError, type Reason, reasonOf, reasons } from "./reason.ts";
import type { Settings } from "./setting.ts";
import type { Meter } from "./traffic.ts";

/** Path of the WebSocket endpoint. */
export const path = "/peer/v1";

/** Largest amount of bytes, HTTP upgrade included, that an unauthenticated connection may send. */
export const handshakeBytes = 8192;

/** Who this daemon is, and the key of the cluster. */
export interface Credentials {
    readonly self: Identity;
    readonly key: Buffer;
}

/** Told once how an attempt ended: with an authenticated socket, or with a reason. */
export interface Outcome {
    opened(socket: WebSocket, peer: Identity): void;
    failed(reason: Reason, detail: string): void;
}

/** Connects to a daemon and authenticates both ends. Returns a function that gives up. */
export function dial(
    target: { readonly name: string; readonly address: string; readonly port: number; },
    credentials: Credentials,
    settings: Settings,
    meter: Meter,
    outcome: Outcome,
): () => void {
    const host = target.address.includes(":") ? `[${target.address}]` : target.address;
    const socket = new WebSocket(`ws://${host}:${target.port}${path}`, {
        perMessageDeflate: false,
        maxPayload: settings.messageLimit + settings.frameSize,
        handshakeTimeout: settings.handshakeMs,
    });
    const handshake = createDialer(credentials.self, target.name, credentials.key);
    return authenticate(socket, handshake, true, settings, meter, outcome);
}

/** Authenticates a connection that the server accepted. Returns a function that gives up. */
export function accept(
    socket: WebSocket,
    credentials: Credentials,
    settings: Settings,
    meter: Meter,
    outcome: Outcome,
): () => void {
    return authenticate(
        socket,
        createAccepter(credentials.self, credentials.key),
        false,
        settings,
        meter,
        outcome,
    );
}

function authenticate(
    socket: WebSocket,
    handshake: Handshake,
    dialing: boolean,
    settings: Settings,
    meter: Meter,
    outcome: Outcome,
): () => void {
    const timer = setTimeout(() => fail("handshake_late"), settings.handshakeMs);
    let settled = false;

    function settle(): boolean {
        if (settled) {
            return false;
        }
        settled = true;
        clearTimeout(timer);
        socket.off("message", receive);
        socket.off("close", onClose);
        return true;
    }

    function fail(reason: Reason, detail = describe(reason)): void {
        if (!settle()) {
            return;
        }
        if (socket.readyState === socket.OPEN) {
            socket.close(reasons[reason].code, reasons[reason].text);
            setTimeout(() => socket.terminate(), 100).unref();
        }
        else {
            socket.terminate();
        }
        outcome.failed(reason, detail);
    }

    function send(text: string): void {
        meter.sent(text.length, text.length, dialing);
        socket.send(text);
    }

    function receive(data: Buffer, isBinary: boolean): void {
        meter.received(data.length, data.length, !dialing);
        try {
            if (isBinary) {
                throw new ProtocolError("unauthenticated", "a frame before the handshake");
            }
            const step = handshake.receive(data.toString("utf8"));
            if (step.identity !== undefined && settle()) {
                // The link listens before the last proof is sent, so that no frame of the peer is missed.
                outcome.opened(socket, step.identity);
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
        fail(reasonOf(code));
    }

    socket.on("message", receive);
    socket.on("close", onClose);
    // Stays for the life of the socket: an error without a listener would end the process.
    socket.on("error", error => fail("unreachable", describe("unreachable", error.message)));
    socket.once("open", () => {
        if (handshake.first !== undefined) {
            send(handshake.first);
        }
    });
    return () => fail("disposed");
}

/** Destroys a connection that sends more than `handshakeBytes` bytes before `release` is called. */
export function limitBytes(request: IncomingMessage): { release(): void; } {
    const { socket } = request;
    const check = () => {
        if (socket.bytesRead > handshakeBytes) {
            socket.destroy();
        }
    };
    socket.on("data", check);
    return { release: () => socket.off("data", check) };
}
