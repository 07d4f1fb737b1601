import type { AnswerEvent, Call, Clock, Heartbeat, Random } from "@tamarackgauge/core";
import createDebug from "debug";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { accept, type Credentials, dial, endpointPath, limitHandshakeBytes, maxHandshakeBytes } from "./connect.ts";
import { applyEvent, createPeerState, isPrimaryDialer, isReplaced, linksOf, type Member, type PeerEvent, type PeerState,
    preferredLink, reconnectDelayMs, shouldDial } from "./directory.ts";
import { type GossipRound, mergeVersions, nextTargets, noKnownVersions } from "./gossip.ts";
import type { Identity } from "./handshake.ts";
import type { KnownVersions } from "./heartbeat.ts";
import { createLink, type Link, type LinkHandlers } from "./link.ts";
import type { QueryHandler } from "./queries.ts";
import { describeReason, LinkError } from "./reason.ts";
import type { CallHandler } from "./serving.ts";
import { defaultPeerSettings, type PeerSettings } from "./setting.ts";
import { createTrafficMeter, type Traffic } from "./traffic.ts";

export type { Member } from "./directory.ts";

const log = createDebug("tamarackgauge:peer");

/** The links of this daemon to all other daemons. */
export interface Peers extends AsyncDisposable {
    /** The port on which this daemon listens for peers. */
    readonly port: number;
    /** Replaces the member list. An entry for this daemon itself is ignored. */
    setMembers(members: readonly Member[]): void;
    /**
     * Makes a call to a peer. Nothing is sent before the iteration starts; ending the iteration early cancels the call.
     * Throws LinkError if the link fails, and the reason of `signal` if it is aborted.
     */
    call(peer: string, call: Call, signal: AbortSignal): AsyncIterable<AnswerEvent>;
    /** Sends a query to a peer and returns its response. Rejects with LinkError or QueryError. */
    query(peer: string, name: string, body: unknown, timeoutMs: number): Promise<unknown>;
    links(): readonly LinkStatus[];
    /** Milliseconds since the last heartbeat of each peer, for peers that have sent one. */
    heartbeatAges(): Readonly<Record<string, number>>;
    /** The highest versions known from heartbeats, reported by their holder or relayed. */
    knownVersions(): KnownVersions;
    traffic(): Traffic;
    /** Refuses new incoming calls with `leaving` and resolves when the served calls have finished. */
    drain(): Promise<void>;
}

/** Status of the link to a peer. `lastReceivedAgeMs` is the time since the last frame, undefined without a link. */
export interface LinkStatus {
    readonly peer: string;
    readonly up: boolean;
    readonly lastReceivedAgeMs: number | undefined;
    readonly incarnation: string | undefined;
}

/** Options of `createPeers`. Settings that are omitted have the values of `defaultPeerSettings`. */
export interface PeersOptions extends Partial<PeerSettings> {
    readonly name: string;
    readonly incarnation: string;
    /** Address and port to listen on; port 0 selects a free port. */
    readonly address: string;
    readonly port: number;
    /** Secret shared by all daemons of the cluster, at least 16 characters. */
    readonly clusterKey: string;
    readonly clock: Clock;
    readonly random?: Random;
    /** Returns the heartbeat to send. */
    readonly currentHeartbeat: () => Heartbeat;
    readonly onHeartbeat: (peer: string, beat: Heartbeat) => void;
    /**
     * Called when a version higher than the known one is reported. Its holder may be another peer than the reporting
     * one.
     */
    readonly onNewVersion?: (versions: KnownVersions) => void;
    /** Called when the first link to a peer is opened and when the last one is closed. */
    readonly onLinkChange?: (peer: string, state: "up" | "down", reason: string) => void;
    readonly handleCall: CallHandler;
    readonly handleQuery: QueryHandler;
}

/** Starts to listen for peers. Rejects if the port is in use. */
export async function createPeers(options: PeersOptions): Promise<Peers> {
    const { name, incarnation, clock, currentHeartbeat, onHeartbeat, onNewVersion, onLinkChange, handleCall,
        handleQuery } = options;
    if (options.clusterKey.length < 16) {
        throw new Error("the cluster key must have at least 16 characters");
    }
    const random = options.random ?? Math.random;
    const settings = settingsOf(options);
    const credentials: Credentials = { self: { name, incarnation }, key: Buffer.from(options.clusterKey, "utf8") };
    const meter = createTrafficMeter();
    const peers = new Map<string, PeerState>();
    const pendingHandshakes = new Set<() => void>();
    let linkWaiters: (() => void)[] = [];
    let drainWaiters: (() => void)[] = [];
    let knownVersions = noKnownVersions;
    let gossipRound: GossipRound = [];
    let lastGossipAt = clock.monotonic();
    let lastCheckAt = clock.monotonic();
    let draining = false;
    let disposed = false;

    function updatePeer(peer: string, event: PeerEvent): void {
        const before = peers.get(peer) ?? createPeerState(peer);
        const after = applyEvent(before, event);
        if (after.member === undefined && preferredLink(after) === undefined && !after.dialing) {
            peers.delete(peer);
        }
        else {
            peers.set(peer, after);
        }
    }

    const linkHandlers: LinkHandlers = {
        handleCall,
        handleQuery,
        isLeaving: () => draining,
        onCallFinished: resolveDrainIfIdle,
        onHeartbeat(link, received, relayed, wantsReply) {
            const peer = link.peer.name;
            updatePeer(peer, { type: "beat", at: clock.monotonic() });
            onHeartbeat(peer, received);
            const before = knownVersions;
            knownVersions = mergeVersions(knownVersions, peer, received, relayed);
            if (knownVersions !== before) {
                onNewVersion?.(knownVersions);
            }
            if (wantsReply) {
                sendHeartbeat(link, false);
            }
        },
        onClosed(link, reason) {
            const peer = link.peer.name;
            updatePeer(peer, { type: "unlinked", link, nextDialAt: clock.monotonic() + dialDelayMs(peer, 0) });
            if (preferredLink(peers.get(peer) ?? createPeerState(peer)) === undefined) {
                onLinkChange?.(peer, "down", describeReason(reason));
            }
        },
    };

    function addLink(socket: WebSocket, peer: Identity, dialed: boolean): void {
        const before = peers.get(peer.name) ?? createPeerState(peer.name);
        const now = clock.monotonic();
        linksOf(before)
            .filter(old => isReplaced(old, dialed, peer.incarnation, now, settings))
            .forEach(old => old.close("replaced", true));
        const link = createLink({ socket, peer, dialed, clock, settings, meter, handlers: linkHandlers });
        const wasUp = preferredLink(peers.get(peer.name) ?? createPeerState(peer.name)) !== undefined;
        updatePeer(peer.name, { type: "linked", link });
        if (!wasUp) {
            onLinkChange?.(peer.name, "up", dialed ? "dialed" : "accepted");
        }
        wakeLinkWaiters();
        // Deferred, so that the last proof of the handshake is written before the first heartbeat.
        setImmediate(() => sendHeartbeat(link, false));
    }

    function sendHeartbeat(link: Link, wantsReply: boolean): void {
        link.sendHeartbeat(currentHeartbeat(), knownVersions, wantsReply);
    }

    function dialDelayMs(peer: string, failedAttempts: number): number {
        return reconnectDelayMs(failedAttempts, settings, random) +
            (isPrimaryDialer(name, peer) ? 0 : settings.secondaryDialDelayMs);
    }

    function dialPeer(peer: PeerState, member: Member): void {
        updatePeer(peer.name, { type: "dialing" });
        const cancelDial = dial(member, credentials, settings, meter, {
            onAuthenticated(socket, identity) {
                pendingHandshakes.delete(cancelDial);
                addLink(socket, identity, true);
            },
            onFailed(reason, detail) {
                pendingHandshakes.delete(cancelDial);
                const { failedAttempts } = peers.get(peer.name) ?? peer;
                log("connection to %s failed: %s", peer.name, detail);
                updatePeer(peer.name, {
                    type: "dialFailed",
                    nextDialAt: clock.monotonic() + reconnectDelayMs(failedAttempts + 1, settings, random),
                });
                wakeLinkWaiters();
            },
        });
        pendingHandshakes.add(cancelDial);
    }

    function wakeLinkWaiters(): void {
        const waiters = linkWaiters;
        linkWaiters = [];
        waiters.forEach(wake => wake());
    }

    function dialUnconnected(now: number): void {
        let dialing = 0;
        const unconnected: PeerState[] = [];
        for (const peer of peers.values()) {
            dialing += peer.dialing ? 1 : 0;
            if (shouldDial(peer, now)) {
                unconnected.push(peer);
            }
        }
        for (const peer of unconnected.slice(0, Math.max(0, settings.maxConcurrentDials - dialing))) {
            dialPeer(peer, peer.member!);
        }
    }

    function sendDueHeartbeats(now: number): void {
        if (isFullMesh()) {
            for (const link of [...peers.values()].flatMap(linksOf)) {
                if (now - link.lastHeartbeatSentAt() >= settings.heartbeatIntervalMs - settings.checkIntervalMs / 2) {
                    sendHeartbeat(link, false);
                }
            }
            return;
        }
        const dueCount = Math.floor((now - lastGossipAt) / (settings.heartbeatIntervalMs / settings.gossipFanout));
        if (dueCount < 1) {
            return;
        }
        const connected = [...peers.values()].filter(peer => preferredLink(peer) !== undefined);
        lastGossipAt = now;
        const next = nextTargets(gossipRound, connected.map(peer => peer.name),
            Math.min(dueCount, settings.gossipFanout), random);
        gossipRound = next.round;
        for (const peer of next.targets) {
            const link = preferredLink(peers.get(peer) ?? createPeerState(peer));
            if (link !== undefined) {
                sendHeartbeat(link, true);
            }
        }
    }

    function isFullMesh(): boolean {
        return peers.size <= settings.maxMeshMembers;
    }

    function runChecks(): void {
        const now = clock.monotonic();
        // If this process was paused, the pause must not count as silence of the peers.
        const pauseMs = now - lastCheckAt - settings.checkIntervalMs;
        lastCheckAt = now;
        const fullMesh = isFullMesh();
        // An event may remove the current peer during the iteration, which a Map permits.
        for (const peer of peers.values()) {
            checkLink(peer.dialed, now, pauseMs, fullMesh);
            checkLink(peer.accepted, now, pauseMs, fullMesh);
            if (peer.member === undefined) {
                closeUnlisted(peer);
            }
        }
        dialUnconnected(now);
        sendDueHeartbeats(now);
    }

    function checkLink(link: Link | undefined, now: number, pauseMs: number, fullMesh: boolean): void {
        if (pauseMs > settings.silenceTimeoutMs / 6) {
            link?.discountPause(pauseMs);
        }
        link?.checkSilence(now, fullMesh);
    }

    /** Closes the idle link that this daemon dialed to a peer that is no longer on the member list. */
    function closeUnlisted(peer: PeerState): void {
        if (peer.dialed?.openStreams() === 0) {
            peer.dialed.close("removed", true);
        }
    }

    function resolveDrainIfIdle(): void {
        if (draining && servedCalls() === 0) {
            const waiters = drainWaiters;
            drainWaiters = [];
            waiters.forEach(wake => wake());
        }
    }

    function servedCalls(): number {
        return [...peers.values()].flatMap(linksOf).reduce((sum, link) => sum + link.servedCalls(), 0);
    }

    /** Returns the link to a peer. Waits up to `linkWaitTimeoutMs` for the link to a member to be opened. */
    async function waitForLink(peer: string, signal: AbortSignal | undefined): Promise<Link> {
        const deadline = clock.monotonic() + settings.linkWaitTimeoutMs;
        for (;;) {
            signal?.throwIfAborted();
            const entry = peers.get(peer);
            const link = entry === undefined ? undefined : preferredLink(entry);
            if (link !== undefined) {
                return link;
            }
            const remainingMs = deadline - clock.monotonic();
            if (disposed || entry?.member === undefined || remainingMs <= 0) {
                throw new LinkError(peer, disposed ? "disposed" : "unreachable", false);
            }
            await waitForLinkChange(remainingMs, signal);
        }
    }

    async function waitForLinkChange(ms: number, signal: AbortSignal | undefined): Promise<void> {
        await new Promise<void>(resolve => {
            const timer = setTimeout(finish, ms);
            function finish(): void {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            }
            signal?.addEventListener("abort", finish);
            linkWaiters.push(finish);
        });
    }

    const server = createServer({
        maxHeaderSize: maxHandshakeBytes,
        headersTimeout: settings.handshakeTimeoutMs,
        connectionsCheckingInterval: settings.handshakeTimeoutMs / 2,
    });
    server.on("request", (_request, response) => {
        response.writeHead(426).end();
    });
    const webSocketServer = new WebSocketServer({
        server,
        path: endpointPath,
        perMessageDeflate: false,
        maxPayload: settings.maxMessageBytes + settings.flushThresholdBytes,
    });
    webSocketServer.on("connection", (socket, request) => {
        if (pendingHandshakes.size >= settings.maxConcurrentHandshakes) {
            socket.terminate();
            return;
        }
        const byteLimit = limitHandshakeBytes(request);
        const cancelHandshake = accept(socket, credentials, settings, meter, {
            onAuthenticated(authenticated, identity) {
                pendingHandshakes.delete(cancelHandshake);
                byteLimit.release();
                addLink(authenticated, identity, false);
            },
            onFailed(reason, detail) {
                pendingHandshakes.delete(cancelHandshake);
                log("handshake with %s failed: %s", request.socket.remoteAddress, detail);
            },
        });
        pendingHandshakes.add(cancelHandshake);
    });
    await new Promise<void>((resolve, reject) => {
        webSocketServer.once("error", reject);
        server.listen(options.port, options.address, resolve);
    });
    webSocketServer.on("error", error => log("the listening socket failed: %s", error.message));
    const checkTimer = setInterval(runChecks, settings.checkIntervalMs);

    return {
        port: (server.address() as AddressInfo).port,
        setMembers(members) {
            const listed = new Map(members.filter(member => member.name !== name).map(member => [member.name, member]));
            for (const peer of [...peers.keys()].filter(peer => !listed.has(peer))) {
                updatePeer(peer, { type: "unlisted" });
            }
            const now = clock.monotonic();
            for (const member of listed.values()) {
                const delayMs = isPrimaryDialer(name, member.name) ? 0 : settings.secondaryDialDelayMs;
                updatePeer(member.name, { type: "listed", member, nextDialAt: now + delayMs });
            }
            dialUnconnected(now);
        },
        call: (peer, call, signal) => lazyIterable(async () => (await waitForLink(peer, signal)).call(call, signal)),
        query: async (peer, queryName, body, timeoutMs) =>
            (await waitForLink(peer, undefined)).query(queryName, body, timeoutMs),
        links: () => [...peers.values()].map(peer => statusOf(peer, clock.monotonic())),
        heartbeatAges() {
            const now = clock.monotonic();
            const ages = [...peers.values()].flatMap(peer =>
                peer.lastHeartbeatAt === undefined ? [] : [[peer.name, now - peer.lastHeartbeatAt] as const]
            );
            return Object.fromEntries(ages);
        },
        knownVersions: () => knownVersions,
        traffic: () => meter.read(),
        async drain() {
            draining = true;
            if (servedCalls() > 0) {
                await new Promise<void>(resolve => drainWaiters.push(resolve));
            }
            [...peers.values()].flatMap(linksOf).forEach(link => link.flush());
        },
        async [Symbol.asyncDispose]() {
            disposed = true;
            clearInterval(checkTimer);
            [...pendingHandshakes].forEach(cancel => cancel());
            for (const link of [...peers.values()].flatMap(linksOf)) {
                link.flush();
                link.close("disposed", true);
            }
            wakeLinkWaiters();
            webSocketServer.close();
            await new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
                setTimeout(() => webSocketServer.clients.forEach(socket => socket.terminate()), 100);
            });
        },
    };
}

function settingsOf(options: Partial<PeerSettings>): PeerSettings {
    const overrides = Object.keys(defaultPeerSettings)
        .map(key => [key, options[key as keyof PeerSettings]] as const)
        .filter(([, value]) => value !== undefined);
    return { ...defaultPeerSettings, ...Object.fromEntries(overrides) };
}

function statusOf(peer: PeerState, now: number): LinkStatus {
    const link = preferredLink(peer);
    return {
        peer: peer.name,
        up: link !== undefined,
        lastReceivedAgeMs: link === undefined ? undefined : now - link.lastReceivedAt(),
        incarnation: link?.peer.incarnation,
    };
}

/** An iterable that creates its iterator on the first call of `next`, without the cost of a wrapper for each event. */
function lazyIterable(create: () => Promise<AsyncIterator<AnswerEvent, void>>): AsyncIterable<AnswerEvent> {
    return {
        [Symbol.asyncIterator]() {
            let inner: AsyncIterator<AnswerEvent, void> | undefined;
            let returned = false;
            async function createAndPull(): Promise<IteratorResult<AnswerEvent, void>> {
                const created = await create();
                if (returned) {
                    return { done: true, value: undefined };
                }
                inner = created;
                return created.next();
            }
            return {
                next() {
                    return returned
                        ? Promise.resolve({ done: true, value: undefined })
                        : inner?.next() ?? createAndPull();
                },
                async return() {
                    returned = true;
                    await inner?.return?.();
                    return { done: true, value: undefined };
                },
            };
        },
    };
}
