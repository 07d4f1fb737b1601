import { type ListenAddress, StoreError } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { WebSocket } from "ws";
import type { PeerAnswer, PeerCall, PeerRequest } from "./peerMessage.ts";

/** A connection to another gateway. */
export interface PeerLink {
    readonly address: ListenAddress;
    /** Rejects if the peer cannot be reached. */
    readonly open: Promise<void>;
    readonly isOpen: boolean;
    readonly closed: boolean;
    /** Rejects with a `StoreError`; a call without an answer in time ends the link, which may have gone silent for good. */
    ask(call: PeerCall, timeout: number): Promise<unknown>;
    /** Sends no more; what has been sent is still delivered. */
    close(): void;
    terminate(): void;
}

interface Waiting {
    resolve(result: unknown): void;
    reject(error: StoreError): void;
}

const connectTimeout = 300;

/** Opens a link. */
export function openPeerLink(address: ListenAddress): PeerLink {
    const socket = new WebSocket(`ws://${address.host}:${address.port}`, { handshakeTimeout: connectTimeout,
        perMessageDeflate: false });
    const waiting = new Map<number, Waiting>();
    let lastId = 0;
    let closed = false;
    const open = new Promise<void>((resolve, reject) => {
        socket.once("open", resolve);
        socket.once("error", reject);
    });
    // Whoever does not wait for the link learns of its failure by `closed`.
    open.catch(() => undefined);
    socket.on("message", data => receive(unpack(data as Buffer) as PeerAnswer));
    socket.on("error", drop);
    socket.on("close", drop);

    function receive(answer: PeerAnswer): void {
        const entry = waiting.get(answer.id);
        waiting.delete(answer.id);
        if ("failure" in answer) {
            entry?.reject(new StoreError(answer.failure, answer.reason));
        }
        else {
            entry?.resolve(answer.result);
        }
    }

    function drop(): void {
        closed = true;
        waiting.forEach(entry => entry.reject(new StoreError("unknown", "the link to the peer broke")));
        waiting.clear();
    }

    function ask(call: PeerCall, timeout: number): Promise<unknown> {
        lastId += 1;
        const id = lastId;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                waiting.delete(id);
                reject(new StoreError("unknown", "the peer did not answer in time"));
                socket.terminate();
            }, timeout);
            const settle = <Value>(finish: (value: Value) => void) => (value: Value) => {
                clearTimeout(timer);
                finish(value);
            };
            waiting.set(id, { resolve: settle(resolve), reject: settle(reject) });
            socket.send(pack({ id, call } satisfies PeerRequest));
        });
    }

    return {
        address,
        open,
        get isOpen() {
            return socket.readyState === socket.OPEN;
        },
        get closed() {
            return closed;
        },
        ask,
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
