import { type ListenAddress, type Store, StoreError } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import type { Log } from "./log.ts";

/** The other gateways that are known. */
export interface PeerList extends Disposable {
    addresses(): readonly ListenAddress[];
    /** Replaces the addresses that the settings name. */
    setSeeds(seeds: readonly ListenAddress[]): void;
}

/** Parts of a peer list. */
export interface PeerListParts {
    readonly name: string;
    readonly address: ListenAddress;
    readonly seeds: readonly ListenAddress[];
    readonly store: Store;
    readonly log: Log;
}

const table = "gateways";
const part = "";
/** Until the first success, and from then on, in ms. */
const firstInterval = 1_000;
const refreshInterval = 15_000;
const callTimeout = 1_000;

/** Registers this gateway in the store and reads which others are there. */
export function createPeerList({ name, address, seeds, store, log }: PeerListParts): PeerList {
    let seeded = seeds;
    let listed: readonly ListenAddress[] = [];
    let registered = false;
    let timer = setTimeout(() => void refresh(), 0);

    async function refresh(): Promise<void> {
        try {
            if (!registered) {
                const value = Buffer.from(pack([address.host, address.port]));
                await store.change({ puts: [{ table, part, key: name, value }] }, { timeout: callTimeout });
                registered = true;
            }
            const { rows } = await store.read({ table, part }, { timeout: callTimeout });
            listed = rows.map(({ value }) => addressOf(unpack(value) as [string, number]));
            schedule(refreshInterval);
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.info("peers.unread", { reason: error.message });
            schedule(firstInterval);
        }
    }

    function schedule(delay: number): void {
        clearTimeout(timer);
        timer = setTimeout(() => void refresh(), delay);
        timer.unref();
    }

    return {
        addresses: () =>
            [...seeded, ...listed].filter(({ host, port }) => host !== address.host || port !== address.port),
        setSeeds(next) {
            seeded = next;
        },
        [Symbol.dispose]: () => clearTimeout(timer),
    };
}

function addressOf([host, port]: [string, number]): ListenAddress {
    return { host, port };
}
