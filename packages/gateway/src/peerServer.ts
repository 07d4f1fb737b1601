import type { StoreError } from "@tamarackgauge/core/gateway";
import { type FeedResult, type ListenAddress, type RowPage, type RowRange, type Store, type StoreChange,
    type StoreFailure, type StoreHealth } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { type WebSocket, WebSocketServer } from "ws";
import type { Log } from "./log.ts";

/** A call of the store that another gateway asks this one to make; times in milliseconds. */
export type RelayedCall =
    | { readonly id: number; readonly kind: "read"; readonly range: RowRange; readonly timeout: number; }
    | { readonly id: number; readonly kind: "change"; readonly change: StoreChange; readonly timeout: number; }
    | { readonly id: number; readonly kind: "feed"; readonly table: string; readonly after: number;
        readonly wait: number; };

/** The store's answer to a relayed call. */
export type RelayedAnswer =
    | { readonly id: number; readonly result: unknown; }
    | { readonly id: number; readonly failure: StoreFailure; readonly reason: string; };

/** Parts of a peer server. */
export interface PeerServerParts {
    readonly address: ListenAddress;
    /** The store as this gateway reaches it by itself. */
    readonly store: Store;
    readonly health: StoreHealth;
    readonly log: Log;
    readonly now: () => number;
}

/** Calls of others that one gateway makes at a time; what exceeds it is refused, so that its own calls go on. */
const mostRelayed = 48;
const mostMessageBytes = 4 * 1024 * 1024;

/** Makes calls of the store for gateways that the store turns away. */
export async function createPeerServer(parts: PeerServerParts): Promise<AsyncDisposable> {
    const { address, log } = parts;
    const server = new WebSocketServer({ host: address.host, port: address.port, maxPayload: mostMessageBytes,
        perMessageDeflate: false });
    let relayed = 0;
    await new Promise<void>((resolve, reject) => {
        server.once("listening", resolve);
        server.once("error", reject);
    });
    server.on("connection", socket => {
        socket.on("error", error => log.info("peer.failed", { reason: error.message }));
        socket.on("message", data => void serve(socket, data as Buffer));
    });

    async function serve(socket: WebSocket, data: Buffer): Promise<void> {
        const call = readCall(data);
        if (call === undefined) {
            log.warn("peer.unreadable", {});
            socket.terminate();
            return;
        }
        const answer = await run(call);
        if (socket.readyState === socket.OPEN) {
            socket.send(pack(answer));
        }
    }

    async function run(call: RelayedCall): Promise<RelayedAnswer> {
        if (parts.health.isAway(parts.now())) {
            return { id: call.id, failure: "away", reason: "the store is away here too" };
        }
        if (relayed >= mostRelayed) {
            return { id: call.id, failure: "refused", reason: "too many relayed calls" };
        }
        relayed += 1;
        try {
            return { id: call.id, result: await makeCall(parts.store, call) };
        }
        catch (error) {
            const { failure, message } = error as StoreError;
            return { id: call.id, failure: failure ?? "unknown", reason: message };
        }
        finally {
            relayed -= 1;
        }
    }

    return {
        async [Symbol.asyncDispose]() {
            server.clients.forEach(client => client.terminate());
            await new Promise(resolve => server.close(resolve));
        },
    };
}

function makeCall(store: Store, call: RelayedCall): Promise<RowPage | FeedResult | object> {
    switch (call.kind) {
        case "read":
            return store.read(call.range, { timeout: call.timeout });
        case "change":
            return store.change(call.change, { timeout: call.timeout });
        case "feed":
            return store.feed(call.table, call.after, call.wait);
    }
}

function readCall(data: Buffer): RelayedCall | undefined {
    try {
        const call = unpack(data) as RelayedCall;
        return ["read", "change", "feed"].includes(call.kind) ? call : undefined;
    }
    catch {
        return undefined;
    }
}
