import { type Member, type SocketAddress, type Store, StoreError, type StoreRow } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import type { Log } from "./log.ts";

/** A registered gateway. */
export interface Peer extends Member {
    readonly address: SocketAddress;
    readonly dataCentre: string;
}

/** Membership list of the gateways. */
export interface PeerList extends Disposable {
    /** Addresses of the other gateways, from the settings and from the store. */
    addresses(): readonly SocketAddress[];
    /** All registered gateways, including this one. */
    registered(): readonly Peer[];
    /** Replaces the addresses from the settings. */
    setSeeds(seeds: readonly SocketAddress[]): void;
    /** Removes this gateway's row at shutdown; also resolves if the store cannot be reached. */
    deregister(): Promise<void>;
}

/** Times of a peer list, in ms. */
export interface PeerListTimes {
    /** Delays before the next refresh: after a failure, after the first refresh, and after each later one. */
    readonly retryDelay: number;
    readonly secondRefreshDelay: number;
    readonly refreshInterval: number;
    /** How often a gateway rewrites its row. */
    readonly renewalInterval: number;
    /** A gateway whose row has not been rewritten for this long is considered gone. */
    readonly expiry: number;
    /** Time after which every gateway that reaches the store has read the list anew. */
    readonly settling: number;
}

/** Parts of a peer list. */
export interface PeerListParts {
    readonly name: string;
    readonly address: SocketAddress;
    readonly dataCentre: string;
    /** Processor capacity of this VM, in cores. */
    readonly cores: number;
    readonly seeds: readonly SocketAddress[];
    readonly store: Store;
    /** Called with the registered gateways and the store's clock each time that they have been read. */
    readonly onRead?: (peers: readonly Peer[], storeTime: number | undefined) => void;
    readonly log: Log;
    readonly now: () => number;
    readonly times?: PeerListTimes;
}

/** The table in which gateways register themselves, keyed by their name. */
export const peerTable = { table: "gateways", part: "" } as const;

/** Times of a gateway. The second refresh follows soon after the first, because gateways that start together register in between. */
export const defaultPeerListTimes: PeerListTimes = { retryDelay: 1_000, secondRefreshDelay: 4_000,
    refreshInterval: 15_000, renewalInterval: 40_000, expiry: 150_000, settling: 20_000 };
const callTimeoutMs = 1_000;
/** Jitter as a share of the delay; it spreads the refreshes of gateways that started together. */
const refreshJitter = 0.25;
/** Maximum number of expired rows removed per refresh. */
const maxRemovals = 20;

interface ObservedVersion {
    readonly version: number;
    /** When this gateway first saw the version, by its own clock: the clocks of VMs are not compared. */
    readonly firstSeenAt: number;
}

/** Registers this gateway in the store, reads the registrations of the others and removes expired ones. */
export function createPeerList(parts: PeerListParts): PeerList {
    const { name, address, dataCentre, cores, seeds, store, log, now, times = defaultPeerListTimes } = parts;
    let currentSeeds = seeds;
    let knownPeers: readonly Peer[] = [];
    let observed = new Map<string, ObservedVersion>();
    let registeredAt = -Infinity;
    /** When this gateway first registered, by the store's clock; kept while its row is there. */
    let memberSince: number | undefined;
    /** Whether the row was missing when the list was last read, as the others took this gateway for gone. */
    let isAbsent = false;
    let deregistered = false;
    let timer = setTimeout(() => void refresh(), 0);

    async function refresh(): Promise<void> {
        try {
            const isFirst = registeredAt === -Infinity;
            if (isFirst || isAbsent) {
                const { rows: earlier, time } = await readRows();
                // The others are known from now on, also if the registration fails.
                knownPeers = earlier.flatMap(row => decodePeer(row) ?? []);
                memberSince = knownPeers.find(peer => peer.name === name)?.registeredAt ?? time;
            }
            await register();
            const { rows, time } = await readRows();
            isAbsent = !deregistered && !rows.some(({ key }) => key === name);
            observed = new Map(rows.map(row => [row.key, observe(row)]));
            // Evaluated once: a row that expires between two checks would be removed and still be listed.
            const expired = new Set(rows.filter(isExpired));
            knownPeers = rows.flatMap(row => expired.has(row) ? [] : decodePeer(row) ?? []);
            parts.onRead?.(knownPeers, time);
            await removeRows([...expired]);
            schedule(isFirst ? times.secondRefreshDelay : times.refreshInterval);
        }
        catch (error) {
            if (error instanceof StoreError) {
                log.info("peers.unread", { reason: error.message });
            }
            else {
                log.warn("peers.broken", { reason: (error as Error).stack ?? String(error) });
            }
            schedule(times.retryDelay);
        }
    }

    async function register(): Promise<void> {
        if (deregistered || (!isAbsent && now() - registeredAt < times.renewalInterval)) {
            return;
        }
        const value = Buffer.from(pack([address.host, address.port, dataCentre, memberSince ?? null, cores]));
        await store.change({ puts: [{ ...peerTable, key: name, value }] }, { timeout: callTimeoutMs });
        registeredAt = now();
    }

    async function readRows(): Promise<{ readonly rows: readonly StoreRow[]; readonly time: number | undefined; }> {
        const rows: StoreRow[] = [];
        for (let from = "";;) {
            const page = await store.read({ ...peerTable, from }, { timeout: callTimeoutMs });
            rows.push(...page.rows);
            if (!page.more) {
                return { rows, time: page.time };
            }
            from = `${page.rows.at(-1)!.key}\0`;
        }
    }

    function observe({ key, version }: StoreRow): ObservedVersion {
        const before = observed.get(key);
        return before?.version === version ? before : { version, firstSeenAt: now() };
    }

    function isExpired({ key }: StoreRow): boolean {
        return key !== name && now() - (observed.get(key)?.firstSeenAt ?? now()) > times.expiry;
    }

    /** If a gateway has rewritten one of the rows meanwhile, none is removed until the next refresh. */
    async function removeRows(expired: readonly StoreRow[]): Promise<void> {
        const batch = expired.slice(0, maxRemovals);
        if (batch.length === 0) {
            return;
        }
        const names = batch.map(({ key }) => ({ ...peerTable, key }));
        const conditions = batch.map(({ key, version }) => ({ ...peerTable, key, version }));
        const { applied } = await store.change({ conditions, removals: names }, { timeout: callTimeoutMs });
        log.info("peers.removed", { gateways: batch.map(({ key }) => key).join(), applied });
    }

    function schedule(delay: number): void {
        clearTimeout(timer);
        timer = setTimeout(() => void refresh(), delay * (1 - refreshJitter / 2 + Math.random() * refreshJitter));
        timer.unref();
    }

    async function deregister(): Promise<void> {
        deregistered = true;
        try {
            await store.change({ removals: [{ ...peerTable, key: name }] }, { timeout: callTimeoutMs });
        }
        catch (error) {
            // The other gateways remove the row when it has expired.
            log.info("peers.notLeft", { reason: (error as Error).message });
        }
    }

    return {
        addresses: () =>
            [...currentSeeds, ...knownPeers.map(peer => peer.address)]
                .filter(({ host, port }) => host !== address.host || port !== address.port),
        registered: () => knownPeers,
        setSeeds(next) {
            currentSeeds = next;
        },
        deregister,
        [Symbol.dispose]: () => clearTimeout(timer),
    };
}

/** Processor capacity that is assumed of a gateway whose row does not say. */
const defaultCores = 1;
/** Host, port and data centre: all that the rows of earlier versions hold. */
const addressSchema = [z.string(), z.number().int().positive(), z.string()] as const;
/** Value of a row: the address, when the gateway first registered, and the cores of its VM. */
const peerRowSchema = z.union([
    z.tuple([...addressSchema, z.number().nullable(), z.number().positive()]),
    z.tuple(addressSchema),
]);

/** Decodes a row; undefined if its value is malformed. */
function decodePeer({ key, value }: StoreRow): Peer | undefined {
    try {
        const [host, port, dataCentre, registeredAt, cores] = peerRowSchema.parse(unpack(value));
        return { name: key, address: { host, port }, dataCentre, registeredAt: registeredAt ?? undefined,
            cores: cores ?? defaultCores };
    }
    catch {
        return undefined;
    }
}
