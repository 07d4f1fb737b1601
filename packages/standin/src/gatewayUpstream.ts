import { createServer, type IncomingHttpHeaders, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Standin } from "./listener.ts";

/**
 * How an upstream handles a call. `serve` answers; `pause` streams all events but the last and waits for `resume`;
 * `refuse` answers 503 with the header for calls that were not executed; `fail` executes and answers 500; `lose`
 * executes and resets the connection; `break` streams some events and resets the connection; `foreign` answers with the
 * id of another call; `unsigned` answers without a signature; `silent` executes and never answers.
 */
export type UpstreamBehaviour = "serve" | "pause" | "refuse" | "fail" | "lose" | "break" | "foreign" | "unsigned"
    | "silent";

/** A call that an upstream executed. */
export interface ExecutedCall {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

/** A request that reached an upstream, whether it was run or refused. */
export interface Arrival {
    readonly id: string;
    /** When its head was read, in monotonic milliseconds. */
    readonly at: number;
}

/** The rate limit that an upstream names from a time on, until the next one. */
export interface NamedLimit {
    /** When the first answer was sent that names it, in monotonic milliseconds. */
    readonly at: number;
    /** Requests a second from all gateways together; undefined if there is no limit any more. */
    readonly requestsPerSecond: number | undefined;
}

/** An upstream of the users' platform: a model engine that streams events, or a plain service. */
export interface GatewayUpstream extends Standin {
    readonly id: string;
    /** Calls whose execution began, in order of arrival. */
    readonly executed: readonly ExecutedCall[];
    /** All requests, in order of arrival. */
    readonly arrivals: readonly Arrival[];
    /** The rate limits that its answers named, in order of time. */
    readonly namedLimits: readonly NamedLimit[];
    /** Calls whose connection closed before their answer had ended. */
    readonly cancelled: readonly string[];
    /** Adds behaviours to the queue. Each call takes the next one, or `serve` when the queue is empty. */
    behave(...behaviours: readonly UpstreamBehaviour[]): void;
    /** Announces in all further answers that the upstream leaves; `value` is that of the header. */
    leave(value?: string): void;
    /** Names a rate limit in all further answers, or none. A text is sent as it is and is not recorded as a limit. */
    limit(requestsPerSecond: number | string | undefined): void;
    /** Number of calls that wait before their last event. */
    paused(): number;
    /** Lets the paused calls continue. */
    resume(): void;
}

/** Options of an upstream; times in milliseconds. */
export interface GatewayUpstreamOptions {
    readonly id: string;
    /** Number of events of a streamed answer; when omitted, the answer is not streamed. */
    readonly events?: number;
    readonly eventDelayMs?: number;
}

const eventsBeforeBreak = 2;

/** Starts an upstream on a loopback port. */
export async function createGatewayUpstream(
    { id, events, eventDelayMs = 1 }: GatewayUpstreamOptions,
): Promise<GatewayUpstream> {
    const behaviours: UpstreamBehaviour[] = [];
    const executed: ExecutedCall[] = [];
    const arrivals: Arrival[] = [];
    const namedLimits: NamedLimit[] = [];
    const cancelled: string[] = [];
    let leavingHeader: Readonly<Record<string, string>> = {};
    let limit: number | string | undefined;
    const pausedCalls: (() => void)[] = [];
    const server = createServer((request, response) => {
        arrivals.push({ id: String(request.headers["x-request-id"]), at: performance.now() });
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const call: ExecutedCall = { id: String(request.headers["x-request-id"]), method: request.method ?? "",
                path: request.url ?? "", headers: request.headers, body: Buffer.concat(chunks).toString("latin1") };
            response.on("close", () => {
                if (!response.writableFinished) {
                    cancelled.push(call.id);
                }
            });
            void answer(call, response, behaviours.shift() ?? "serve");
        });
    });

    /** The headers about the upstream itself, which stand in all its answers. */
    function announcements(): Readonly<Record<string, string>> {
        return { ...leavingHeader, ...limit === undefined ? {} : { "server-limit": String(limit) } };
    }

    /** Records the limit that an answer names. */
    function recordLimit(): void {
        if (typeof limit !== "string" && limit !== namedLimits.at(-1)?.requestsPerSecond) {
            namedLimits.push({ at: performance.now(), requestsPerSecond: limit });
        }
    }

    async function answer(call: ExecutedCall, response: ServerResponse, behaviour: UpstreamBehaviour): Promise<void> {
        const target = call.headers["x-target-instance"];
        if (target !== undefined && target !== id) {
            response.writeHead(421, { "x-request-id": call.id, "x-instance-id": id, ...announcements() }).end();
            return;
        }
        if (behaviour === "refuse") {
            recordLimit();
            response.writeHead(503, { "x-request-id": call.id, "x-not-executed": "1", ...announcements() }).end();
            return;
        }
        executed.push(call);
        if (behaviour === "silent") {
            return;
        }
        if (behaviour === "lose") {
            response.socket?.resetAndDestroy();
            return;
        }
        const headers = {
            "x-request-id": behaviour === "foreign" ? "another" : call.id,
            ...behaviour === "unsigned" ? {} : { "x-response-signature": `signed.${id}` },
            "x-server-load": "1,0,8,100",
            ...announcements(),
        };
        if (behaviour !== "foreign" && behaviour !== "unsigned") {
            recordLimit();
        }
        if (behaviour === "fail") {
            response.writeHead(500, headers).end("failed");
        }
        else if (events === undefined) {
            response.writeHead(200, headers).end(`answer of ${id} to ${call.id}`);
        }
        else {
            response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
            await stream(call, response, behaviour === "break" ? eventsBeforeBreak : events, behaviour === "pause");
            if (behaviour === "break") {
                response.socket?.resetAndDestroy();
            }
            else {
                response.end();
            }
        }
    }

    async function stream(call: ExecutedCall, response: ServerResponse, lastEvent: number,
        pauseBeforeLast: boolean): Promise<void> {
        const firstEvent = Number(call.headers["last-event-id"] ?? 0) + 1;
        for (let event = firstEvent; event <= lastEvent; event += 1) {
            if (pauseBeforeLast && event === lastEvent) {
                await new Promise<void>(resolve => pausedCalls.push(resolve));
            }
            await new Promise(resolve => setTimeout(resolve, eventDelayMs));
            response.write(`id: ${event}\ndata: event ${event} of ${call.id}\n\n`);
        }
        await new Promise(resolve => setTimeout(resolve, eventDelayMs));
    }

    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        id,
        executed,
        arrivals,
        namedLimits,
        cancelled,
        address: "127.0.0.1",
        port,
        url: `http://127.0.0.1:${port}`,
        leave: (value = "1") => void (leavingHeader = { "server-leaving": value }),
        limit: requestsPerSecond => void (limit = requestsPerSecond),
        paused: () => pausedCalls.length,
        resume: () => pausedCalls.splice(0).forEach(resumeCall => resumeCall()),
        behave: (...nextBehaviours) => void behaviours.push(...nextBehaviours),
        async [Symbol.asyncDispose]() {
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
}
