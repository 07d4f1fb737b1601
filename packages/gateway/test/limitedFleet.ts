import { createStore } from "@tamarackgauge/platform";
import { createForwarder, createGatewayUpstream, type Forwarder, type GatewayUpstream } from "@tamarackgauge/standin";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { findLimitExcesses } from "../bench/rateLimitJudge.ts";
import { defaultPeerListTimes, type PeerListTimes } from "../src/peerList.ts";
import { call, createFleet, type Fleet, freeAddress, type TestCall, type TestGateway, turnCall,
    waitUntilReady } from "./harness.ts";

/** Shorter than those of a running gateway, so that the gateways agree before the load begins. */
const peerListTimes: PeerListTimes = { ...defaultPeerListTimes, secondRefreshDelay: 300, refreshInterval: 300,
    settling: 600 };
const gatewayNames = ["g1", "g2", "g3"] as const;

/** Gateways that know each other from the start, two engines and two tools. */
export interface LimitedFleet extends AsyncDisposable {
    readonly fleet: Fleet;
    /** The gateways that callers use. */
    readonly gateways: TestGateway[];
    readonly engines: readonly GatewayUpstream[];
    readonly tools: readonly GatewayUpstream[];
    /** What the other gateways' links to each gateway pass through. */
    readonly links: readonly Forwarder[];
    /** Ends a gateway and starts it anew. */
    restart(index: number): Promise<void>;
}

/** What a caller got. */
export interface CallerOutcome {
    readonly id: string;
    readonly path: string;
    readonly gateway: TestGateway;
    /** 0 if the connection ended without an answer. */
    readonly status: number;
    readonly sentAt: number;
    readonly durationMs: number;
    /** Seconds after which the caller is to come back, if the answer names them. */
    readonly retryAfter: number | undefined;
    readonly body: string;
}

/** Starts the fleet. */
export async function startLimitedFleet(): Promise<LimitedFleet> {
    const fleet = await createFleet();
    const spareTool = await createGatewayUpstream({ id: "i-spare-tool" });
    fleet.registerUpstream(fleet.spareEngine);
    fleet.registerUpstream(spareTool, { backend: "tools" });
    const peerAddresses = await Promise.all(gatewayNames.map(() => freeAddress()));
    const links = await Promise.all(peerAddresses.map(({ port }) => createForwarder({ target: port })));
    const storeEndpoint = await fleet.rowStore.open();
    const store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    await Promise.all(links.map((_, index) => registerLink(index)));
    const gateways: TestGateway[] = [];
    for (const index of gatewayNames.keys()) {
        gateways.push(await startLinked(index));
    }
    await sleep(peerListTimes.settling);

    async function startLinked(index: number): Promise<TestGateway> {
        const settings = { name: gatewayNames[index]!, peerAddress: peerAddresses[index]! };
        const gateway = await fleet.startGateway(settings, undefined, peerListTimes);
        await waitUntilReady(gateway);
        // A gateway registers its own address as it starts.
        await registerLink(index);
        return gateway;
    }

    async function registerLink(index: number): Promise<void> {
        const value = Buffer.from(pack(["127.0.0.1", links[index]!.port, "a"]));
        await store.change({ puts: [{ table: "gateways", part: "", key: gatewayNames[index]!, value }] }, {
            timeout: 1_000,
        });
    }

    return {
        fleet,
        gateways,
        engines: [fleet.engine, fleet.spareEngine],
        tools: [fleet.tool, spareTool],
        links,
        async restart(index) {
            await gateways[index]![Symbol.asyncDispose]();
            gateways[index] = await startLinked(index);
        },
        async [Symbol.asyncDispose]() {
            await fleet[Symbol.asyncDispose]();
            await Promise.all([store, spareTool, ...links].map(part => part[Symbol.asyncDispose]()));
        },
    };
}

let lastCall = 0;

/** The next call of a kind. Each turn begins a program. */
const callsByKind = {
    turn: (id: string): TestCall => turnCall(id, `p${id}`),
    plan: (id: string): TestCall => ({ path: "/plan/x", id, body: "x" }),
    look: (id: string): TestCall => ({ path: "/look/x", id }),
    pay: (id: string): TestCall => ({ path: "/pay/x", id, body: "x" }),
};

/** Kind of a call: two for engines, two for tools. */
export type CallKind = keyof typeof callsByKind;

const callers = 9;
/** Time between two calls of a caller, so that all of them together make some 60 calls a second. */
const pauseMs = 130;

/** Lets callers press on all gateways alike, until the time is over. */
export async function press({ gateways }: LimitedFleet, kinds: readonly CallKind[],
    durationMs: number): Promise<readonly CallerOutcome[]> {
    const outcomes: CallerOutcome[] = [];
    const endsAt = performance.now() + durationMs;
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
        await sleep(caller * pauseMs / callers);
        for (let index = caller; performance.now() < endsAt; index += 1) {
            const gateway = gateways[index % gateways.length]!;
            const kind = kinds[Math.floor(index / gateways.length) % kinds.length]!;
            outcomes.push(await makeCall(gateway, kind));
            await sleep(pauseMs);
        }
    }));
    return outcomes;
}

async function makeCall(gateway: TestGateway, kind: CallKind): Promise<CallerOutcome> {
    const outgoing = callsByKind[kind](`c${lastCall += 1}`);
    const sentAt = performance.now();
    const answer = await call(gateway, outgoing).catch(() => undefined);
    const retryAfter = answer?.headers["retry-after"];
    return { id: outgoing.id, path: outgoing.path, gateway, status: answer?.status ?? 0, sentAt,
        durationMs: performance.now() - sentAt, retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
        body: answer?.body ?? "" };
}

/** Asserts that no upstream got more requests than its limits allow. */
export function assertWithinLimits(upstreams: readonly GatewayUpstream[]): void {
    for (const { id, arrivals, namedLimits } of upstreams) {
        assert.deepEqual(findLimitExcesses(arrivals.map(({ at }) => at), namedLimits), [], id);
    }
}

/** Share of the named limit that an upstream must be sent while callers press. */
const minUsedShare = 0.5;

/** Asserts that an upstream got a fair part of the requests that it takes. */
export function assertUsed({ id, arrivals, namedLimits }: GatewayUpstream, requestsPerSecond: number, from: number,
    to: number): void {
    assert.ok(namedLimits.length > 0, `${id} has named its limit`);
    const requests = arrivals.filter(({ at }) => at >= from && at < to).length;
    const wanted = requestsPerSecond * minUsedShare * (to - from) / 1_000;
    assert.ok(requests >= wanted, `${id} got ${requests} requests, at least ${wanted} wanted`);
}

/** Time within which a call that cannot be served is refused, and within which half of them are. */
const maxRefusalMs = 1_000;
const maxMedianRefusalMs = 300;

/** Asserts that all calls were served, or refused at once with a time to come back. */
export function assertServedOrRefused(outcomes: readonly CallerOutcome[]): void {
    assert.deepEqual(outcomes.filter(({ status }) => status !== 200 && status !== 503).map(describe), []);
    const refusals = outcomes.filter(({ status }) => status === 503);
    assert.deepEqual(refusals.filter(({ retryAfter = 0 }) => !(retryAfter > 0)).map(describe), []);
    assert.deepEqual(refusals.filter(({ durationMs }) => durationMs > maxRefusalMs).map(describe), []);
    const durations = refusals.map(({ durationMs }) => durationMs).sort((left, right) => left - right);
    const median = durations[Math.floor(durations.length / 2)] ?? 0;
    assert.ok(median <= maxMedianRefusalMs, `half of ${refusals.length} refusals took longer than ${median} ms`);
}

/** Asserts that no call failed, as some upstream has room for each. */
export function assertAllServed(outcomes: readonly CallerOutcome[]): void {
    assert.deepEqual(outcomes.filter(({ status }) => status !== 200).map(describe), []);
}

function describe({ id, path, gateway, status, durationMs, retryAfter, body }: CallerOutcome): string {
    const lines = gateway.logLines.filter(({ fields }) => fields.call === id);
    return `${path} at ${gateway.settings.name}: ${status} after ${Math.round(durationMs)} ms, to come back after ` +
        `${retryAfter} s: ${body} ${JSON.stringify(lines)}`;
}
