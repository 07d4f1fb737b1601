import { type ChangeResult, type FeedResult, type ListenAddress, type RowPage, type Store,
    StoreError } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { WebSocket } from "ws";
import type { RelayedAnswer, RelayedCall } from "./peerServer.ts";

/** The store as other gateways reach it. */
export interface PeerStore extends Store, AsyncDisposable {
    /** False for a while after no peer had a way to the store. */
    mayTry(): boolean;
    /** A peer had a way to the store when one was asked last. */
    hasWay(): boolean;
}

/** Parts of a peer store. */
export interface PeerStoreParts {
    /** Addresses of other gateways, in any order; they may be out of date. */
    readonly peers: () => readonly ListenAddress[];
    readonly now: () => number;
}

type Ask = RelayedCall extends infer Call ? Call extends RelayedCall ? Omit<Call, "id"> : never : never;

interface Link {
    readonly address: ListenAddress;
    readonly socket: WebSocket;
    readonly open: Promise<void>;
    readonly waiting: Map<number, { resolve(result: unknown): void; reject(error: StoreError): void; }>;
}

const connectTimeout = 300;
const mostTries = 3;
/** A peer that had no way to the store is not asked again for this long, and all peers if none had one; in ms. */
const peerRest = 1_000;
const allRest = 500;
/** A peer's answer takes this much longer than the store's, in ms. */
const relayMargin = 100;

/** Creates a store that asks other gateways to make its calls. */
export function createPeerStore({ peers, now }: PeerStoreParts): PeerStore {
    const restingUntil = new Map<string, number>();
    let unusableUntil = -Infinity;
    let way = false;
    let link: Link | undefined;
    let lastId = 0;

    async function ask<Result>(call: Ask, timeout: number): Promise<Result> {
        for (let tries = 1; tries <= mostTries; tries += 1) {
            const current = await connect();
            if (current === undefined) {
                break;
            }
            try {
                const result = await exchange(current, call, timeout) as Result;
                way = true;
                return result;
            }
            catch (error) {
                const { failure } = error as StoreError;
                if (failure !== "away") {
                    throw error;
                }
                rest(current);
            }
        }
        way = false;
        unusableUntil = now() + allRest;
        throw new StoreError("away", "no other gateway reaches the store");
    }

    async function connect(): Promise<Link | undefined> {
        for (let tries = 1; tries <= mostTries; tries += 1) {
            link ??= nextLink();
            if (link === undefined) {
                return undefined;
            }
            const current = link;
            try {
                await current.open;
                return current;
            }
            catch {
                // The peer is gone or cut off; another one is asked.
                rest(current);
            }
        }
        return undefined;
    }

    function nextLink(): Link | undefined {
        const usable = peers().filter(address => (restingUntil.get(keyOf(address)) ?? -Infinity) <= now());
        const address = usable[Math.floor(Math.random() * usable.length)];
        return address === undefined ? undefined : openLink(address);
    }

    function openLink(address: ListenAddress): Link {
        const socket = new WebSocket(`ws://${address.host}:${address.port}`, { handshakeTimeout: connectTimeout,
            perMessageDeflate: false });
        const waiting: Link["waiting"] = new Map();
        const open = new Promise<void>((resolve, reject) => {
            socket.once("open", resolve);
            socket.once("error", reject);
        });
        const opened: Link = { address, socket, open, waiting };
        socket.on("message", data => receive(opened, unpack(data as Buffer) as RelayedAnswer));
        socket.on("error", () => drop(opened));
        socket.on("close", () => drop(opened));
        return opened;
    }

    function receive({ waiting }: Link, answer: RelayedAnswer): void {
        const entry = waiting.get(answer.id);
        waiting.delete(answer.id);
        if ("failure" in answer) {
            entry?.reject(new StoreError(answer.failure, answer.reason));
        }
        else {
            entry?.resolve(answer.result);
        }
    }

    function drop(dropped: Link): void {
        if (link === dropped) {
            link = undefined;
        }
        dropped.waiting.forEach(entry => entry.reject(new StoreError("unknown", "the link to the peer broke")));
        dropped.waiting.clear();
    }

    function rest(resting: Link): void {
        restingUntil.set(keyOf(resting.address), now() + peerRest);
        if (link === resting) {
            link = undefined;
        }
        resting.socket.close();
    }

    function exchange({ socket, waiting }: Link, call: Ask, timeout: number): Promise<unknown> {
        lastId += 1;
        const id = lastId;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                waiting.delete(id);
                reject(new StoreError("unknown", "the peer did not answer in time"));
                // A link can go silent for good, so none is used after a call without an answer.
                socket.terminate();
            }, timeout + relayMargin);
            const settle = <Value>(finish: (value: Value) => void) => (value: Value) => {
                clearTimeout(timer);
                finish(value);
            };
            waiting.set(id, { resolve: settle(resolve), reject: settle(reject) });
            socket.send(pack({ ...call, id }));
        });
    }

    return {
        read: (range, { timeout }) => ask<RowPage>({ kind: "read", range, timeout }, timeout),
        change: (change, { timeout }) => ask<ChangeResult>({ kind: "change", change, timeout }, timeout),
        feed: (table, after, wait) => ask<FeedResult>({ kind: "feed", table, after, wait }, wait + relayMargin * 8),
        mayTry: () => now() >= unusableUntil,
        hasWay: () => way,
        async [Symbol.asyncDispose]() {
            link?.socket.terminate();
        },
    };
}

function keyOf({ host, port }: ListenAddress): string {
    return `${host}:${port}`;
}
