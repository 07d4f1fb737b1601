import { type SocketAddress, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import type { Log } from "./log.ts";

/** A gateway that has registered. */
export interface Peer {
    readonly name: string;
    readonly address: SocketAddress;
    readonly dataCentre: string;
}

/** The other gateways that are known. */
export interface PeerList extends Disposable {
    addresses(): readonly SocketAddress[];
    /** All that have registered, this one included. */
    registered(): readonly Peer[];
    /** Replaces the addresses that the settings name. */
    setSeeds(seeds: readonly SocketAddress[]): void;
    /** Takes this gateway off the list, as it ends; resolves also if the store does not do it. */
    leave(): Promise<void>;
}

/** Times of a peer list, in ms. */
export interface PeerListTimes {
    /** To the next look after a failure, after the first look, and after each further one. */
    readonly failure: number;
    readonly first: number;
    readonly refresh: number;
    /** A gateway writes its row anew after this. */
    readonly renewal: number;
    /** A row that has not been written for this long is of a gateway that is gone. */
    readonly expiry: number;
}

/** Parts of a peer list. */
export interface PeerListParts {
    readonly name: string;
    readonly address: SocketAddress;
    readonly dataCentre: string;
    readonly seeds: readonly SocketAddress[];
    readonly store: Store;
    readonly log: Log;
    readonly now: () => number;
    readonly times?: PeerListTimes;
}

/** The table in which gateways register themselves, keyed by their name. */
export const peerTable = { table: "gateways", part: "" } as const;

/** Gateways that start together register between the first look and the second. */
const usualTimes: PeerListTimes = { failure: 1_000, first: 4_000, refresh: 15_000, renewal: 40_000, expiry: 150_000 };
const callTimeout = 1_000;
/** Looks of gateways that started together are spread by this share of the time between them. */
const spread = 0.25;
/** Rows of gone gateways that are removed after one look. */
const mostRemovals = 20;

interface Seen {
    readonly version: number;
    /** When this gateway saw the version first; clocks of VMs are not compared. */
    readonly since: number;
}

/** Registers this gateway in the store, reads which others are there and removes those that are gone. */
export function createPeerList(parts: PeerListParts): PeerList {
    const { name, address, dataCentre, seeds, store, log, now, times = usualTimes } = parts;
    let seeded = seeds;
    let listed: readonly Peer[] = [];
    let seen = new Map<string, Seen>();
    let writtenAt = -Infinity;
    let left = false;
    let timer = setTimeout(() => void refresh(), 0);

    async function refresh(): Promise<void> {
        try {
            const isFirst = writtenAt === -Infinity;
            await register();
            const rows = await readRows();
            seen = new Map(rows.map(row => [row.key, seenOf(row)]));
            // Judged once: a row that expires in between would be removed and still be listed.
            const gone = new Set(rows.filter(isGone));
            listed = rows.flatMap(row => gone.has(row) ? [] : peerOf(row) ?? []);
            await remove([...gone]);
            schedule(isFirst ? times.first : times.refresh);
        }
        catch (error) {
            if (error instanceof StoreError) {
                log.info("peers.unread", { reason: error.message });
            }
            else {
                log.warn("peers.broken", { reason: (error as Error).stack ?? String(error) });
            }
            schedule(times.failure);
        }
    }

    async function register(): Promise<void> {
        if (left || now() - writtenAt < times.renewal) {
            return;
        }
        const value = Buffer.from(pack([address.host, address.port, dataCentre]));
        await store.change({ puts: [{ ...peerTable, key: name, value }] }, { timeout: callTimeout });
        writtenAt = now();
    }

    async function readRows(): Promise<readonly StoreRow[]> {
        const rows: StoreRow[] = [];
        for (let from = "";;) {
            const page = await store.read({ ...peerTable, from }, { timeout: callTimeout });
            rows.push(...page.rows);
            if (!page.more) {
                return rows;
            }
            from = `${page.rows.at(-1)!.key}\0`;
        }
    }

    function seenOf({ key, version }: StoreRow): Seen {
        const before = seen.get(key);
        return before?.version === version ? before : { version, since: now() };
    }

    function isGone({ key }: StoreRow): boolean {
        return key !== name && now() - (seen.get(key)?.since ?? now()) > times.expiry;
    }

    /** A row that its gateway has written meanwhile keeps all of them for the next look. */
    async function remove(gone: readonly StoreRow[]): Promise<void> {
        const batch = gone.slice(0, mostRemovals);
        if (batch.length === 0) {
            return;
        }
        const names = batch.map(({ key }) => ({ ...peerTable, key }));
        const conditions = batch.map(({ key, version }) => ({ ...peerTable, key, version }));
        const { applied } = await store.change({ conditions, removals: names }, { timeout: callTimeout });
        log.info("peers.removed", { gateways: batch.map(({ key }) => key).join(), applied });
    }

    function schedule(delay: number): void {
        clearTimeout(timer);
        timer = setTimeout(() => void refresh(), delay * (1 - spread / 2 + Math.random() * spread));
        timer.unref();
    }

    async function leave(): Promise<void> {
        left = true;
        try {
            await store.change({ removals: [{ ...peerTable, key: name }] }, { timeout: callTimeout });
        }
        catch (error) {
            // The others remove the row when it has expired.
            log.info("peers.notLeft", { reason: (error as Error).message });
        }
    }

    return {
        addresses: () =>
            [...seeded, ...listed.map(peer => peer.address)]
                .filter(({ host, port }) => host !== address.host || port !== address.port),
        registered: () => listed,
        setSeeds(next) {
            seeded = next;
        },
        leave,
        [Symbol.dispose]: () => clearTimeout(timer),
    };
}

/** A row's value: host, port, data centre. */
const peerFields = z.tuple([z.string(), z.number().int().positive(), z.string()]);

/** Decodes a row; undefined if another writer left something else there. */
function peerOf({ key, value }: StoreRow): Peer | undefined {
    try {
        const [host, port, dataCentre] = peerFields.parse(unpack(value));
        return { name: key, address: { host, port }, dataCentre };
    }
    catch {
        return undefined;
    }
}
