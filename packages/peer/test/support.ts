import { type AnswerEvent, type Call, type Completion, systemClock } from "@tamarackgauge/core";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { WebSocket } from "ws";
import { dial } from "../src/connect.ts";
import { createPeers, defaultPeerSettings, type Member, type Peers, type PeersOptions } from "../src/index.ts";
import { createTrafficMeter } from "../src/traffic.ts";

export const clusterKey = "a key that only the tests use";

export const idleHeartbeat = { configurationVersion: 1, ownershipVersion: 1, leaving: false, inFlight: {} };

/** Short timeouts, so that tests that wait for a silence timeout take about a second. */
export const shortTimeouts = { heartbeatIntervalMs: 200, silenceTimeoutMs: 600, handshakeTimeoutMs: 1000,
    initialBackoffMs: 20, maxBackoffMs: 100, secondaryDialDelayMs: 100, checkIntervalMs: 20 };

export function startPeers(name: string, options: Partial<PeersOptions> = {}): Promise<Peers> {
    return createPeers({
        name,
        incarnation: `${name}-1`,
        address: "127.0.0.1",
        port: 0,
        clusterKey,
        clock: systemClock,
        currentHeartbeat: () => idleHeartbeat,
        onHeartbeat: () => {},
        handleCall: (_from, call) => generateTexts(call.offset),
        handleQuery: async (_from, _kind, body) => body,
        ...shortTimeouts,
        ...options,
    });
}

export function createMember(name: string, port: number): Member {
    return { name, address: "127.0.0.1", port };
}

/** Sets the member list of every daemon to the list of all of them. */
export function setAllMembers(daemons: Readonly<Record<string, Peers>>): void {
    const members = Object.entries(daemons).map(([name, peers]) => createMember(name, peers.port));
    Object.values(daemons).forEach(peers => peers.setMembers(members));
}

export function createCall(count: number, request = "r"): Call {
    return { plan: "plan", program: "program", request, atMostOnce: false, end: false, offset: count, digest: "d",
        target: { kind: "tool", service: "s", path: "/", body: "" } };
}

export const completion: Completion = { reason: "stop", status: 200, promptTokens: 1, cachedTokens: 0, tokens: 1,
    durability: "stored", sequence: 0, upstream: "engine" };

/** An answer with `count` texts of four characters each. */
export async function* generateTexts(count: number): AsyncGenerator<AnswerEvent> {
    for (let index = 0; index < count; index += 1) {
        yield { type: "text", offset: 4 * index, text: "text" };
    }
    yield { type: "done", completion };
}

export async function collect(events: AsyncIterable<AnswerEvent>): Promise<AnswerEvent[]> {
    const collected: AnswerEvent[] = [];
    for await (const event of events) {
        collected.push(event);
    }
    return collected;
}

export const neverAborted = new AbortController().signal;

export function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until the condition holds; rejects after `ms`. */
export async function waitUntil(condition: () => boolean, ms = 2000): Promise<void> {
    const deadline = performance.now() + ms;
    while (!condition()) {
        if (performance.now() > deadline) {
            throw new Error(`the condition did not hold within ${ms} ms`);
        }
        await sleep(5);
    }
}

/** A loopback TCP forwarder that can cut its connections or stop forwarding while they stay open. */
export async function startForwarder(port: number): Promise<{
    readonly port: number;
    /** Stops forwarding on the connections that are open; connections opened later work. */
    stopForwarding(): void;
    cut(): void;
    [Symbol.asyncDispose](): Promise<void>;
}> {
    const pairs: [Socket, Socket][] = [];
    const server = createServer(client => {
        const target = connect(port, "127.0.0.1");
        pairs.push([client, target]);
        client.on("data", data => target.write(data)).on("close", () => target.destroy()).on("error", () => {});
        target.on("data", data => client.write(data)).on("close", () => client.destroy()).on("error", () => {});
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as AddressInfo).port,
        stopForwarding() {
            for (const socket of pairs.flat()) {
                socket.removeAllListeners("data").removeAllListeners("close").pause();
            }
        },
        cut: () => pairs.flat().forEach(socket => socket.destroy()),
        async [Symbol.asyncDispose]() {
            pairs.flat().forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
}

/**
 * Connects to the daemon `to`, authenticates as a daemon named `raw` and returns the socket, so that a test can send
 * frames.
 */
export function connectRaw(to: string, port: number, key = clusterKey, incarnation = "1"): Promise<WebSocket> {
    const credentials = { self: { name: "raw", incarnation }, key: Buffer.from(key, "utf8") };
    return new Promise((resolve, reject) => {
        dial(createMember(to, port), credentials, { ...defaultPeerSettings, ...shortTimeouts }, createTrafficMeter(), {
            onAuthenticated: resolve,
            onFailed: (reason, detail) => reject(new Error(`${reason}: ${detail}`)),
        });
    });
}

/** Resolves with the close code when the socket is closed. */
export function closeCode(socket: WebSocket): Promise<number> {
    return new Promise(resolve => socket.once("close", resolve));
}
