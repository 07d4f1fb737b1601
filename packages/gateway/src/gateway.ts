import { createStoreHealth, type Declaration, type GatewaySettings, type RowRange, type SocketAddress, type Store,
    type StoreRow, type UpstreamEntry } from "@tamarackgauge/core/gateway";
import { declarationRow, decodeDeclaration, decodeUpstream, readinessPath,
    upstreamTable } from "@tamarackgauge/platform";
import { randomBytes } from "node:crypto";
import { createServer, type Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { budgetTable } from "./budgetRow.ts";
import { createBudgets } from "./budgets.ts";
import { type CallerServer, openCallerServer } from "./callerServer.ts";
import { createCleaner } from "./cleaner.ts";
import { createFrontend } from "./front.ts";
import type { MemoryLimits } from "./limits.ts";
import { listen } from "./listen.ts";
import type { Log } from "./log.ts";
import { createMetrics, type Metrics } from "./metrics.ts";
import { createPeerContacts } from "./peerContacts.ts";
import { createPeerList, type PeerList, peerTable } from "./peerList.ts";
import { createPeerServer } from "./peerServer.ts";
import { createPeerStore } from "./peerStore.ts";
import { createRoutedStore } from "./routedStore.ts";
import { createSharedBudgets } from "./sharedBudgets.ts";
import type { StoreOutage } from "./turnPreparation.ts";
import { turnTable } from "./turnRow.ts";
import { createTurns } from "./turns.ts";
import { createUpstreams } from "./upstreams.ts";
import { watchTable } from "./watch.ts";

/** A running gateway. */
export interface Gateway extends AsyncDisposable {
    /** Stops accepting calls, lets running calls finish, and resolves when the process may exit. */
    shutDown(): Promise<void>;
    /** Applies the settings that may change at run time. */
    reload(settings: GatewaySettings): void;
}

/** Parts of a gateway. */
export interface GatewayParts {
    readonly settings: GatewaySettings;
    readonly limits: MemoryLimits;
    /** Direct connection to the store, not through a peer. */
    readonly store: Store;
    /** The server for callers if it already listens. */
    readonly callerServer?: CallerServer;
    readonly log: Log;
    readonly now: () => number;
}

/** Time until the load balancer sends no new connections: it polls readiness once a second and needs two failures. */
const balancerRemovalMs = 2_300;
/** Calls that still run this long before the platform kills the process are abandoned. */
const exitMarginMs = 400;
/** Maximum time for the last answers and the last calls of the store before the process ends. */
const maxFinalWritesMs = 300;
/** The gateway stays ready during store outages up to this long. */
const maxReadyOutageMs = 700;
const summaryIntervalMs = 10_000;

/** Number of parts that probes read. These parts contain no rows, so that answers are small. */
const probePartCount = 512;

function probeRange(): RowRange {
    return { table: peerTable.table, part: String(Math.floor(Math.random() * probePartCount)), limit: 1 };
}

/** Starts a gateway. Any gateway can serve any call, because all durable state is in the store. */
export async function createGateway(parts: GatewayParts): Promise<Gateway> {
    const { settings, limits, store: direct, log, now } = parts;
    const callerServer = parts.callerServer ?? await openCallerServer(settings.callerAddress);
    const health = createStoreHealth();
    const metrics = createMetrics();
    const peerStore = createPeerStore({ peers: () => peerList?.addresses() ?? [], now });
    const store = createRoutedStore({ direct, peers: peerStore, health, metrics, log, now, probeRange });
    const peerList: PeerList | undefined = settings.peerAddress === undefined
        ? undefined
        : createPeerList({ name: settings.name, address: settings.peerAddress, dataCentre: settings.dataCentre,
            seeds: settings.knownPeers, store, log, now });
    let declaration: Declaration | undefined;
    let upstreamsKnown = false;
    let resolveInitialized: () => void;
    const initialized = new Promise<void>(resolve => {
        resolveInitialized = resolve;
    });
    let stopping = false;
    const upstreams = createUpstreams({ declaration: () => declaration,
        gateways: () => peerList?.registered().length ?? 1, limits, now });
    const contacts = createPeerContacts({ log, now });
    const budgets = createSharedBudgets({ ownBudgets: () => ownBudgets, settings,
        peers: () => peerList?.registered() ?? [], contacts, metrics, log });
    const ownBudgets = createBudgets({ store, holder: `${settings.name}/${randomBytes(4).toString("hex")}`,
        recallFrom: budgets.recallFrom, log, now });
    const turns = createTurns({ store, maxRowBytes: settings.maxRowBytes, longestRetention, metrics, log, now });
    const cleaner = createCleaner({ store, tables: [turnTable, budgetTable], log });
    const storeOutage: StoreOutage = { age: () => store.unavailableFor(), isIsolated: () => store.isIsolated(),
        ended: (maxMs, signal) => store.whenReachable(maxMs, signal) };
    const pause = (maxMs: number) => store.pause(maxMs);
    const frontend = createFrontend({ callerServer, limits, upstreams, declaration: () => declaration, budgets, turns,
        storeOutage, initialized, log, metrics, now, dataCentre: settings.dataCentre,
        declarationAge: () => declarationWatch.age() });
    const declarationWatch = watchTable({ store, log, now, pause, ...declarationRow, onChange: applyDeclaration });
    const upstreamWatch = watchTable({ store, log, now, pause, ...upstreamTable, onChange: applyUpstreamRows });
    const peerServer = settings.peerAddress === undefined
        ? undefined
        : await createPeerServer({ address: settings.peerAddress, store: direct, health, lender: ownBudgets, log,
            now });
    const readiness = createServer((request, response) => {
        const path = (request.url ?? "").split("?")[0];
        response.writeHead(path !== readinessPath ? 404 : isReady() ? 200 : 503, { "content-length": 0 }).end();
    });
    await listen(readiness, settings.readinessAddress);
    const metricsServer = settings.metricsAddress === undefined
        ? undefined
        : serveMetrics(settings.metricsAddress, metrics, log);
    const summaryTimer = setInterval(() => void logSummary(), summaryIntervalMs);
    log.info("gateway.started", { dataCentre: settings.dataCentre });

    function longestRetention(): number {
        return Math.max(0, ...declaration?.routes.map(({ retention }) => retention ?? 0) ?? []);
    }

    function applyDeclaration(rows: ReadonlyMap<string, StoreRow>): void {
        const row = rows.get(declarationRow.key);
        if (row === undefined) {
            return;
        }
        try {
            const next = decodeDeclaration(row.value);
            if (declaration !== undefined && next.version <= declaration.version) {
                return;
            }
            declaration = next;
            frontend.setDeclaration(next);
            applyUpstreamRows(latestUpstreamRows);
            log.info("declaration.taken", { version: next.version });
        }
        catch (error) {
            log.warn("declaration.unreadable", { reason: (error as Error).message });
        }
    }

    let latestUpstreamRows: ReadonlyMap<string, StoreRow> = new Map();
    function applyUpstreamRows(rows: ReadonlyMap<string, StoreRow>): void {
        latestUpstreamRows = rows;
        // The number of connections to an upstream depends on its service, which the declaration defines.
        if (declaration === undefined) {
            return;
        }
        const entries = decodeUpstreams(rows);
        upstreams.replace(entries);
        if (entries.length > 0) {
            upstreamsKnown = true;
            resolveInitialized();
        }
    }

    /** Ids of the rows that cannot be decoded, each of which is logged once. */
    let unreadableUpstreams: ReadonlySet<string> = new Set();
    function decodeUpstreams(rows: ReadonlyMap<string, StoreRow>): readonly UpstreamEntry[] {
        const decoded = [...rows].map(([id, row]) => ({ id, entry: decodeUpstream(id, row.value) }));
        const unreadable = decoded.filter(({ entry }) => entry === undefined).map(({ id }) => id);
        unreadable.filter(id => !unreadableUpstreams.has(id)).forEach(id => log.warn("upstream.unreadable", { id }));
        unreadableUpstreams = new Set(unreadable);
        return decoded.flatMap(({ entry }) => entry ?? []);
    }

    async function logSummary(): Promise<void> {
        log.info("gateway.summary", { active: frontend.activeCalls(), upstreams: upstreams.count(),
            ...upstreams.summary(), ...await metrics.summary() });
    }

    /** While the store cannot be reached, the gateway is not ready, so that callers are sent to other gateways. */
    function isReady(): boolean {
        return !stopping && declaration !== undefined && upstreamsKnown && store.unavailableFor() <= maxReadyOutageMs;
    }

    async function shutDown(): Promise<void> {
        const startedAt = now();
        stopping = true;
        ownBudgets.stopLending();
        log.info("gateway.stopping", { active: frontend.activeCalls() });
        frontend.disableKeepAlive();
        await sleep(balancerRemovalMs);
        const deadline = startedAt + settings.shutdownGrace - exitMarginMs;
        const drained = frontend.drain(deadline);
        await Promise.race([drained, sleep(deadline - now())]);
        frontend.interrupt();
        await Promise.race([
            Promise.all([drained, ownBudgets.flush(), peerList?.deregister()]),
            sleep(maxFinalWritesMs),
        ]);
        log.info("gateway.stopped", { active: frontend.activeCalls() });
    }

    return {
        shutDown,
        reload(next) {
            peerList?.setSeeds(next.knownPeers);
            log.info("settings.reloaded", { seeds: next.knownPeers.length });
        },
        async [Symbol.asyncDispose]() {
            readiness.close();
            metricsServer?.close();
            clearInterval(summaryTimer);
            store[Symbol.dispose]();
            cleaner[Symbol.dispose]();
            turns[Symbol.dispose]();
            contacts[Symbol.dispose]();
            ownBudgets[Symbol.dispose]();
            peerList?.[Symbol.dispose]();
            const parts = [frontend, declarationWatch, upstreamWatch, upstreams, peerStore,
                ...peerServer === undefined ? [] : [peerServer]];
            await Promise.all(parts.map(part => part[Symbol.asyncDispose]()));
        },
    };
}

/** Serves the metrics. Calls are served without them too, so an address that is in use is only logged. */
function serveMetrics(address: SocketAddress, metrics: Metrics, log: Log): Server {
    const server = createServer((_, response) => {
        void metrics.text().then(text =>
            response.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(text)
        );
    });
    listen(server, address).catch((error: Error) => log.warn("metrics.unavailable", { reason: error.message }));
    return server;
}
