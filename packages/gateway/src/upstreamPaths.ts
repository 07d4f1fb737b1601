import { UpstreamReach } from "@tamarackgauge/core/gateway";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { connectDirectly, type DirectConnector } from "./directConnection.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Relays, UpstreamTarget } from "./relays.ts";

/** How a connection to an upstream was opened: by this gateway, or by another one for it. */
export type PathKind = UpstreamPath["kind"];

/** A connection to an upstream. */
export type UpstreamPath =
    | { readonly kind: "direct"; readonly socket: Socket; }
    /** Ends only as the upstream ends it; fails if it is reset or the other gateway goes away. */
    | { readonly kind: "relayed"; readonly socket: Duplex; };

/** A call under way on a connection of this gateway's own. */
export interface WatchedCall extends Disposable {
    /** Notes that bytes of the upstream have come. */
    heard(): void;
}

/** Ways from this gateway to upstreams. */
export interface UpstreamPaths extends Disposable {
    /** Opens a connection directly or, if that fails or takes long, through another gateway. */
    open(target: UpstreamTarget): Promise<UpstreamPath>;
    openDirectly(target: UpstreamTarget, timeoutMs: number, signal?: AbortSignal): Promise<Socket>;
    /** Watches a call, as connections that were cut off may stay open without a sign. */
    watch(): WatchedCall;
    /** Whether this gateway reaches no upstream over connections of its own. */
    isCutOff(): boolean;
    /** Whether it reaches none through other gateways either. */
    isStranded(): boolean;
    /** Calls the listener each time that the gateway is found to be cut off. Returns a function that removes it. */
    onCutOff(listener: () => void): () => void;
}

/** Dependencies of paths. */
export interface UpstreamPathsParts {
    /** Undefined if there are no other gateways. */
    readonly relays: Relays | undefined;
    /** All upstreams that are known. */
    readonly targets: () => readonly UpstreamTarget[];
    readonly connect?: DirectConnector;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
    readonly random: () => number;
}

/** Time for a connection, whichever way. */
const connectTimeoutMs = 600;
/** A direct connection has this time before another gateway is asked too. */
const relayDelayMs = 150;
/** Time for a direct connection while the gateway is cut off. */
const cutOffConnectTimeoutMs = 150;
/** Time for the connections that show whether the gateway still reaches upstreams, and their number. */
const checkTimeoutMs = 300;
const checkedUpstreams = 2;
/** How often a gateway that is cut off looks whether it reaches upstreams again. */
const cutOffCheckIntervalMs = 500;

/** Paths of a process without other gateways. */
export function createDirectPaths(connect: DirectConnector = connectDirectly): UpstreamPaths {
    const openDirectly = ({ address }: UpstreamTarget, timeoutMs: number, signal?: AbortSignal) =>
        connect(address, timeoutMs, signal);
    return {
        open: async target => ({ kind: "direct", socket: await openDirectly(target, connectTimeoutMs) }),
        openDirectly,
        watch: () => ({ heard: () => undefined, [Symbol.dispose]: () => undefined }),
        isCutOff: () => false,
        isStranded: () => false,
        onCutOff: () => () => undefined,
        [Symbol.dispose]: () => undefined,
    };
}

/** Creates paths; no connection is open yet. */
export function createUpstreamPaths(parts: UpstreamPathsParts): UpstreamPaths {
    const { relays, targets, connect = connectDirectly, metrics, log, now, random } = parts;
    if (relays === undefined) {
        return createDirectPaths(connect);
    }
    const reach = new UpstreamReach();
    /** When the bytes last came of each call under way, or when it was sent. */
    const silentSince = new Map<object, number>();
    const cutOffListeners = new Set<() => void>();
    let cutOffAt: number | undefined;
    let checkTimer: NodeJS.Timeout | undefined;

    function recordContact(): void {
        reach.recordContact(now());
        if (cutOffAt !== undefined) {
            log.info("upstreams.reached", { after: Math.round(now() - cutOffAt) });
            cutOffAt = undefined;
        }
    }

    function recordFailure(target: UpstreamTarget, startedAt: number): void {
        reach.recordFailure(target.id, startedAt);
        if (cutOffAt === undefined && reach.isCutOff(targets().length)) {
            cutOffAt = now();
            log.warn("upstreams.cutOff", { calls: silentSince.size });
            scheduleCheck();
            cutOffListeners.forEach(listener => listener());
        }
    }

    async function openDirectly(target: UpstreamTarget, timeoutMs: number, signal?: AbortSignal): Promise<Socket> {
        const startedAt = now();
        try {
            const socket = await connect(target.address, timeoutMs, signal);
            recordContact();
            return socket;
        }
        catch (error) {
            if (signal?.aborted !== true) {
                recordFailure(target, startedAt);
            }
            throw error;
        }
    }

    async function open(target: UpstreamTarget): Promise<UpstreamPath> {
        // Two controllers and a timer, as Node.js 20 may keep signals that `AbortSignal.any` makes of one with a timeout.
        const [opening, relaying] = [new AbortController(), new AbortController()];
        const timer = setTimeout(() => relaying.abort(), connectTimeoutMs);
        const startedAt = now();
        const timeoutMs = cutOffAt === undefined ? connectTimeoutMs : cutOffConnectTimeoutMs;
        const direct = openDirectly(target, timeoutMs, opening.signal);
        const relayed = openRelayed(target, direct, relaying.signal);
        const paths: readonly Promise<UpstreamPath>[] = [direct.then(socket => ({ kind: "direct", socket })),
            relayed.then(socket => ({ kind: "relayed", socket }))];
        try {
            const path = await Promise.any(paths);
            metrics.recordUpstreamConnection(path.kind);
            if (path.kind === "relayed") {
                // Another gateway has reached the upstream before this one.
                recordFailure(target, startedAt);
            }
            // Both may have been opened.
            paths.forEach(other => void other.then(({ socket }) => closeUnless(path, socket), () => undefined));
            return path;
        }
        catch (error) {
            throw (error as AggregateError).errors[0] as Error;
        }
        finally {
            clearTimeout(timer);
            opening.abort();
            relaying.abort();
        }
    }

    /** Waits for the direct connection, unless the gateway is cut off, before another gateway is asked. */
    async function openRelayed(target: UpstreamTarget, direct: Promise<Socket>, signal: AbortSignal): Promise<Duplex> {
        if (cutOffAt === undefined) {
            const failed = new Promise<void>(resolve => void direct.catch(() => resolve()));
            await Promise.race([failed, sleep(relayDelayMs, undefined, { signal, ref: false })]);
        }
        return relays!.open(target, signal);
    }

    function watch(): WatchedCall {
        const call = {};
        silentSince.set(call, now());
        scheduleCheck();
        return {
            heard() {
                silentSince.set(call, now());
                recordContact();
            },
            [Symbol.dispose]: () => void silentSince.delete(call),
        };
    }

    /** Milliseconds until the next check; undefined if none is needed. */
    function timeUntilCheck(): number | undefined {
        if (cutOffAt !== undefined) {
            return cutOffCheckIntervalMs;
        }
        return silentSince.size === 0
            ? undefined
            : reach.timeUntilCheck(Math.min(...silentSince.values()), now());
    }

    function scheduleCheck(): void {
        const delay = timeUntilCheck();
        if (checkTimer === undefined && delay !== undefined) {
            checkTimer = setTimeout(() => void checkIfDue(), Math.max(1, delay));
            checkTimer.unref();
        }
    }

    async function checkIfDue(): Promise<void> {
        if (cutOffAt !== undefined || (timeUntilCheck() ?? Infinity) <= 0) {
            await check();
        }
        checkTimer = undefined;
        scheduleCheck();
    }

    /** Opens connections only to see whether that is possible. */
    async function check(): Promise<void> {
        reach.recordCheck(now());
        const known = [...targets()];
        const chosen = Array.from({ length: Math.min(checkedUpstreams, known.length) },
            () => known.splice(Math.floor(random() * known.length), 1)[0]!);
        await Promise.all(
            chosen.map(target =>
                openDirectly(target, checkTimeoutMs).then(socket => socket.destroy(), () => undefined)
            ),
        );
    }

    return {
        open,
        openDirectly,
        watch,
        isCutOff: () => cutOffAt !== undefined,
        isStranded: () => cutOffAt !== undefined && relays.areExhausted(),
        onCutOff(listener) {
            cutOffListeners.add(listener);
            return () => void cutOffListeners.delete(listener);
        },
        [Symbol.dispose]: () => clearTimeout(checkTimer),
    };
}

function closeUnless(used: UpstreamPath, socket: Duplex): void {
    if (socket !== used.socket) {
        socket.destroy();
    }
}
