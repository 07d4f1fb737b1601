import type { AnswerEvent, Beat, Call, Clock, Random } from "@tamarackgauge/core";
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

/** The links of this daemon to all others. */
export interface Peers extends AsyncDisposable {
    /** The port listened on. */
    readonly port: number;
    /** Replaces the member list. The daemon's own name in it is ignored. */
    setMembers(members: readonly Member[]): void;
    /**
     * Runs a call on a peer. Nothing is sent before the iterable is pulled; leaving it early cancels the call.
     * Throws LinkError if the link fails, and the reason of `signal` if that is aborted.
     */
    call(peer: string, call: Call, signal: AbortSignal): AsyncIterable<AnswerEvent>;
    /** Asks a peer one thing. Rejects with LinkError or AskError. */
    query(peer: string, name: string, body: unknown, timeoutMs: number): Promise<unknown>;
    links(): readonly LinkStatus[];
    /** Milliseconds since the last heartbeat of each peer that sent one. */
    heartbeatAges(): Readonly<Record<string, number>>;
    /** The highest versions heard of, directly or relayed. */
    knownVersions(): KnownVersions;
    traffic(): Traffic;
    /** Refuses new incoming calls as `leaving` and resolves when the calls in progress have ended. */
    drain(): Promise<void>;
}

/** A peer as `links` lists it. `lastHeardAge` is in milliseconds, undefined without a link. */
export interface LinkStatus {
    readonly peer: string;
    readonly up: boolean;
    readonly lastReceivedAgeMs: number | undefined;
    readonly incarnation: string | undefined;
}

/** Options of `createPeers`; the settings have defaults. */
export interface PeersOptions extends Partial<PeerSettings> {
    readonly name: string;
    readonly incarnation: string;
    /** Address and port to listen on; port 0 takes a free one. */
    readonly address: string;
    readonly port: number;
    /** Shared secret of all daemons, at least 16 characters. */
    readonly clusterKey: string;
    readonly clock: Clock;
    readonly random?: Random;
    /** The heartbeat to send now. */
    readonly currentHeartbeat: () => Beat;
    readonly onHeartbeat: (peer: string, beat: Beat) => void;
    /** A higher version than any before was heard of; its holder need not be the peer that told of it. */
    readonly onNewVersion?: (versions: KnownVersions) => void;
    /** A peer got its first link, or lost its last one. */
    readonly onLinkChange?: (peer: string, state: "up" | "down", reason: string) => void;
    readonly handleCall: CallHandler;
    readonly handleQuery: QueryHandler;
}

/** Listens for peers. Rejects if the port is taken. */
export async function createPeers(options: PeersOptions): Promise<Peers> {
    const { name, incarnation, clock, currentHeartbeat, onHeartbeat, onNewVersion, onLinkChange, handleCall,
        handleQuery } = options;
    if (options.clusterKey.length < 16) {
        throw new Error("the cluster key has less than 16 characters");
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
        // The first heartbeat goes out once the last proof of the handshake has been written.
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
        // A process that did not run for a while must not take its own pause for the silence of its peers.
        const pauseMs = now - lastCheckAt - settings.checkIntervalMs;
        lastCheckAt = now;
        const fullMesh = isFullMesh();
        // A step may remove the peer that is visited, which a map allows.
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

    /** Closes the idle link to a daemon that is no longer on the list. */
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

    /** The link for a call; waits a short time for a member that is being connected. */
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
                log("connection from %s refused: %s", request.socket.remoteAddress, detail);
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

/** An iterable whose iterator is made when it is first pulled, without a wrapper around each event. */
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
