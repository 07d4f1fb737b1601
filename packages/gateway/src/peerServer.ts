import { type FeedResult, type RowPage, type SocketAddress, type Store, StoreError,
    type StoreHealth } from "@tamarackgauge/core/gateway";
import { pack } from "msgpackr";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import type { TokenLender } from "./budgets.ts";
import type { Dispatcher, DispatcherSession } from "./dispatcher.ts";
import { limitConnections } from "./limitConnections.ts";
import { listen } from "./listen.ts";
import type { Log } from "./log.ts";
import { createPeerLinkLimits } from "./peerLinkLimits.ts";
import { decodePeerRequest, type DispatchPeerCall, isDispatchCall, isNotice, isPermitCall, isQuotaCall, isTokenCall,
    maxPeerMessageBytes, type PeerAnswer, type PeerCall, type PermitCall, type RelayedCall,
    type TokenCall } from "./peerMessage.ts";
import type { PermitIssuer } from "./permits.ts";
import type { QuotaServer } from "./quotas.ts";
import type { RelayServer } from "./relayServer.ts";

/** Parts of a peer server. */
export interface PeerServerParts {
    readonly address: SocketAddress;
    /** Direct connection to the store, not through a peer. */
    readonly store: Store;
    readonly health: StoreHealth;
    readonly lender: TokenLender;
    readonly permitIssuer: PermitIssuer;
    /** Undefined if no quotas are held. */
    readonly quotaServer: QuotaServer | undefined;
    readonly dispatcher: Pick<Dispatcher, "open">;
    readonly relayServer: Pick<RelayServer, "serve">;
    readonly log: Log;
    readonly now: () => number;
}

/** Maximum number of concurrent calls made for other gateways; more are refused, so that own calls are not delayed. */
const maxRelayedCalls = 48;
/** Gateways send each message in one fragment. */
const maxFragments = 64;
/** Maximum number of connections that have not become links. */
const maxPlainConnections = 512;
const upgradeRequiredStatus = 426;

/**
 * Makes store calls for gateways that cannot reach the store, opens connections for those that cannot reach upstreams, lends
 * tokens of programs, issues permits, hands out credits of teams and places calls. Calls are served without it, so the start
 * does not wait until it listens.
 */
export function createPeerServer(parts: PeerServerParts): AsyncDisposable {
    const { address, log } = parts;
    const httpServer = createServer((_, response) => response.writeHead(upgradeRequiredStatus).end());
    const server = new WebSocketServer({ noServer: true, maxPayload: maxPeerMessageBytes, perMessageDeflate: false,
        maxFragments });
    const linkLimits = createPeerLinkLimits(log, parts.now);
    const stopCounting = limitConnections(httpServer, maxPlainConnections);
    httpServer.on("upgrade",
        (request, socket, head) =>
            server.handleUpgrade(request, socket, head, link => server.emit("connection", link, request)));
    httpServer.on("connect", (request, socket: Socket) => {
        stopCounting(socket);
        parts.relayServer.serve(request, socket);
    });
    const stopped = new AbortController();
    listen(httpServer, () => address, log, stopped.signal)
        .catch((error: Error) => log.warn("peers.unavailable", { reason: error.message }));
    let relayedCalls = 0;
    server.on("connection", (socket, request) => {
        stopCounting(request.socket);
        linkLimits.track(socket, request.socket);
        const session = parts.dispatcher.open();
        socket.on("close", () => session[Symbol.dispose]());
        socket.on("error", error => log.info("peer.failed", { reason: error.message }));
        socket.on("message", data => {
            handleMessage(socket, session, data as Buffer).catch((error: Error) => {
                log.warn("peer.broken", { reason: error.stack ?? error.message });
                socket.terminate();
            });
        });
    });

    async function handleMessage(socket: WebSocket, session: DispatcherSession, data: Buffer): Promise<void> {
        const request = decodePeerRequest(data);
        if (request === undefined) {
            log.warn("peer.unreadable", {});
            socket.terminate();
            return;
        }
        const { id, call } = request;
        if (isNotice(call)) {
            session.notify(call);
            return;
        }
        const answer = isDispatchCall(call) ? { id, result: await session.place(call) } : await answerTo(id, call);
        if (socket.readyState === socket.OPEN) {
            socket.send(pack(answer));
        }
        else if (call.kind === "borrow" && "result" in answer && answer.result === "lent") {
            // The borrower has closed the link and does not know of its loan.
            parts.lender.acceptReturn(call.turn.program, call.turn.most);
        }
    }

    async function answerTo(id: number, call: Exclude<PeerCall, DispatchPeerCall>): Promise<PeerAnswer> {
        if (isTokenCall(call)) {
            return { id, result: await handleTokenCall(call) };
        }
        if (isQuotaCall(call)) {
            return parts.quotaServer === undefined
                ? { id, failure: "refused", reason: "no quotas are held here" }
                : { id, result: await parts.quotaServer.serve(call) };
        }
        return isPermitCall(call) ? { id, result: handlePermitCall(call) } : relayToStore(id, call);
    }

    function handlePermitCall(call: PermitCall): unknown {
        switch (call.kind) {
            case "permit":
                return parts.permitIssuer.issue(call);
            case "rateLimit":
                parts.permitIssuer.learn(call);
                return true;
        }
    }

    async function handleTokenCall(call: TokenCall): Promise<unknown> {
        switch (call.kind) {
            case "borrow":
                return parts.lender.lend(call.turn);
            case "return":
                parts.lender.acceptReturn(call.program, call.tokens);
                return true;
            case "recall":
                return parts.lender.recall(call.holder, call.program);
        }
    }

    async function relayToStore(id: number, call: RelayedCall): Promise<PeerAnswer> {
        if (parts.health.isUnavailable(parts.now())) {
            return { id, failure: "away", reason: "the store is away here too" };
        }
        if (relayedCalls >= maxRelayedCalls) {
            return { id, failure: "refused", reason: "too many relayed calls" };
        }
        relayedCalls += 1;
        try {
            return { id, result: await callStore(parts.store, call) };
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            return { id, failure: error.failure, reason: error.message };
        }
        finally {
            relayedCalls -= 1;
        }
    }

    return {
        async [Symbol.asyncDispose]() {
            stopped.abort();
            server.clients.forEach(client => client.terminate());
            await new Promise(resolve => server.close(resolve));
            httpServer.closeAllConnections();
            await new Promise(resolve => httpServer.close(resolve));
        },
    };
}

function callStore(store: Store, call: RelayedCall): Promise<RowPage | FeedResult | object> {
    switch (call.kind) {
        case "read":
            return store.read(call.range, { timeout: call.timeout });
        case "change":
            return store.change(call.change, { timeout: call.timeout });
        case "feed":
            return store.feed(call.table, call.after, call.wait);
    }
}
