import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Writable } from "node:stream";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { createFrameEncoder } from "./relayFraming.ts";
import { decodeKnowledge, decodeRelayHeaders, encodeKnowledge, framesAnswerHeaders, relayStatus, type UpstreamKnowledge,
    usesFrames } from "./relayMessage.ts";
import type { UpstreamTarget } from "./relays.ts";
import { detectReset } from "./upstreamConnector.ts";

/** Opens connections to upstreams for gateways that do not reach them. */
export interface RelayServer extends Disposable {
    /** Takes a request for a connection. */
    serve(request: IncomingMessage, caller: Socket): void;
    /** Opens no further connections; resolves when the gateways that asked have closed all of them. */
    drain(): Promise<void>;
}

/** Dependencies of a relay server. */
export interface RelayServerParts {
    /** The upstream with an id; undefined if there is none. No other address is connected to. */
    readonly findTarget: (id: string) => UpstreamTarget | undefined;
    /** Whether this gateway reaches no upstream itself. */
    readonly isCutOff: () => boolean;
    readonly openDirectly: (target: UpstreamTarget, timeoutMs: number) => Promise<Socket>;
    /** Maximum number of connections that are relayed at a time. */
    readonly maxConnections: number;
    readonly metrics: Metrics;
    readonly log: Log;
}

/** Shorter than what the asking gateway waits for, so that it is told that the upstream is out of reach. */
const connectTimeoutMs = 250;
/** A relayed connection without any bytes is closed after this time, as the other gateway may be gone without a sign. */
const idleTimeoutMs = 120_000;
/** Shares of the descriptors and of the memory that relayed connections may take. */
const descriptorShare = 0.1;
const memoryShare = 0.05;
const descriptorsEach = 2;
/** What is read ahead in both directions while the other side does not read on. */
const bytesEach = 96 * 1_024;
const maxRelayed = 256;

/** How many connections a process of the given size relays at a time. */
export function relayCapacity(memoryBytes = Infinity, maxDescriptors = Infinity): number {
    return Math.min(maxRelayed, Math.floor(maxDescriptors * descriptorShare / descriptorsEach),
        Math.floor(memoryBytes * memoryShare / bytesEach));
}

/** Starts relaying. */
export function createRelayServer(parts: RelayServerParts): RelayServer {
    const { findTarget, isCutOff, openDirectly, maxConnections, metrics, log } = parts;
    const callers = new Set<Socket>();
    let draining = false;
    let notifyDrained: (() => void) | undefined;

    async function relay(request: IncomingMessage, caller: Socket): Promise<void> {
        const id = decodeRelayHeaders(request.headers);
        const target = id === undefined ? undefined : findTarget(id);
        if (draining || isCutOff() || callers.size > maxConnections) {
            refuse(caller, relayStatus.unavailable);
            return;
        }
        if (target !== undefined && isUnaware(decodeKnowledge(request.headers), target)) {
            refuse(caller, relayStatus.upstreamUnreachable, encodeKnowledge(target));
            return;
        }
        const upstream = target === undefined
            ? undefined
            : await openDirectly(target, connectTimeoutMs).catch(() => undefined);
        if (upstream === undefined) {
            refuse(caller, relayStatus.upstreamUnreachable);
        }
        else if (caller.destroyed) {
            upstream.destroy();
        }
        else {
            metrics.recordRelay("opened");
            const framed = usesFrames(request.headers);
            caller.write(encodeHead(relayStatus.opened, "OK", framed ? framesAnswerHeaders : {}));
            join(caller, upstream, framed);
        }
    }

    function forget(caller: Socket): void {
        callers.delete(caller);
        if (callers.size === 0) {
            notifyDrained?.();
        }
    }

    function refuse(caller: Socket, status: number, headers: Readonly<Record<string, string>> = {}): void {
        metrics.recordRelay(status === relayStatus.unavailable ? "refused" : "unreachable");
        caller.end(encodeHead(status, "Refused", { ...headers, connection: "close" }));
    }

    return {
        serve(request, caller) {
            callers.add(caller);
            caller.once("close", () => forget(caller));
            // What broke is seen by the close that follows.
            caller.on("error", () => undefined);
            relay(request, caller).catch((error: Error) => {
                log.warn("relay.broken", { reason: error.stack ?? error.message });
                caller.destroy();
            });
        },
        async drain() {
            draining = true;
            if (callers.size > 0) {
                await new Promise<void>(resolve => notifyDrained = resolve);
            }
        },
        [Symbol.dispose]: () => callers.forEach(caller => caller.destroy()),
    };
}

function encodeHead(status: number, reason: string, headers: Readonly<Record<string, string>>): string {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 ${status} ${reason}\r\n${lines.join("")}\r\n`;
}

/**
 * Whether the gateway that asks does not know that the upstream leaves or has a rate limit. What it would send would come from
 * this gateway, which must not send so.
 */
function isUnaware(known: UpstreamKnowledge, { isLeaving, requestsPerSecond }: UpstreamTarget): boolean {
    return (isLeaving && !known.isLeaving) ||
        (requestsPerSecond !== undefined && known.requestsPerSecond === undefined);
}

/**
 * Passes on all bytes between a gateway and an upstream. A connection that the upstream resets is reset, so that an answer
 * without a length is not taken for whole; one that the gateway closes is closed, so that the upstream stops its work. In
 * frames the upstream's end is told apart from that of this process.
 */
function join(caller: Socket, upstream: Socket, framed: boolean): void {
    const wasReset = detectReset(upstream);
    const toCaller: Writable = framed ? frameTo(caller) : caller;
    upstream.on("error", () => undefined);
    upstream.once("end", () => void wasReset().then(isReset => isReset ? caller.resetAndDestroy() : toCaller.end()));
    upstream.once("close", () => {
        if (!upstream.readableEnded) {
            caller.resetAndDestroy();
        }
    });
    caller.once("end", () => upstream.destroy());
    caller.once("close", () => upstream.destroy());
    caller.setTimeout(idleTimeoutMs, () => caller.destroy());
    caller.setNoDelay(true);
    upstream.pipe(toCaller, { end: false });
    caller.pipe(upstream, { end: false });
}

/** A stream that writes to the caller in frames. */
function frameTo(caller: Socket): Writable {
    const encoder = createFrameEncoder();
    encoder.pipe(caller);
    return encoder;
}
