import type { AnswerEvent, Beat, Call, Clock, Random } from "@tamarackgauge/core";
import createDebug from "debug";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { accept, type Credentials, dial, handshakeBytes, limitBytes, path } from "./connect.ts";
import { applyStep, backoff, chosenLink, dialsFirst, emptyPeer, isReplaced, linksOf, type Member, needsDial, type Peer,
    type Step } from "./directory.ts";
import { learn, noNews, type Round, takeTurn } from "./gossip.ts";
import type { Identity } from "./handshake.ts";
import type { News } from "./heartbeat.ts";
import { createLink, type Link, type LinkEvents } from "./link.ts";
import type { Answer } from "./queries.ts";
import { describe, LinkError } from "./reason.ts";
import type { Serve } from "./serving.ts";
import { defaultSettings, type Settings } from "./setting.ts";
import { createMeter, type Traffic } from "./traffic.ts";

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
    ask(peer: string, kind: string, body: unknown, timeoutMs: number): Promise<unknown>;
    links(): readonly LinkState[];
    /** Milliseconds since the last heartbeat of each peer that sent one. */
    beatAges(): Readonly<Record<string, number>>;
    /** The highest versions heard of, directly or relayed. */
    news(): News;
    traffic(): Traffic;
    /** Refuses new incoming calls as `leaving` and resolves when the calls in progress have ended. */
    drain(): Promise<void>;
}

/** A peer as `links` lists it. `lastHeardAge` is in milliseconds, undefined without a link. */
export interface LinkState {
    readonly peer: string;
    readonly up: boolean;
    readonly lastHeardAge: number | undefined;
    readonly incarnation: string | undefined;
}

/** Options of `createPeers`; the settings have defaults. */
export interface PeersOptions extends Partial<Settings> {
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
    readonly beat: () => Beat;
    readonly onBeat: (peer: string, beat: Beat) => void;
    /** A higher version than any before was heard of; its holder need not be the peer that told of it. */
    readonly onNews?: (news: News) => void;
    /** A peer got its first link, or lost its last one. */
    readonly onLink?: (peer: string, state: "up" | "down", reason: string) => void;
    readonly serve: Serve;
    readonly answer: Answer;
}

/** Listens for peers. Rejects if the port is taken. */
export async function createPeers(options: PeersOptions): Promise<Peers> {
    const { name, incarnation, clock, beat, onBeat, onNews, onLink, serve, answer } = options;
    if (options.clusterKey.length < 16) {
        throw new Error("the cluster key has less than 16 characters");
    }
    const random = options.random ?? Math.random;
    const settings = settingsOf(options);
    const credentials: Credentials = { self: { name, incarnation }, key: Buffer.from(options.clusterKey, "utf8") };
    const meter = createMeter();
    const peers = new Map<string, Peer>();
    const pendingHandshakes = new Set<() => void>();
    let linkWaiters: (() => void)[] = [];
    let drainWaiters: (() => void)[] = [];
    let known = noNews;
    let round: Round = [];
    let rotatedAt = clock.monotonic();
    let checkedAt = clock.monotonic();
    let draining = false;
    let disposed = false;

    function apply(peer: string, step: Step): void {
        const before = peers.get(peer) ?? emptyPeer(peer);
        const after = applyStep(before, step);
        if (after.member === undefined && chosenLink(after) === undefined && !after.dialing) {
            peers.delete(peer);
        }
        else {
            peers.set(peer, after);
        }
    }

    const events: LinkEvents = {
        serve,
        answer,
        leaving: () => draining,
        finished: checkDrained,
        beat(link, received, relayed, wantsReply) {
            const peer = link.peer.name;
            apply(peer, { type: "beat", at: clock.monotonic() });
            onBeat(peer, received);
            const before = known;
            known = learn(known, peer, received, relayed);
            if (known !== before) {
                onNews?.(known);
            }
            if (wantsReply) {
                sendBeat(link, false);
            }
        },
        ended(link, reason) {
            const peer = link.peer.name;
            apply(peer, { type: "unlinked", link, dialAt: clock.monotonic() + dialDelay(peer, 0) });
            if (chosenLink(peers.get(peer) ?? emptyPeer(peer)) === undefined) {
                onLink?.(peer, "down", describe(reason));
            }
        },
    };

    function opened(socket: WebSocket, peer: Identity, dialed: boolean): void {
        const before = peers.get(peer.name) ?? emptyPeer(peer.name);
        const now = clock.monotonic();
        linksOf(before)
            .filter(old => isReplaced(old, dialed, peer.incarnation, now, settings))
            .forEach(old => old.end("replaced", true));
        const link = createLink({ socket, peer, dialed, clock, settings, meter, events });
        const wasUp = chosenLink(peers.get(peer.name) ?? emptyPeer(peer.name)) !== undefined;
        apply(peer.name, { type: "linked", link });
        if (!wasUp) {
            onLink?.(peer.name, "up", dialed ? "dialed" : "accepted");
        }
        wakeLinkWaiters();
        // The first heartbeat goes out once the last proof of the handshake has been written.
        setImmediate(() => sendBeat(link, false));
    }

    function sendBeat(link: Link, wantsReply: boolean): void {
        link.beat(beat(), known, wantsReply);
    }

    function dialDelay(peer: string, attempts: number): number {
        return backoff(attempts, settings, random) + (dialsFirst(name, peer) ? 0 : settings.yieldMs);
    }

    function open(peer: Peer, member: Member): void {
        apply(peer.name, { type: "dialing" });
        const giveUp = dial(member, credentials, settings, meter, {
            opened(socket, identity) {
                pendingHandshakes.delete(giveUp);
                opened(socket, identity, true);
            },
            failed(reason, detail) {
                pendingHandshakes.delete(giveUp);
                const { attempts } = peers.get(peer.name) ?? peer;
                log("connection to %s failed: %s", peer.name, detail);
                apply(peer.name, {
                    type: "dialFailed",
                    dialAt: clock.monotonic() + backoff(attempts + 1, settings, random),
                });
                wakeLinkWaiters();
            },
        });
        pendingHandshakes.add(giveUp);
    }

    function wakeLinkWaiters(): void {
        const woken = linkWaiters;
        linkWaiters = [];
        woken.forEach(wake => wake());
    }

    function dialMissing(now: number): void {
        let dialing = 0;
        const missing: Peer[] = [];
        for (const peer of peers.values()) {
            dialing += peer.dialing ? 1 : 0;
            if (needsDial(peer, now)) {
                missing.push(peer);
            }
        }
        for (const peer of missing.slice(0, Math.max(0, settings.dialLimit - dialing))) {
            open(peer, peer.member!);
        }
    }

    function sendBeats(now: number): void {
        if (inMesh()) {
            for (const link of [...peers.values()].flatMap(linksOf)) {
                if (now - link.lastBeatAt() >= settings.beatMs - settings.checkMs / 2) {
                    sendBeat(link, false);
                }
            }
            return;
        }
        const due = Math.floor((now - rotatedAt) / (settings.beatMs / settings.rotation));
        if (due < 1) {
            return;
        }
        const up = [...peers.values()].filter(peer => chosenLink(peer) !== undefined);
        rotatedAt = now;
        const turn = takeTurn(round, up.map(peer => peer.name), Math.min(due, settings.rotation), random);
        round = turn.round;
        for (const peer of turn.chosen) {
            const link = chosenLink(peers.get(peer) ?? emptyPeer(peer));
            if (link !== undefined) {
                sendBeat(link, true);
            }
        }
    }

    function inMesh(): boolean {
        return peers.size <= settings.meshLimit;
    }

    function check(): void {
        const now = clock.monotonic();
        // A process that did not run for a while must not take its own pause for the silence of its peers.
        const late = now - checkedAt - settings.checkMs;
        checkedAt = now;
        const mesh = inMesh();
        // A step may remove the peer that is visited, which a map allows.
        for (const peer of peers.values()) {
            checkLink(peer.dialed, now, late, mesh);
            checkLink(peer.accepted, now, late, mesh);
            if (peer.member === undefined) {
                closeUnused(peer);
            }
        }
        dialMissing(now);
        sendBeats(now);
    }

    function checkLink(link: Link | undefined, now: number, late: number, mesh: boolean): void {
        if (late > settings.silenceMs / 6) {
            link?.excuse(late);
        }
        link?.check(now, mesh);
    }

    /** Closes the idle link to a daemon that is no longer on the list. */
    function closeUnused(peer: Peer): void {
        if (peer.dialed?.streams() === 0) {
            peer.dialed.end("removed", true);
        }
    }

    function checkDrained(): void {
        if (draining && servedCalls() === 0) {
            const woken = drainWaiters;
            drainWaiters = [];
            woken.forEach(wake => wake());
        }
    }

    function servedCalls(): number {
        return [...peers.values()].flatMap(linksOf).reduce((sum, link) => sum + link.served(), 0);
    }

    /** The link for a call; waits a short time for a member that is being connected. */
    async function pick(peer: string, signal: AbortSignal | undefined): Promise<Link> {
        const deadline = clock.monotonic() + settings.connectWaitMs;
        for (;;) {
            signal?.throwIfAborted();
            const entry = peers.get(peer);
            const link = entry === undefined ? undefined : chosenLink(entry);
            if (link !== undefined) {
                return link;
            }
            const rest = deadline - clock.monotonic();
            if (disposed || entry?.member === undefined || rest <= 0) {
                throw new LinkError(peer, disposed ? "disposed" : "unreachable", false);
            }
            await waitForLink(rest, signal);
        }
    }

    async function waitForLink(ms: number, signal: AbortSignal | undefined): Promise<void> {
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
        maxHeaderSize: handshakeBytes,
        headersTimeout: settings.handshakeMs,
        connectionsCheckingInterval: settings.handshakeMs / 2,
    });
    server.on("request", (_request, response) => {
        response.writeHead(426).end();
    });
    const sockets = new WebSocketServer({
        server,
        path,
        perMessageDeflate: false,
        maxPayload: settings.messageLimit + settings.frameSize,
    });
    sockets.on("connection", (socket, request) => {
        if (pendingHandshakes.size >= settings.handshakeLimit) {
            socket.terminate();
            return;
        }
        const limit = limitBytes(request);
        const giveUp = accept(socket, credentials, settings, meter, {
            opened(authenticated, identity) {
                pendingHandshakes.delete(giveUp);
                limit.release();
                opened(authenticated, identity, false);
            },
            failed(reason, detail) {
                pendingHandshakes.delete(giveUp);
                log("connection from %s refused: %s", request.socket.remoteAddress, detail);
            },
        });
        pendingHandshakes.add(giveUp);
    });
    await new Promise<void>((resolve, reject) => {
        sockets.once("error", reject);
        server.listen(options.port, options.address, resolve);
    });
    sockets.on("error", error => log("the listening socket failed: %s", error.message));
    const ticker = setInterval(check, settings.checkMs);

    return {
        port: (server.address() as AddressInfo).port,
        setMembers(members) {
            const listed = new Map(members.filter(member => member.name !== name).map(member => [member.name, member]));
            for (const peer of [...peers.keys()].filter(peer => !listed.has(peer))) {
                apply(peer, { type: "unlisted" });
            }
            const now = clock.monotonic();
            for (const member of listed.values()) {
                const wait = dialsFirst(name, member.name) ? 0 : settings.yieldMs;
                apply(member.name, { type: "listed", member, dialAt: now + wait });
            }
            dialMissing(now);
        },
        call: (peer, call, signal) => lazily(async () => (await pick(peer, signal)).call(call, signal)),
        ask: async (peer, kind, body, timeoutMs) => (await pick(peer, undefined)).ask(kind, body, timeoutMs),
        links: () => [...peers.values()].map(peer => stateOf(peer, clock.monotonic())),
        beatAges() {
            const now = clock.monotonic();
            const ages = [...peers.values()].flatMap(peer =>
                peer.beatAt === undefined ? [] : [[peer.name, now - peer.beatAt] as const]
            );
            return Object.fromEntries(ages);
        },
        news: () => known,
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
            clearInterval(ticker);
            [...pendingHandshakes].forEach(giveUp => giveUp());
            for (const link of [...peers.values()].flatMap(linksOf)) {
                link.flush();
                link.end("disposed", true);
            }
            wakeLinkWaiters();
            sockets.close();
            await new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
                setTimeout(() => sockets.clients.forEach(socket => socket.terminate()), 100);
            });
        },
    };
}

function settingsOf(options: Partial<Settings>): Settings {
    const chosen = Object.keys(defaultSettings)
        .map(key => [key, options[key as keyof Settings]] as const)
        .filter(([, value]) => value !== undefined);
    return { ...defaultSettings, ...Object.fromEntries(chosen) };
}

function stateOf(peer: Peer, now: number): LinkState {
    const link = chosenLink(peer);
    return {
        peer: peer.name,
        up: link !== undefined,
        lastHeardAge: link === undefined ? undefined : now - link.heardAt(),
        incarnation: link?.peer.incarnation,
    };
}

/** An iterable whose iterator is made when it is first pulled, without a wrapper around each event. */
function lazily(make: () => Promise<AsyncIterator<AnswerEvent, void>>): AsyncIterable<AnswerEvent> {
    return {
        [Symbol.asyncIterator]() {
            let inner: AsyncIterator<AnswerEvent, void> | undefined;
            let left = false;
            async function first(): Promise<IteratorResult<AnswerEvent, void>> {
                const made = await make();
                if (left) {
                    return { done: true, value: undefined };
                }
                inner = made;
                return made.next();
            }
            return {
                next() {
                    return left ? Promise.resolve({ done: true, value: undefined }) : inner?.next() ?? first();
                },
                async return() {
                    left = true;
                    await inner?.return?.();
                    return { done: true, value: undefined };
                },
            };
        },
    };
}
