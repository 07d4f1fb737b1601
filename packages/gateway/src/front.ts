import { type ByteAccount, type CallHead, createByteBudget, createKeyRing, createRouteTable, type Declaration,
    effectiveTimeout, type KeyRing, maxWait, type RouteTable, type ServiceRoute } from "@tamarackgauge/core/gateway";
import { decodeCredentials, decodeRequest } from "@tamarackgauge/platform";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { type LocalAnswer, writeLocalAnswer } from "./callerAnswer.ts";
import type { CallerServer } from "./callerServer.ts";
import { requestConnectionEnd, setConnectionEnd } from "./connectionEnd.ts";
import { type Exchange, type ExchangeParts, refusalAnswer, startExchange } from "./exchange.ts";
import { keyDigest } from "./keyDigest.ts";
import { type BodyFailure, readBody } from "./requestBody.ts";
import type { ReceivedCall } from "./sendPlan.ts";

/** Serves the requests of callers. */
export interface Frontend extends AsyncDisposable {
    /** Applies the routes and limits of a newer declaration. */
    setDeclaration(declaration: Declaration): void;
    /** Closes each connection after the last answer that is owed on it, so that callers reconnect to other gateways. */
    disableKeepAlive(): void;
    /**
     * Stops accepting connections and resolves when the last answer has ended. A call whose timeout ends after `deadline`
     * (monotonic milliseconds) is refused, because the end of the process would interrupt it.
     */
    drain(deadline: number): Promise<void>;
    /** Answers the calls that are still running, because the process ends. */
    interrupt(): void;
    activeCalls(): number;
}

/** Parts of the frontend. */
export interface FrontendParts extends Omit<ExchangeParts, "latestEnd"> {
    readonly callerServer: CallerServer;
    /** Resolves when the declaration and upstreams are known, without which no call can be served. */
    readonly initialized: Promise<void>;
    /** Milliseconds since the declaration was last known to be current. */
    readonly declarationAge: () => number;
    /** Calls that need a key are refused while the declaration has not been confirmed for this long, in ms. */
    readonly maxKeyAge: number;
}

const badRequest = 400;
const unauthorized = 401;
const notFound = 404;
const requestTimeout = 408;
const payloadTooLarge = 413;
const headTooLarge = 431;
/**
 * Patience assumed for the caller of a call that arrives before the declaration is known. It is the shortest patience
 * that a route can have.
 */
const undeclaredPatienceMs = 2_000;
/** An unknown path is refused with 404, and an unknown key with 401, only if the declaration was confirmed within this time. */
const maxDeclarationAgeMs = 4_500;
/** A caller that has not read its whole answer this long after the end of the call is disconnected. */
const answerReadTimeoutMs = 10_000;
/** How long the rest of a refused body is read and discarded before the refusal is sent. */
const maxDiscardMs = 1_000;
/** How often what callers hold in memory is measured, and closed connections are logged. */
const memoryReportIntervalMs = 1_000;
/** How long a connection accepted before the shutdown may take to send its first request. */
const firstRequestTimeoutMs = 1_000;

/** Starts serving callers. */
export function createFrontend(parts: FrontendParts): Frontend {
    const { now, log, metrics } = parts;
    let routes: RouteTable | undefined;
    let keyRing: KeyRing | undefined;
    let declaration: Declaration | undefined;
    let closing = false;
    let drainDeadline = Infinity;
    let active = 0;
    let initialized = false;
    let notifyIdle: (() => void) | undefined;
    const exchanges = new Set<Exchange>();
    const exchangeParts: ExchangeParts = { ...parts, latestEnd: () => drainDeadline };
    const byteBudget = createByteBudget(parts.limits.maxBufferedBytes, now);
    const { server, connections } = parts.callerServer;
    const reportTimer = setInterval(reportMemory, memoryReportIntervalMs);
    reportTimer.unref();
    parts.callerServer.setListener((request, response, hasRoom) => void serve(request, response, hasRoom));

    function reportMemory(): void {
        const { use, closed } = connections.report();
        metrics.setCallerMemory(use);
        closed.forEach((count, cause) => metrics.recordClosings(cause, count));
        if (closed.size > 0) {
            log.warn("connections.closed", { ...Object.fromEntries(closed), connectionBytes: use.connections,
                headBytes: use.heads, callBytes: use.calls });
        }
    }

    function setDeclaration(next: Declaration): void {
        declaration = next;
        routes = createRouteTable(next.routes);
        keyRing = createKeyRing(next.teams);
        server.keepAliveTimeout = next.limits.idleTimeout;
        connections.setTimeouts({ head: next.limits.headerTimeout, idle: next.limits.idleTimeout });
        parts.callerServer.setMaxHeadBytes(next.limits.headerBytes);
    }

    async function serve(request: IncomingMessage, response: ServerResponse, hasRoom: boolean): Promise<void> {
        const arrivedAt = now();
        active += 1;
        setConnectionEnd(response, { isStopping: () => closing,
            endWith: () => connections.endWith(request, response) });
        let exchange: Exchange | undefined;
        const byteAccount = byteBudget.openAccount();
        const closed = new Promise<void>(resolve => response.once("close", resolve));
        response.on("close", () => {
            byteAccount[Symbol.dispose]();
            if (drainDeadline < Infinity) {
                server.closeIdleConnections();
            }
            if (!response.writableFinished) {
                exchange?.abandon();
            }
        });
        try {
            exchange = hasRoom
                ? await startCall(request, response, arrivedAt, byteAccount)
                : refuseCall(request, response);
            if (exchange !== undefined) {
                exchanges.add(exchange);
                await exchange.done;
            }
        }
        catch (error) {
            log.warn("call.broken", { reason: (error as Error).stack ?? String(error) });
            response.destroy();
        }
        finally {
            exchanges.delete(exchange!);
            metrics.recordCall(exchange?.route ?? "none", response.headersSent ? response.statusCode : 0,
                now() - arrivedAt);
            byteAccount.setReclaimable(() => response.destroy());
            await disconnectSlowReader(response, closed);
            active -= 1;
            metrics.setActiveCalls(active);
            if (active === 0) {
                notifyIdle?.();
            }
        }
    }

    async function startCall(request: IncomingMessage, response: ServerResponse, arrivedAt: number,
        byteAccount: ByteAccount) {
        const head = decodeRequest(request.headers);
        const url = request.url ?? "/";
        const incomingBody = readBody(request, byteAccount);
        if (!initialized) {
            await waitUntilInitialized(head);
        }
        if (hasSeveralHosts(request)) {
            writeLocalAnswer(response, head?.id, { status: badRequest, reason: "the request names several hosts" });
            return undefined;
        }
        const route = routes?.find(request.headers.host ?? "", url);
        if (route === undefined || declaration === undefined) {
            writeLocalAnswer(response, head?.id, unknownRouteAnswer());
            return undefined;
        }
        if (head === undefined) {
            writeLocalAnswer(response, undefined, { status: badRequest, reason: "the request has no identity" });
            return undefined;
        }
        if (route.streamed) {
            connections.holdBehind(request, response);
        }
        const identity = identifyCaller(request, route, head.id);
        if ("status" in identity) {
            writeLocalAnswer(response, head.id, identity);
            return undefined;
        }
        const endsAt = arrivedAt + effectiveTimeout(route, head.deadline);
        if (endsAt > drainDeadline) {
            writeLocalAnswer(response, head.id, refusalAnswer({ kind: "stopping" }));
            return undefined;
        }
        const { headerBytes, bodyBytes } = declaration.limits;
        const body = connections.headSizeOf(request) > headerBytes
            ? "headTooLarge"
            : await incomingBody.within({ maxBytes: bodyBytes, timeoutMs: endsAt - now() });
        if (body === "noRoom") {
            metrics.recordMemoryRefusal("body");
        }
        const refusal = typeof body === "string" ? requestRefusal(body) : undefined;
        if (refusal !== undefined) {
            // A body that came too slowly has used the time of its call.
            if (body !== "tooSlow") {
                await discardBody(request, Math.min(maxDiscardMs, endsAt - now()));
            }
            // The rest of the body must not be parsed as another request.
            requestConnectionEnd(response);
            writeLocalAnswer(response, head.id, refusal);
            return undefined;
        }
        if (typeof body === "string" || response.destroyed) {
            return undefined;
        }
        const hasBody = body.length > 0 || request.headers["content-length"] !== undefined ||
            request.headers["transfer-encoding"] !== undefined;
        return startExchange(exchangeParts, {
            method: request.method ?? "GET",
            path: url,
            rawHeaders: request.rawHeaders,
            head,
            ...identity,
            body: hasBody ? body : undefined,
            byteAccount,
            arrivedAt,
            deadlineAt: endsAt,
        }, response);
    }

    /** Returns the caller's identity, or the answer for a caller without a valid key. */
    function identifyCaller(request: IncomingMessage, route: ServiceRoute, call: string): CallerIdentity | LocalAnswer {
        const credentials = decodeCredentials(request.rawHeaders);
        const identification = keyRing!.identify(credentials, route.isPublic);
        if (identification.kind === "notNeeded") {
            return { route, team: undefined, scope: undefined };
        }
        if (identification.kind === "rejected") {
            metrics.recordKeyRefusal(identification.reason);
            log.warn("call.keyRefused", { call, route: route.name, reason: identification.reason,
                keyDigest: credentials.length === 0 ? undefined : keyDigest(credentials.join()),
                declaration: declaration?.version, declarationAge: Math.round(parts.declarationAge()) });
            return isDeclarationCurrent() ? unauthorizedAnswer : staleDeclarationAnswer();
        }
        if (!route.isPublic && parts.declarationAge() > parts.maxKeyAge) {
            return staleDeclarationAnswer();
        }
        const { team } = identification;
        return { route: { ...route, priority: team?.priority ?? route.priority }, team, scope: team?.name ?? "" };
    }

    /** A body that has not come is not waited for, as that would take the room that is missing. */
    function refuseCall(request: IncomingMessage, response: ServerResponse): undefined {
        metrics.recordMemoryRefusal("call");
        writeLocalAnswer(response, decodeRequest(request.headers)?.id, refusalAnswer({ kind: "memoryFull" }));
        return undefined;
    }

    /** In a gateway that has started while the store is away, calls wait as turns wait for the store. */
    async function waitUntilInitialized(head: CallHead | undefined): Promise<void> {
        const time = maxWait({ timeLeft: head?.deadline ?? Infinity, patience: undeclaredPatienceMs });
        await Promise.race([parts.initialized.then(() => initialized = true), sleep(time, undefined, { ref: false })]);
    }

    /** The answer is 404 only while the declaration is known to be current; otherwise the caller is told to retry. */
    function unknownRouteAnswer(): LocalAnswer {
        return isDeclarationCurrent()
            ? { status: notFound, reason: "no route takes this path" }
            : staleDeclarationAnswer();
    }

    /** Whether no newer declaration can have added what this one does not have. */
    function isDeclarationCurrent(): boolean {
        return routes !== undefined && parts.declarationAge() < maxDeclarationAgeMs;
    }

    function staleDeclarationAnswer(): LocalAnswer {
        return refusalAnswer({ kind: "storeAway", isolated: parts.storeOutage.isIsolated() },
            "the declaration is not known");
    }

    async function drain(deadline: number): Promise<void> {
        closing = true;
        drainDeadline = deadline;
        const closed = new Promise(resolve => server.close(resolve));
        server.closeIdleConnections();
        await Promise.race([closed, sleep(firstRequestTimeoutMs)]);
        while (active > 0) {
            await new Promise<void>(resolve => {
                notifyIdle = resolve;
            });
            server.closeIdleConnections();
        }
        // The end of the process would interrupt any further call, so all are refused.
        drainDeadline = -Infinity;
    }

    return {
        setDeclaration,
        disableKeepAlive() {
            closing = true;
        },
        drain,
        interrupt() {
            drainDeadline = -Infinity;
            exchanges.forEach(exchange => exchange.interrupt());
        },
        activeCalls: () => active,
        async [Symbol.asyncDispose]() {
            clearInterval(reportTimer);
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Who a call comes from, and its route with the priority of that team. */
type CallerIdentity = Pick<ReceivedCall, "route" | "team" | "scope">;

const unauthorizedAnswer: LocalAnswer = { status: unauthorized, reason: "the key is missing, malformed or unknown",
    headers: { "www-authenticate": "Bearer" } };

/** Resolves when the caller has read its answer, or has been disconnected because it did not. */
async function disconnectSlowReader(response: ServerResponse, closed: Promise<void>): Promise<void> {
    const timer = setTimeout(() => response.destroy(), answerReadTimeoutMs);
    await closed;
    clearTimeout(timer);
}

/** Whether a request has more than one `Host` header; Node.js keeps only the first. */
function hasSeveralHosts({ rawHeaders }: IncomingMessage): boolean {
    return rawHeaders.filter((name, index) => index % 2 === 0 && name.toLowerCase() === "host").length > 1;
}

function requestRefusal(failure: BodyFailure | "headTooLarge"): LocalAnswer | undefined {
    switch (failure) {
        case "headTooLarge":
            return { status: headTooLarge, reason: "the head is too large" };
        case "tooLarge":
            return { status: payloadTooLarge, reason: "the body is too large" };
        case "tooSlow":
            return { status: requestTimeout, reason: "the body did not arrive in time" };
        case "noRoom":
            return refusalAnswer({ kind: "memoryFull" });
        case "broken":
            return undefined;
    }
}

/**
 * Waits until the caller has sent the rest of a refused body, for a limited time. If the connection were closed before, it
 * would be reset, and the caller might never read the refusal.
 */
async function discardBody(request: IncomingMessage, maxMs: number): Promise<void> {
    if (request.complete || request.destroyed) {
        return;
    }
    const ended = new Promise<void>(resolve => request.once("end", resolve).once("close", resolve));
    await Promise.race([ended, sleep(maxMs, undefined, { ref: false })]);
}
