import { type AnswerEvent, type Call, type Clock, type Configuration, type Refusal, RefusalError, refuse, type Route,
    type RouteRequest, systemClock } from "@tamarackgauge/core";
import debug from "debug";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type BodyMemory, receiveBody } from "./body.ts";
import { createCalls } from "./calls.ts";
import { watchConnections } from "./connections.ts";
import { findEndpoint } from "./endpoint.ts";
import { defaultLimits, type Limits } from "./limits.ts";
import { end, sendRefusal } from "./writer.ts";

const log = debug("tamarackgauge:caller");

/** A route whose handler writes the response itself, for example a long export. */
export interface StreamingRoute {
    readonly method: string;
    readonly path: string;
    /** Returns a refusal if the request must not be handled. */
    authorize?(headers: RouteRequest["headers"]): Refusal | undefined;
    respond(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

/** Options of `createFront`. */
export interface FrontOptions {
    /** IP address and TCP port to listen on; port 0 selects a free port. */
    readonly address: string;
    readonly port: number;
    readonly limits?: Partial<Limits>;
    /** The configuration in force, or undefined while the daemon cannot confirm one. */
    readonly configuration: () => Configuration | undefined;
    /**
     * Serves a call. The signal is aborted when the caller disconnects, or with a `RefusalError` when the front
     * closes. The next event is pulled only after the previous one has been written to the caller (backpressure).
     */
    readonly serve: (call: Call, signal: AbortSignal) => AsyncIterable<AnswerEvent>;
    /** Ends a program; returns a refusal if that is not possible. */
    readonly endProgram: (plan: string, program: string) => Promise<Refusal | undefined>;
    /** Why the daemon is not ready for new calls; undefined if it is ready. */
    readonly unreadyReason?: () => string | undefined;
    /** Returns the metrics in the text format of Prometheus. */
    readonly metrics?: () => Promise<string>;
    readonly routes?: readonly (Route | StreamingRoute)[];
    readonly clock?: Clock;
    /** Called for each refusal that is sent to a caller, for metrics. */
    readonly onRefusal?: (refusal: Refusal) => void;
}

/** The HTTP server for callers. Disposal ends the open calls with the refusal `leaving` and closes all connections. */
export interface Front extends AsyncDisposable {
    readonly port: number;
    /** Number of calls that are open now. */
    openCalls(): number;
    /** Refuses new calls and resolves when the open calls have ended. The port stays open until disposal. */
    drain(): Promise<void>;
}

/** Time for cancelled calls to receive their last answer. */
const cancelTimeoutMs = 1000;

/** Starts the HTTP server for callers. Rejects if the port cannot be opened. */
export async function createFront(options: FrontOptions): Promise<Front> {
    const limits: Limits = { ...defaultLimits, ...options.limits };
    const { onRefusal = () => undefined, clock = systemClock, routes = [], unreadyReason, metrics } = options;
    const bodyMemory: BodyMemory = { usedBytes: 0, limitBytes: Math.max(limits.maxTotalBody, limits.maxBody) };
    const calls = createCalls({ ...options, limits, bodyMemory, clock, onRefusal });
    const server = createServer(serverOptions(limits));
    const connections = watchConnections(server, limits, onRefusal);
    let draining = false;

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        // A disconnect is handled on `close`, but an `error` event without a listener would end the process.
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        if (draining) {
            response.setHeader("connection", "close");
        }
        try {
            connections.claim(request, response);
            await answer(request, response);
        }
        catch (error) {
            await fail(request, response, error);
        }
    }

    async function fail(request: IncomingMessage, response: ServerResponse, error: unknown): Promise<void> {
        if (response.closed || response.headersSent) {
            response.destroy();
            return;
        }
        if (!(error instanceof RefusalError)) {
            log("a request failed: %o", error);
        }
        const refusal = error instanceof RefusalError ? error.refusal : refuse("internal", "unknown");
        onRefusal(refusal);
        await sendRefusal(request, response, refusal);
    }

    async function answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const endpoint = findEndpoint(request.method ?? "", request.url ?? "", routes);
        switch (endpoint.kind) {
            case "unknown":
                throw new RefusalError(refuse("unknown_path", "notRun"));
            case "otherMethod":
                response.setHeader("allow", endpoint.allowed.join(", "));
                throw new RefusalError(refuse("method_not_allowed", "notRun"));
            case "health":
                return sendText(response, 200, "ok\n");
            case "ready":
                return sendReadiness(response);
            case "metrics":
                return sendText(response, 200, await metrics?.() ?? "", "text/plain; version=0.0.4");
            case "added":
                return answerAdded(endpoint.added, request, response);
            default:
                return calls.answer({ kind: endpoint.kind, rest: endpoint.rest, request, response });
        }
    }

    async function sendText(response: ServerResponse, status: number, text: string, type = "text/plain") {
        response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(text) });
        await end(response, text, limits.writeTimeout);
    }

    function sendReadiness(response: ServerResponse): Promise<void> {
        const reason = draining ? "the daemon is leaving" : unreadyReason?.();
        return sendText(response, reason === undefined ? 200 : 503, `${reason ?? "ready"}\n`);
    }

    async function answerAdded(added: Route | StreamingRoute, request: IncomingMessage, response: ServerResponse) {
        const refusal = added.authorize?.(request.headers);
        if (refusal !== undefined) {
            throw new RefusalError(refusal);
        }
        await ("respond" in added ? added.respond(request, response) : answerRoute(added, request, response));
    }

    async function answerRoute(route: Route, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const controller = new AbortController();
        response.on("close", () => controller.abort());
        const { headers, method = "", url = "" } = request;
        const body = (await receiveBody(request, response, limits.maxBody, bodyMemory)).toString("utf8");
        const [path = "", query = ""] = url.split("?", 2);
        const { signal } = controller;
        const result = await route.handle({ method, path, query: new URLSearchParams(query), headers, body, signal });
        response.writeHead(result.status, { ...result.headers, "content-length": Buffer.byteLength(result.body) });
        await end(response, result.body, limits.writeTimeout);
    }

    function onRequest(request: IncomingMessage, response: ServerResponse): void {
        handle(request, response).catch((error: unknown) => {
            log("a refusal could not be sent: %o", error);
            response.destroy();
        });
    }

    server.on("request", onRequest);
    server.on("checkContinue", onRequest);
    server.listen(options.port, options.address);
    await once(server, "listening");
    log("listening on %s:%d", options.address, (server.address() as AddressInfo).port);

    return {
        port: (server.address() as AddressInfo).port,
        openCalls: () => calls.count(),
        drain: async () => {
            draining = true;
            calls.close();
            server.closeIdleConnections();
            await calls.finished();
            server.closeIdleConnections();
        },
        [Symbol.asyncDispose]: async () => {
            draining = true;
            calls.close();
            const closed = once(server, "close");
            server.close();
            calls.cancel(refuse("leaving", "unknown", undefined, 1000));
            await Promise.race([calls.finished(),
                new Promise(resolve => setTimeout(resolve, cancelTimeoutMs).unref())]);
            server.closeAllConnections();
            await closed;
        },
    };
}

function serverOptions(limits: Limits) {
    return {
        maxHeaderSize: limits.maxHeader,
        headersTimeout: limits.headerTimeout,
        requestTimeout: limits.requestTimeout,
        connectionsCheckingInterval: Math.min(1000, limits.headerTimeout),
        keepAliveTimeout: 30_000,
        // Node itself would answer a missing host header, without a result code; nothing here needs the header.
        requireHostHeader: false,
    };
}
