import { callerCapacityOf, createStoreHealth, type GatewaySettings, MembershipHistory, RecentPrograms, type RowRange,
    type SocketAddress, type Store } from "@tamarackgauge/core/gateway";
import { declarationRow, upstreamTable } from "@tamarackgauge/platform";
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createAuthorities } from "./authorities.ts";
import { budgetTable } from "./budgetRow.ts";
import { createBudgets } from "./budgets.ts";
import { type CallerServer, openCallerServer } from "./callerServer.ts";
import { createCatalog } from "./catalog.ts";
import { createCleaner } from "./cleaner.ts";
import type { DirectConnector } from "./directConnection.ts";
import { createDispatch } from "./dispatch.ts";
import { createDispatcher } from "./dispatcher.ts";
import { createDisposal, type Disposal } from "./disposal.ts";
import { createFrontend } from "./front.ts";
import { retireLeavingUpstream } from "./leavingUpstream.ts";
import { limitConnections } from "./limitConnections.ts";
import type { MemoryLimits } from "./limits.ts";
import { listen } from "./listen.ts";
import type { Log } from "./log.ts";
import { createMetrics, type Metrics } from "./metrics.ts";
import { createPeerContacts } from "./peerContacts.ts";
import { createPeerList, defaultPeerListTimes, type Peer, type PeerList, type PeerListTimes,
    peerTable } from "./peerList.ts";
import { createPeerServer } from "./peerServer.ts";
import { createPeerStore } from "./peerStore.ts";
import { createPermits } from "./permits.ts";
import { createQuotas } from "./quotas.ts";
import { createRateLimits } from "./rateLimits.ts";
import { openReadinessServer } from "./readinessServer.ts";
import type { UpstreamKnowledge } from "./relayMessage.ts";
import { createRelays } from "./relays.ts";
import { createRelayServer, relayCapacity } from "./relayServer.ts";
import { createRoutedStore } from "./routedStore.ts";
import { createSharedBudgets } from "./sharedBudgets.ts";
import type { StoreOutage } from "./turnPreparation.ts";
import { turnTable } from "./turnRow.ts";
import { createTurns } from "./turns.ts";
import { createUpstreamPaths, type UpstreamPaths } from "./upstreamPaths.ts";
import { createUpstreams, type Upstreams } from "./upstreams.ts";
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
    readonly peerListTimes?: PeerListTimes;
    /** Opens the gateway's own connections to upstreams. */
    readonly connect?: DirectConnector;
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
/**
 * Each upstream rewrites its row every 1.2 s, so with dozens of them a feed would end, and a new one start, dozens of times
 * a second. A change is known later by half of this time on average.
 */
const upstreamFeedIntervalMs = 400;
/** Maximum number of connections to the readiness port, and to that of the metrics. */
const maxSideConnections = 256;

/** Number of parts that probes read. These parts contain no rows, so that answers are small. */
const probePartCount = 512;

function probeRange(): RowRange {
    return { table: peerTable.table, part: String(Math.floor(Math.random() * probePartCount)), limit: 1 };
}

/** Starts a gateway. Any gateway can serve any call, because all durable state is in the store. */
export async function createGateway(parts: GatewayParts): Promise<Gateway> {
    const { settings, log } = parts;
    const callerServer = parts.callerServer ??
        await openCallerServer(() => settings.callerAddress, log,
            callerCapacityOf(settings.memoryBytes, settings.maxDescriptors));
    const disposal = createDisposal();
    try {
        return await startGateway({ ...parts, callerServer }, disposal);
    }
    catch (error) {
        await disposal[Symbol.asyncDispose]();
        throw error;
    }
}

/**
 * Starts the parts: first the state, then the watches that change it, then the ports, readiness last. Nothing is awaited
 * until all state is there, as rows and calls may come from then on. The parts end in reverse order.
 */
async function startGateway(parts: GatewayParts & { readonly callerServer: CallerServer; },
    disposal: Disposal): Promise<Gateway> {
    const { settings, limits, store: direct, callerServer, log, now } = parts;
    let stopping = false;
    const health = createStoreHealth();
    const metrics = createMetrics({ limitedUpstreams: () => upstreams.limited(),
        waitingCalls: () => dispatcher.waitingCalls() });
    const catalog = createCatalog({ log, onDeclaration: next => frontend.setDeclaration(next), onUpstreams(entries) {
        upstreams.replace(entries);
        dispatcher.setUpstreams(entries);
    } });
    const dispatcher = disposal.own(
        createDispatcher({ declaration: catalog.declaration, metrics, log, now, random: Math.random }),
    );
    const peerStore = disposal.own(createPeerStore({ peers: () => peerList?.addresses() ?? [], now }));
    const store = disposal.own(createRoutedStore({ direct, peers: peerStore, health, metrics, log, now, probeRange }));
    const peerListTimes = parts.peerListTimes ?? defaultPeerListTimes;
    const memberships = new MembershipHistory(settings.name, peerListTimes.settling);
    const peerList: PeerList | undefined = settings.peerAddress === undefined
        ? undefined
        : disposal.own(
            createPeerList({ name: settings.name, address: settings.peerAddress, dataCentre: settings.dataCentre,
                cores: settings.processorCores, seeds: settings.knownPeers, store, onRead: recordPeers, log, now,
                times: peerListTimes }),
        );
    const contacts = disposal.own(createPeerContacts({ log, now }));
    const relays = settings.peerAddress === undefined
        ? undefined
        : createRelays({ name: settings.name, dataCentre: settings.dataCentre,
            peers: () => peerList?.registered() ?? [], isBackingOff: peer => contacts.isBackingOff(peer),
            onKnowledge: learnFromRelay, random: Math.random, now });
    const paths: UpstreamPaths = disposal.own(
        createUpstreamPaths({ relays, targets: () => upstreams.targets(), connect: parts.connect, metrics, log, now,
            random: Math.random }),
    );
    const upstreams: Upstreams = disposal.own(
        createUpstreams({ declaration: catalog.declaration, gateways: () => peerList?.registered().length ?? 1, limits,
            paths, now }),
    );
    const authorities = createAuthorities({ name: settings.name, hasPeers: settings.peerAddress !== undefined,
        settlingTime: peerListTimes.settling, contacts, now });
    const permits = createPermits({ name: settings.name, hasPeers: settings.peerAddress !== undefined,
        peers: () => peerList?.registered() ?? [], contacts,
        shareOf: (upstream, time) => memberships.shareOf(upstream, time), metrics, now });
    const quotas = settings.quota === undefined
        ? undefined
        : disposal.own(
            createQuotas({ settings: settings.quota, version: () => catalog.declaration()?.version ?? 0,
                issuer: randomBytes(4).readUInt32LE(), metrics, log, now, schedule,
                ranking: { ...authorities, noteSignOfLife: peer => contacts.noteSignOfLife(peer.name) } }),
        );
    const dispatch = createDispatch({ authorities, contacts, session: dispatcher.open(),
        declaration: catalog.declaration, metrics, log, now, random: Math.random });
    const rateLimits = createRateLimits({ permits, metrics, log, now });
    const budgets = createSharedBudgets({ ownBudgets: () => ownBudgets, settings,
        peers: () => peerList?.registered() ?? [], contacts, metrics, log, now });
    const ownBudgets = disposal.own(
        createBudgets({ store, holder: `${settings.name}/${randomBytes(4).toString("hex")}`,
            recallFrom: budgets.recallFrom, log, now }),
    );
    const turns = disposal.own(
        createTurns({ store, maxRowBytes: settings.maxRowBytes, longestRetention, metrics, log, now }),
    );
    disposal.own(createCleaner({ store, tables: [turnTable, budgetTable], log }));
    const storeOutage: StoreOutage = { age: () => store.unavailableFor(), isIsolated: () => store.isIsolated(),
        ended: (maxMs, signal) => store.whenReachable(maxMs, signal) };
    const frontend = disposal.own(
        createFrontend({ callerServer, limits, upstreams, rateLimits, dispatch, recentPrograms: new RecentPrograms(),
            declaration: catalog.declaration, budgets, quotas, turns, storeOutage, initialized: catalog.initialized,
            log, metrics, now, dataCentre: settings.dataCentre, declarationAge: () => declarationWatch.age(),
            maxKeyAge: settings.maxKeyAge ?? Infinity }),
    );
    const pause = (maxMs: number) => store.pause(maxMs);
    const declarationWatch = disposal.own(
        watchTable({ store, log, now, pause, ...declarationRow, onChange: catalog.applyDeclaration }),
    );
    disposal.own(
        watchTable({ store, log, now, pause, ...upstreamTable, minFeedInterval: upstreamFeedIntervalMs,
            onChange: catalog.applyUpstreams }),
    );
    const summaryTimer = setInterval(() => void logSummary(), summaryIntervalMs);
    disposal.defer(() => clearInterval(summaryTimer));
    if (settings.metricsAddress !== undefined) {
        disposal.own(serveMetrics(settings.metricsAddress, metrics, log));
    }
    const relayServer = createRelayServer({ findTarget: id => upstreams.findTarget(id),
        isCutOff: () => paths.isCutOff(), openDirectly: (target, timeoutMs) => paths.openDirectly(target, timeoutMs),
        maxConnections: relayCapacity(settings.memoryBytes, settings.maxDescriptors), metrics, log });
    if (settings.peerAddress !== undefined) {
        disposal.own(
            createPeerServer({ address: settings.peerAddress, store: direct, health, lender: ownBudgets,
                permitIssuer: permits, quotaServer: quotas, dispatcher, relayServer, log, now }),
        );
        // Before the server, which waits for the connections that it has accepted.
        disposal.own(relayServer);
    }
    disposal.own(
        await openReadinessServer({ address: () => settings.readinessAddress, isReady,
            maxConnections: maxSideConnections, log }),
    );
    log.info("gateway.started", { dataCentre: settings.dataCentre });

    function recordPeers(peers: readonly Peer[], storeTime: number | undefined): void {
        memberships.record(peers.map(peer => peer.name), now());
        authorities.record(peers, storeTime);
    }

    /** Takes over what another gateway knows of an upstream. */
    function learnFromRelay(id: string, { isLeaving, requestsPerSecond }: UpstreamKnowledge): void {
        const upstream = upstreams.find(id);
        if (upstream === undefined) {
            return;
        }
        if (isLeaving) {
            retireLeavingUpstream({ upstreams, metrics, log }, upstream, "relay");
        }
        if (requestsPerSecond !== undefined) {
            rateLimits.observe(upstream.state, { statement: { kind: "limited", requestsPerSecond }, sentAt: now(),
                call: "relay" });
        }
    }

    function longestRetention(): number {
        return Math.max(0, ...catalog.declaration()?.routes.map(({ retention }) => retention ?? 0) ?? []);
    }

    async function logSummary(): Promise<void> {
        dispatcher.logSummary();
        log.info("gateway.summary", { active: frontend.activeCalls(), upstreams: upstreams.count(),
            ...upstreams.summary(), ...await metrics.summary() });
    }

    /** While the store cannot be reached, the gateway is not ready, so that callers are sent to other gateways. */
    function isReady(): boolean {
        return !stopping && catalog.isInitialized() && store.unavailableFor() <= maxReadyOutageMs;
    }

    async function shutDown(): Promise<void> {
        const startedAt = now();
        stopping = true;
        ownBudgets.stopLending();
        log.info("gateway.stopping", { active: frontend.activeCalls() });
        frontend.disableKeepAlive();
        const relaysDrained = relayServer.drain();
        await sleep(balancerRemovalMs);
        const deadline = startedAt + settings.shutdownGrace - exitMarginMs;
        const drained = Promise.all([frontend.drain(deadline), relaysDrained]);
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
        [Symbol.asyncDispose]: () => disposal[Symbol.asyncDispose](),
    };
}

function schedule(action: () => void, ms: number): Disposable {
    const timer = setTimeout(action, ms);
    timer.unref();
    return { [Symbol.dispose]: () => clearTimeout(timer) };
}

/** Serves the metrics. Calls are served without them too, so an address that is in use is only logged. */
function serveMetrics(address: SocketAddress, metrics: Metrics, log: Log): Disposable {
    const server = createServer((_, response) => {
        void metrics.text().then(text =>
            response.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(text)
        );
    });
    limitConnections(server, maxSideConnections);
    const stopped = new AbortController();
    listen(server, () => address, log, stopped.signal)
        .catch((error: Error) => log.warn("metrics.unavailable", { reason: error.message }));
    return { [Symbol.dispose]() {
        stopped.abort();
        server.close();
    } };
}
