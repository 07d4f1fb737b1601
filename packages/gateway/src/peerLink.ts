import { type SocketAddress, StoreError } from "@tamarackgauge/core/gateway";
import { pack } from "msgpackr";
import { WebSocket } from "ws";
import { decodePeerAnswer, isResultOf, type PeerCall, type PeerRequest, type PeerResult } from "./peerMessage.ts";

/** A connection to another gateway. */
export interface PeerLink {
    readonly address: SocketAddress;
    /** Rejects if the peer cannot be reached. */
    readonly open: Promise<void>;
    readonly isOpen: boolean;
    readonly closed: boolean;
    /** Rejects with a `StoreError`; a call without an answer in time ends the link, which may have gone silent for good. */
    ask<const Call extends PeerCall>(call: Call, limits: AskLimits): Promise<PeerResult<Call["kind"]>>;
    /** Sends no more; what has been sent is still delivered. */
    close(): void;
    terminate(): void;
}

/** Limits of a call, in ms. */
export interface AskLimits {
    readonly timeout: number;
    /** The peer must show within this that it runs, if given: a frozen one is found sooner than a busy one is given up. */
    readonly silence?: number;
}

interface Waiting {
    readonly kind: PeerCall["kind"];
    resolve(result: unknown): void;
    reject(error: StoreError): void;
}

const connectTimeout = 300;

/** Opens a link. */
export function openPeerLink(address: SocketAddress): PeerLink {
    const socket = new WebSocket(`ws://${address.host}:${address.port}`, { handshakeTimeout: connectTimeout,
        perMessageDeflate: false });
    const waiting = new Map<number, Waiting>();
    let lastId = 0;
    let closed = false;
    let heardAt = 0;
    const open = new Promise<void>((resolve, reject) => {
        socket.once("open", resolve);
        socket.once("error", reject);
    });
    // Whoever does not wait for the link learns of its failure by `closed`.
    open.catch(() => undefined);
    socket.on("message", data => receive(data as Buffer));
    socket.on("pong", () => heardAt = performance.now());
    socket.on("error", drop);
    socket.on("close", drop);

    function receive(data: Buffer): void {
        heardAt = performance.now();
        const answer = decodePeerAnswer(data);
        const entry = answer === undefined ? undefined : waiting.get(answer.id);
        if (answer === undefined ||
            (entry !== undefined && "result" in answer && !isResultOf(entry.kind, answer.result))) {
            // What else the peer says cannot be trusted either; its calls have no answer.
            socket.terminate();
            return;
        }
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

    function giveUp(id: number, reason: string): void {
        waiting.get(id)?.reject(new StoreError("unknown", reason));
        waiting.delete(id);
        socket.terminate();
    }

    function ask<const Call extends PeerCall>(call: Call, { timeout, silence }: AskLimits) {
        lastId += 1;
        const id = lastId;
        const askedAt = performance.now();
        const timers = [setTimeout(() => giveUp(id, "the peer did not answer in time"), timeout)];
        if (silence !== undefined) {
            timers.push(setTimeout(() => socket.ping(), silence / 2));
            timers.push(setTimeout(() => heardAt < askedAt && giveUp(id, "the peer is silent"), silence));
        }
        const answer = new Promise<PeerResult<Call["kind"]>>((resolve, reject) => {
            waiting.set(id, { kind: call.kind, resolve: result => resolve(result as PeerResult<Call["kind"]>),
                reject });
        });
        socket.send(pack({ id, call } satisfies PeerRequest));
        return answer.finally(() => timers.forEach(clearTimeout));
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
