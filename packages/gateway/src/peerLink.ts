import { type SocketAddress, StoreError } from "@tamarackgauge/core/gateway";
import { pack } from "msgpackr";
import { WebSocket } from "ws";
import { decodePeerAnswer, isValidResult, maxPeerMessageBytes, type PeerCall, type PeerNotice, type PeerRequest,
    type PeerResult } from "./peerMessage.ts";

/** A connection to another gateway. */
export interface PeerLink {
    readonly address: SocketAddress;
    /** Rejects if the peer cannot be reached. */
    readonly opened: Promise<void>;
    readonly isOpen: boolean;
    readonly closed: boolean;
    /**
     * Rejects with a `StoreError`. After a timeout the link is closed, because its connection may be dead without either
     * side noticing.
     */
    request<const Call extends PeerCall>(call: Call, limits: RequestTimeouts): Promise<PeerResult<Call["kind"]>>;
    /** Sends a message that is not answered. Returns whether the link is open. */
    notify(notice: PeerNotice): boolean;
    /** Closes the link; messages already sent are still delivered. */
    close(): void;
    terminate(): void;
}

/** Timeouts of a request, in ms. */
export interface RequestTimeouts {
    readonly timeout: number;
    /**
     * If given, the peer must send a message or a pong within each such time until it answers. A frozen process is thereby
     * detected earlier than a busy one exceeds `timeout`.
     */
    readonly silenceTimeout?: number;
}

interface PendingRequest {
    readonly kind: PeerCall["kind"];
    resolve(result: unknown): void;
    reject(error: StoreError): void;
}

const connectTimeoutMs = 300;
/** An interval that lasted longer by this factor does not show that a peer is silent. */
const heldUpFactor = 1.5;

/** Opens a link. */
export function openPeerLink(address: SocketAddress): PeerLink {
    const socket = new WebSocket(`ws://${address.host}:${address.port}`, { handshakeTimeout: connectTimeoutMs,
        perMessageDeflate: false, maxPayload: maxPeerMessageBytes });
    const pending = new Map<number, PendingRequest>();
    let lastId = 0;
    let closed = false;
    let lastReceivedAt = 0;
    const opened = new Promise<void>((resolve, reject) => {
        socket.once("open", resolve);
        socket.once("error", reject);
    });
    // Prevents an unhandled rejection if nobody awaits `opened`; `closed` reports the failure as well.
    opened.catch(() => undefined);
    socket.on("message", data => receive(data as Buffer));
    socket.on("pong", () => lastReceivedAt = performance.now());
    socket.on("error", failAllRequests);
    socket.on("close", failAllRequests);

    function receive(data: Buffer): void {
        lastReceivedAt = performance.now();
        const answer = decodePeerAnswer(data);
        const entry = answer === undefined ? undefined : pending.get(answer.id);
        if (answer === undefined ||
            (entry !== undefined && "result" in answer && !isValidResult(entry.kind, answer.result))) {
            // Later messages of the peer cannot be trusted either. The pending requests fail when the link is closed.
            socket.terminate();
            return;
        }
        pending.delete(answer.id);
        if ("failure" in answer) {
            entry?.reject(new StoreError(answer.failure, answer.reason));
        }
        else {
            entry?.resolve(answer.result);
        }
    }

    function failAllRequests(): void {
        closed = true;
        pending.forEach(entry => entry.reject(new StoreError("unknown", "the link to the peer broke")));
        pending.clear();
    }

    function failRequest(id: number, reason: string): void {
        pending.get(id)?.reject(new StoreError("unknown", reason));
        pending.delete(id);
        socket.terminate();
    }

    function request<const Call extends PeerCall>(call: Call, { timeout, silenceTimeout }: RequestTimeouts) {
        lastId += 1;
        const id = lastId;
        const timer = setTimeout(() => failRequest(id, "the peer did not answer in time"), timeout);
        const stopWatching = silenceTimeout === undefined
            ? () => undefined
            : watchSilence(silenceTimeout, () => failRequest(id, "the peer is silent"));
        const answer = new Promise<PeerResult<Call["kind"]>>((resolve, reject) => {
            pending.set(id, { kind: call.kind, resolve: result => resolve(result as PeerResult<Call["kind"]>),
                reject });
        });
        socket.send(pack({ id, call } satisfies PeerRequest));
        return answer.finally(() => {
            clearTimeout(timer);
            stopWatching();
        });
    }

    /** Reports an interval without a sign of life. The peer is pinged only if it does not answer soon. */
    function watchSilence(silenceTimeout: number, onSilence: () => void): () => void {
        let startedAt = performance.now();
        const pingTimer = setTimeout(ping, silenceTimeout / 2);
        const timer = setInterval(() => {
            // If this process was held up itself, the peer's messages may not have been read yet.
            const wasHeldUp = performance.now() - startedAt > silenceTimeout * heldUpFactor;
            if (lastReceivedAt < startedAt && !wasHeldUp) {
                onSilence();
                return;
            }
            startedAt = performance.now();
            ping();
        }, silenceTimeout);

        return () => {
            clearTimeout(pingTimer);
            clearInterval(timer);
        };
    }

    function ping(): void {
        if (socket.readyState === socket.OPEN) {
            socket.ping();
        }
    }

    function notify(notice: PeerNotice): boolean {
        if (socket.readyState !== socket.OPEN) {
            return false;
        }
        lastId += 1;
        socket.send(pack({ id: lastId, call: notice } satisfies PeerRequest));
        return true;
    }

    return {
        address,
        opened,
        get isOpen() {
            return socket.readyState === socket.OPEN;
        },
        get closed() {
            return closed;
        },
        request,
        notify,
        close() {
            closed = true;
            socket.close();
        },
        terminate() {
            closed = true;
            socket.terminate();
        },
    };
}
