import { type ByteAccount, createByteBudget, createRouteTable, type Declaration, effectiveTimeout,
    type RouteTable } from "@tamarackgauge/core/gateway";
import { decodeRequest } from "@tamarackgauge/platform";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { type LocalAnswer, writeLocalAnswer } from "./callerAnswer.ts";
import { type Exchange, type ExchangeParts, startExchange } from "./exchange.ts";

/** The server that callers connect to. */
export interface Frontend extends AsyncDisposable {
    /** Takes the routes and limits of a newer declaration. */
    setDeclaration(declaration: Declaration): void;
    /** Lets each connection end with its next answer, so that callers open new ones elsewhere. */
    disableKeepAlive(): void;
    /**
     * Accepts no more connections, and resolves when the last answer has ended. A call that may last longer than until
     * `exitAt`, in monotonic milliseconds, is refused: it would be cut off.
     */
    drain(deadline: number): Promise<void>;
    activeCalls(): number;
}

/** Parts of the front. */
export interface FrontendParts extends ExchangeParts {
    readonly host: string;
    readonly port: number;
    /** Milliseconds since the declaration was last confirmed. */
    readonly declarationAge: () => number;
}

const badRequest = 400;
const notFound = 404;
const requestTimeout = 408;
const payloadTooLarge = 413;
const serviceUnavailable = 503;
const retryDelayMs = 300;
/** The largest head that Node.js reads; the declared limit is checked behind it. */
const maxHeaderBytes = 65_536;
/** A path that is not declared is refused for good only if the declaration was confirmed this lately, in ms. */
const maxDeclarationAgeMs = 4_500;
/** A caller that has not taken its answer for this long after the end of the call is disconnected, in ms. */
const answerReadTimeoutMs = 10_000;
/** A connection that was accepted before a stop may take this long to send its request, in ms. */
const firstRequestTimeoutMs = 1_000;

/** The call has not run, and another gateway takes it at once. */
const stoppingAnswer: LocalAnswer = { status: serviceUnavailable, reason: "the gateway is stopping", retryAfter: 0,
    closeConnection: true };

/** Starts to listen for callers. */
export async function createFrontend(parts: FrontendParts): Promise<Frontend> {
    const { now, log, metrics } = parts;
    let routes: RouteTable | undefined;
    let declaration: Declaration | undefined;
    let closing = false;
    let drainDeadline = Infinity;
    let active = 0;
    let notifyIdle: (() => void) | undefined;
    const byteBudget = createByteBudget(parts.limits.maxBufferedBytes);
    const server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true }, (request, response) => {
        void serve(request, response);
    });
    server.on("clientError", (error: Error & { code?: string; }, socket) => {
        if (socket.writable && error.code !== "ECONNRESET") {
            socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        }
        else {
            socket.destroy();
        }
    });
    await listen(server, parts.host, parts.port);

    function setDeclaration(next: Declaration): void {
        declaration = next;
        routes = createRouteTable(next.routes);
        server.keepAliveTimeout = next.limits.idleTimeout;
        server.headersTimeout = next.limits.headerTimeout;
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const arrivedAt = now();
        active += 1;
        if (closing) {
            response.setHeader("connection", "close");
        }
        let exchange: Exchange | undefined;
        const byteAccount = byteBudget.openAccount();
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
            exchange = await startCall(request, response, arrivedAt, byteAccount);
            await exchange?.done;
        }
        catch (error) {
            log.warn("call.broken", { reason: (error as Error).stack ?? String(error) });
            response.destroy();
        }
        finally {
            metrics.recordCall(exchange?.route ?? "none", response.headersSent ? response.statusCode : 0,
                now() - arrivedAt);
            await waitUntilClosed(response);
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
        const route = routes?.find(request.headers.host ?? "", url);
        if (route === undefined || declaration === undefined) {
            writeLocalAnswer(response, head?.id, unknownRouteAnswer());
            return undefined;
        }
        if (head === undefined) {
            writeLocalAnswer(response, undefined, { status: badRequest, reason: "the request has no identity" });
            return undefined;
        }
        const endsAt = arrivedAt + effectiveTimeout(route, head.deadline);
        if (endsAt > drainDeadline) {
            writeLocalAnswer(response, head.id, stoppingAnswer);
            return undefined;
        }
        const body = await readBody(request, { maxBytes: declaration.limits.bodyBytes, timeoutMs: endsAt - now(),
            account: byteAccount });
        const refusal = typeof body === "string" ? bodyRefusals[body] : undefined;
        if (refusal !== undefined) {
            // What is still to come of the body must not be read as another request.
            response.setHeader("connection", "close");
            writeLocalAnswer(response, head.id, refusal);
            return undefined;
        }
        if (typeof body === "string" || response.destroyed) {
            return undefined;
        }
        const hasBody = body.length > 0 || request.headers["content-length"] !== undefined ||
            request.headers["transfer-encoding"] !== undefined;
        return startExchange(parts, {
            method: request.method ?? "GET",
            path: url,
            rawHeaders: request.rawHeaders,
            head,
            route,
            body: hasBody ? body : undefined,
            byteAccount,
            deadlineAt: endsAt,
        }, response);
    }

    /** What is not declared is unknown for good only while the declaration is known to be the newest. */
    function unknownRouteAnswer() {
        return routes !== undefined && parts.declarationAge() < maxDeclarationAgeMs
            ? { status: notFound, reason: "no route takes this path" }
            : { status: serviceUnavailable, reason: "the declaration is not known", retryAfter: retryDelayMs };
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
        // What still comes would be cut off by the end of the process.
        drainDeadline = -Infinity;
    }

    return {
        setDeclaration,
        disableKeepAlive() {
            closing = true;
        },
        drain,
        activeCalls: () => active,
        async [Symbol.asyncDispose]() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Resolves when the caller has taken its answer, or has been disconnected because it did not. */
async function waitUntilClosed(response: ServerResponse): Promise<void> {
    if (response.closed) {
        return;
    }
    const timer = setTimeout(() => response.destroy(), answerReadTimeoutMs);
    // Not `once` of node:events, which rejects when the response emits an error before it closes.
    await new Promise<void>(resolve => response.once("close", () => resolve()));
    clearTimeout(timer);
}

/** Why a body could not be read. `broken`: the caller has left, and there is nobody to answer. */
type BodyFailure = "tooLarge" | "tooSlow" | "noRoom" | "broken";

const bodyRefusals: Readonly<Record<BodyFailure, LocalAnswer | undefined>> = {
    tooLarge: { status: payloadTooLarge, reason: "the body is too large" },
    tooSlow: { status: requestTimeout, reason: "the body did not arrive in time" },
    noRoom: { status: serviceUnavailable, reason: "too many bodies are held", retryAfter: retryDelayMs },
    broken: undefined,
};

interface BodyLimits {
    /** Bytes. */
    readonly maxBytes: number;
    /** Milliseconds. */
    readonly timeoutMs: number;
    readonly account: ByteAccount;
}

function readBody(request: IncomingMessage,
    { maxBytes, timeoutMs, account }: BodyLimits): Promise<Buffer | BodyFailure> {
    const chunks: Buffer[] = [];
    let length = 0;
    return new Promise(resolve => {
        const timer = setTimeout(() => finish("tooSlow"), timeoutMs);
        request.on("data", appendChunk);
        request.once("end", () => finish(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
        request.once("error", () => finish("broken"));
        request.once("close", () => finish("broken"));

        function appendChunk(chunk: Buffer): void {
            length += chunk.length;
            if (length > maxBytes) {
                finish("tooLarge");
            }
            else if (!account.reserve(chunk.length)) {
                finish("noRoom");
            }
            else {
                chunks.push(chunk);
            }
        }

        function finish(result: Buffer | BodyFailure): void {
            clearTimeout(timer);
            request.off("data", appendChunk);
            // The rest of a body that is refused is thrown away until the answer has gone out.
            request.resume();
            resolve(result);
        }
    });
}

/** Starts a server at an address. */
export function listen(server: Server, host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
