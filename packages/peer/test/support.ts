import { type AnswerEvent, type Call, type Completion, systemClock } from "@tamarackgauge/core";
import { createPeers, type Member, type Peers, type PeersOptions } from "../src/index.ts";

export const clusterKey = "a key that only the tests use";

export const quiet = { configurationVersion: 1, ownershipVersion: 1, leaving: false, inFlight: {} };

/** Short intervals, so that a test of silence takes less than a second. */
export const fast = { beatMs: 100, silenceMs: 300, handshakeMs: 200, backoffMs: 20, backoffLimitMs: 100, yieldMs: 100,
    checkMs: 20 };

export function start(name: string, options: Partial<PeersOptions> = {}): Promise<Peers> {
    return createPeers({
        name,
        incarnation: `${name}-1`,
        address: "127.0.0.1",
        port: 0,
        clusterKey,
        clock: systemClock,
        beat: () => quiet,
        onBeat: () => {},
        serve: (_from, call) => countTo(call.offset),
        answer: async (_from, _kind, body) => body,
        ...fast,
        ...options,
    });
}

export function member(name: string, port: number): Member {
    return { name, address: "127.0.0.1", port };
}

/** Lets each of the daemons know all of them. */
export function introduce(daemons: Readonly<Record<string, Peers>>): void {
    const members = Object.entries(daemons).map(([name, peers]) => member(name, peers.port));
    Object.values(daemons).forEach(peers => peers.setMembers(members));
}

export function callOf(count: number, request = "r"): Call {
    return { plan: "plan", program: "program", request, atMostOnce: false, end: false, offset: count, digest: "d",
        target: { kind: "tool", service: "s", path: "/", body: "" } };
}

export const completion: Completion = { reason: "stop", status: 200, promptTokens: 1, cachedTokens: 0, tokens: 1,
    durability: "stored", sequence: 0, upstream: "engine" };

/** An answer of `count` texts of four characters. */
export async function* countTo(count: number): AsyncGenerator<AnswerEvent> {
    for (let index = 0; index < count; index += 1) {
        yield { type: "text", offset: 4 * index, text: "text" };
    }
    yield { type: "done", completion };
}

export async function collect(events: AsyncIterable<AnswerEvent>): Promise<AnswerEvent[]> {
    const all: AnswerEvent[] = [];
    for await (const event of events) {
        all.push(event);
    }
    return all;
}

export const never = new AbortController().signal;

export function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until the condition holds; rejects after `ms`. */
export async function until(condition: () => boolean, ms = 2000): Promise<void> {
    const end = performance.now() + ms;
    while (!condition()) {
        if (performance.now() > end) {
            throw new Error(`the condition did not hold within ${ms} ms`);
        }
        await sleep(5);
    }
}
