import { rankRelays } from "@tamarackgauge/core/gateway";
import { request } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Peer } from "./peerList.ts";
import { readRelayed } from "./relayFraming.ts";
import { decodeKnowledge, encodeRelayHeaders, relayStatus, relayTarget, type UpstreamKnowledge,
    usesFrames } from "./relayMessage.ts";

/** An upstream to which a connection is opened. */
export interface UpstreamTarget {
    readonly id: string;
    readonly address: { readonly host: string; readonly port: number; };
    readonly dataCentre: string;
    /** Whether it has announced that it leaves, as far as this gateway knows. */
    readonly isLeaving: boolean;
    /** The rate limit that it names, as far as this gateway knows. */
    readonly requestsPerSecond: number | undefined;
}

/** Opens connections to upstreams through other gateways. */
export interface Relays {
    /**
     * Rejects if no gateway that was asked opens the connection, or when the signal is aborted. The connection ends only as the
     * upstream ends it, and fails if the other gateway goes away.
     */
    open(target: UpstreamTarget, signal: AbortSignal): Promise<Duplex>;
    /** Whether the last connection that was asked for could be opened through none of the gateways. */
    areExhausted(): boolean;
}

/** Dependencies of relays. */
export interface RelaysParts {
    readonly name: string;
    readonly dataCentre: string;
    readonly peers: () => readonly Peer[];
    /** Whether a gateway is not to be asked for now. */
    readonly isBackingOff: (peer: string) => boolean;
    /** Called with what a gateway knows of an upstream that it opened no connection to for that reason. */
    readonly onKnowledge: (upstream: string, knowledge: UpstreamKnowledge) => void;
    readonly random: () => number;
    readonly now: () => number;
}

/** Maximum number of gateways that are asked for one connection. Those that are cut off themselves refuse at once. */
const maxAttempts = 8;
/** A connection is given up once so many gateways have said that they do not reach the upstream. */
const maxUnreachable = 2;
/** Time for a gateway to open the connection, more than it takes itself for that. */
const openTimeoutMs = 400;
/** Time for which a gateway that did not open a connection is not asked. */
const refusalBackoffMs = 1_000;
const failureBackoffMs = 2_000;
const keepAliveDelayMs = 1_000;

/** What became of a request for a connection. */
type RelayOutcome =
    | { readonly kind: "opened"; readonly socket: Duplex; }
    | { readonly kind: "upstreamUnreachable"; readonly knowledge: UpstreamKnowledge; }
    | { readonly kind: "unavailable" | "failed" | "aborted"; };

/** Creates relays; no connection is open yet. */
export function createRelays(parts: RelaysParts): Relays {
    const { name, dataCentre, peers, isBackingOff, onKnowledge, random, now } = parts;
    const backoffUntil = new Map<string, number>();
    let exhausted = false;

    function candidates(target: UpstreamTarget): readonly Peer[] {
        const usable = peers().filter(peer =>
            peer.name !== name && !isBackingOff(peer.name) && (backoffUntil.get(peer.name) ?? -Infinity) <= now()
        );
        return rankRelays(usable, dataCentre, target.dataCentre, random);
    }

    async function open(target: UpstreamTarget, signal: AbortSignal): Promise<Duplex> {
        let unreachable = 0;
        for (const peer of candidates(target).slice(0, maxAttempts)) {
            const outcome = await requestConnection(peer, target, signal);
            if (outcome.kind === "opened") {
                exhausted = false;
                return outcome.socket;
            }
            if (outcome.kind === "aborted") {
                throw new Error("the connection is not needed any more");
            }
            if (outcome.kind !== "upstreamUnreachable") {
                const backoffMs = outcome.kind === "unavailable" ? refusalBackoffMs : failureBackoffMs;
                backoffUntil.set(peer.name, now() + backoffMs);
                continue;
            }
            const { isLeaving, requestsPerSecond } = outcome.knowledge;
            if (isLeaving || requestsPerSecond !== undefined) {
                onKnowledge(target.id, outcome.knowledge);
                throw new Error("the upstream leaves or has a rate limit, as another gateway knows");
            }
            unreachable += 1;
            if (unreachable >= maxUnreachable) {
                throw new Error("the upstream cannot be reached from other gateways either");
            }
        }
        exhausted = unreachable === 0;
        throw new Error("no other gateway opens a connection to the upstream");
    }

    return { open, areExhausted: () => exhausted };
}

function requestConnection({ address }: Peer, target: UpstreamTarget, signal: AbortSignal): Promise<RelayOutcome> {
    return new Promise(resolve => {
        const outgoing = request({ ...address, method: "CONNECT", path: relayTarget,
            headers: encodeRelayHeaders(target), agent: false, signal });
        const timer = setTimeout(() => outgoing.destroy(), openTimeoutMs);
        outgoing.on("connect", ({ statusCode, headers }, stream, head) => {
            clearTimeout(timer);
            const socket: Socket = stream;
            if (statusCode !== relayStatus.opened) {
                socket.destroy();
                resolve(statusCode === relayStatus.upstreamUnreachable
                    ? { kind: "upstreamUnreachable", knowledge: decodeKnowledge(headers) }
                    : { kind: "unavailable" });
                return;
            }
            socket.setNoDelay(true);
            socket.setKeepAlive(true, keepAliveDelayMs);
            if (head.length > 0) {
                socket.unshift(head);
            }
            resolve({ kind: "opened", socket: readRelayed(socket, usesFrames(headers)) });
        });
        outgoing.on("error", () => resolve({ kind: signal.aborted ? "aborted" : "failed" }));
        outgoing.on("close", () => {
            clearTimeout(timer);
            resolve({ kind: signal.aborted ? "aborted" : "failed" });
        });
        outgoing.end();
    });
}
