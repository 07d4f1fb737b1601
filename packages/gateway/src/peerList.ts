import { type ListenAddress, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import type { Log } from "./log.ts";

/** A gateway that has registered. */
export interface Peer {
    readonly name: string;
    readonly address: ListenAddress;
    readonly dataCentre: string;
}

/** The other gateways that are known. */
export interface PeerList extends Disposable {
    addresses(): readonly ListenAddress[];
    /** All that have registered, this one included. */
    registered(): readonly Peer[];
    /** Replaces the addresses that the settings name. */
    setSeeds(seeds: readonly ListenAddress[]): void;
}

/** Parts of a peer list. */
export interface PeerListParts {
    readonly name: string;
    readonly address: ListenAddress;
    readonly dataCentre: string;
    readonly seeds: readonly ListenAddress[];
    readonly store: Store;
    readonly log: Log;
}

/** The table in which gateways register themselves, keyed by their name. */
export const peerTable = { table: "gateways", part: "" } as const;

/** After a failure, after the first success, and from then on, in ms. Gateways that start together register meanwhile. */
const failureInterval = 1_000;
const firstInterval = 4_000;
const refreshInterval = 15_000;
const callTimeout = 1_000;

/** Registers this gateway in the store and reads which others are there. */
export function createPeerList({ name, address, dataCentre, seeds, store, log }: PeerListParts): PeerList {
    let seeded = seeds;
    let listed: readonly Peer[] = [];
    let registered = false;
    let timer = setTimeout(() => void refresh(), 0);

    async function refresh(): Promise<void> {
        try {
            const isFirst = !registered;
            if (isFirst) {
                const value = Buffer.from(pack([address.host, address.port, dataCentre]));
                await store.change({ puts: [{ ...peerTable, key: name, value }] }, { timeout: callTimeout });
                registered = true;
            }
            const { rows } = await store.read(peerTable, { timeout: callTimeout });
            listed = rows.flatMap(row => peerOf(row) ?? []);
            schedule(isFirst ? firstInterval : refreshInterval);
        }
        catch (error) {
            if (error instanceof StoreError) {
                log.info("peers.unread", { reason: error.message });
            }
            else {
                log.warn("peers.broken", { reason: (error as Error).stack ?? String(error) });
            }
            schedule(failureInterval);
        }
    }

    function schedule(delay: number): void {
        clearTimeout(timer);
        timer = setTimeout(() => void refresh(), delay);
        timer.unref();
    }

    return {
        addresses: () =>
            [...seeded, ...listed.map(peer => peer.address)]
                .filter(({ host, port }) => host !== address.host || port !== address.port),
        registered: () => listed,
        setSeeds(next) {
            seeded = next;
        },
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
