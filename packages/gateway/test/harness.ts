import type { GatewaySettings } from "@tamarackgauge/core/gateway";
import { createStore } from "@tamarackgauge/platform";
import { createGatewayUpstream, createRowStore, type GatewayUpstream, type RowStore, type RowStoreFault,
    type RowStoreListener } from "@tamarackgauge/standin";
import { once } from "node:events";
import { type Agent, type ClientRequest, type IncomingHttpHeaders, request } from "node:http";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createGateway, type Gateway } from "../src/index.ts";
import { defaultLimits } from "../src/limits.ts";
import type { Log, LogFields } from "../src/log.ts";
import { defaultPeerListTimes, type PeerListTimes } from "../src/peerList.ts";

/** A gateway under test, with its own store endpoint, for which faults can be injected. */
export interface TestGateway extends AsyncDisposable {
    readonly gateway: Gateway;
    readonly settings: GatewaySettings;
    readonly storeEndpoint: RowStoreListener;
    readonly logLines: readonly { readonly event: string; readonly fields: LogFields; }[];
    readinessStatus(): Promise<number>;
}

/** An answer as a caller sees it. */
export interface CallerAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the answer is complete according to its framing. */
    readonly whole: boolean;
}

/** A call made by a test. `headers` are added to those of every call. */
export interface TestCall {
    readonly path: string;
    readonly id: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly agent?: Agent;
}

/** A store, engines and gateways in the test process. */
export interface Fleet extends AsyncDisposable {
    readonly rowStore: RowStore;
    readonly engine: GatewayUpstream;
    readonly spareEngine: GatewayUpstream;
    readonly tool: GatewayUpstream;
    registerUpstream(engine: GatewayUpstream, changes?: object): void;
    declare(changes?: object): void;
    /** Starts a gateway; `storeFault` applies to its store endpoint from the start. */
    startGateway(changes?: Partial<GatewaySettings>, storeFault?: RowStoreFault,
        peerListTimes?: PeerListTimes): Promise<TestGateway>;
}

const routeDefaults = { hostname: "fleet.test", timeoutMs: 2_500, targetLatencyMs: 250, priority: 0, maxAttempts: 2 };

/** Routes: `/turn/` keeps turns, `/plan/` is resumable, `/look/` is idempotent, `/pay/` runs at most once. */
export const declaration = {
    version: 1,
    routes: [
        { ...routeDefaults, name: "turn", prefix: "/turn/", routeType: "streaming", backend: "models", retain: true,
            retentionS: 60 },
        { ...routeDefaults, name: "plan", prefix: "/plan/", routeType: "streaming", backend: "models",
            resumable: true },
        { ...routeDefaults, name: "look", prefix: "/look/", routeType: "idempotent", backend: "tools" },
        { ...routeDefaults, name: "pay", prefix: "/pay/", routeType: "non_idempotent", backend: "tools" },
    ],
    backends: [
        { name: "models", maxConnections: 160, engine: { slots: 12, kvCapacityTokens: 100_000, eventTokens: 10 } },
        { name: "tools", maxConnections: 110 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** Starts a store with a declaration, two engines and a tool. Tests start the gateways. */
export async function createFleet(): Promise<Fleet> {
    const rowStore = createRowStore();
    const engine = await createGatewayUpstream({ id: "i-engine", events: 5 });
    const spareEngine = await createGatewayUpstream({ id: "i-spare", events: 5 });
    const tool = await createGatewayUpstream({ id: "i-tool" });
    const gateways: TestGateway[] = [];

    function registerUpstream(upstream: GatewayUpstream, changes: object = {}): void {
        rowStore.put("servers", "", upstream.id, { backend: upstream === tool ? "tools" : "models",
            address: `${upstream.address}:${upstream.port}`, zone: "a", slots: 12, state: "ready", sequence: 1, born: 1,
            ...changes });
    }

    async function startGateway(changes: Partial<GatewaySettings> = {}, storeFault?: RowStoreFault,
        peerListTimes = defaultPeerListTimes): Promise<TestGateway> {
        const storeEndpoint = await rowStore.open();
        storeEndpoint.setFault(storeFault);
        const gateway = await openGateway(storeEndpoint, changes, peerListTimes);
        gateways.push(gateway);
        return gateway;
    }

    const fleet: Fleet = {
        rowStore,
        engine,
        spareEngine,
        tool,
        registerUpstream,
        declare: (changes = {}) => rowStore.put("op", "", "config", { ...declaration, ...changes }),
        startGateway,
        async [Symbol.asyncDispose]() {
            await Promise.all(gateways.map(started => started[Symbol.asyncDispose]()));
            await Promise.all([engine, spareEngine, tool, rowStore].map(part => part[Symbol.asyncDispose]()));
        },
    };
    fleet.declare();
    registerUpstream(engine);
    registerUpstream(tool);
    return fleet;
}

async function openGateway(storeEndpoint: RowStoreListener, changes: Partial<GatewaySettings>,
    peerListTimes: PeerListTimes): Promise<TestGateway> {
    const [callers, ready, peers] = await Promise.all([freeAddress(), freeAddress(), freeAddress()]);
    const settings: GatewaySettings = { name: "g", dataCentre: "a", callerAddress: callers, readinessAddress: ready,
        peerAddress: peers, knownPeers: [], metricsAddress: undefined,
        storeAddress: { host: storeEndpoint.address, port: storeEndpoint.port }, maxRowBytes: 65_536,
        memoryBytes: undefined, shutdownGrace: 8_000, ...changes };
    const logLines: { event: string; fields: LogFields; }[] = [];
    const record = (event: string, fields: LogFields) => void logLines.push({ event, fields });
    const log: Log = { info: record, warn: record };
    const store = createStore(settings.storeAddress);
    const gateway = await createGateway({ settings, limits: defaultLimits, store, log, peerListTimes,
        now: () => performance.now() });
    return {
        gateway,
        settings,
        storeEndpoint,
        logLines,
        readinessStatus: () => fetchReadinessStatus(settings.readinessAddress.port),
        async [Symbol.asyncDispose]() {
            await gateway[Symbol.asyncDispose]();
            await store[Symbol.asyncDispose]();
        },
    };
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => boolean | Promise<boolean>, description: string): Promise<void> {
    for (let tries = 0; tries < 2_000; tries += 1) {
        if (await condition()) {
            return;
        }
        await sleep(10);
    }
    throw new Error(`timed out waiting for: ${description}`);
}

/** Waits until a gateway reports that it is ready. */
export async function waitUntilReady(gateway: TestGateway): Promise<void> {
    await waitUntil(async () => await gateway.readinessStatus() === 200, "the gateway is ready");
}

/** Waits until a gateway has applied a version of the declaration. */
export async function waitForDeclaration({ logLines }: TestGateway, version: number): Promise<void> {
    await waitUntil(
        () => logLines.some(({ event, fields }) => event === "declaration.taken" && fields.version === version),
        `version ${version} is in force`,
    );
}

/** A gateway that can be called, in the test process or in its own process. */
export interface CallTarget {
    readonly settings: { readonly callerAddress: { readonly port: number; }; };
}

/** Returns the HTTP status of a readiness check; 0 if nothing listens on the port. */
export async function fetchReadinessStatus(port: number): Promise<number> {
    try {
        return (await get(port, "/tamarackgauge/ready")).status;
    }
    catch {
        return 0;
    }
}

/** Makes a call. */
export function call(gateway: CallTarget, { path, id, body, headers, agent }: TestCall): Promise<CallerAnswer> {
    return sendRequest(gateway.settings.callerAddress.port, path, body, { "host": "fleet.test", "x-request-id": id,
        ...headers }, agent);
}

/** Starts a call that the test can abort: destroying the request closes its connection. */
export function openCall(gateway: CallTarget, { path, id, body, headers }: TestCall): ClientRequest {
    const outgoing = request({ host: "127.0.0.1", port: gateway.settings.callerAddress.port, path, agent: false,
        method: body === undefined ? "GET" : "POST",
        headers: { "host": "fleet.test", "x-request-id": id, ...headers } });
    // Ignores the error caused by destroying the request.
    outgoing.on("error", () => undefined);
    outgoing.end(body);
    return outgoing;
}

/** The input of a turn. */
export function turnInput(id: string): string {
    return `input of ${id};`;
}

/** A turn of a program, as the platform's callers send it. */
export function turnCall(id: string, program: string, previous?: string, budget = 1_000): TestCall {
    return { path: "/turn/x", id, body: turnInput(id), headers: {
        "x-program-id": program,
        "x-token-budget": String(budget),
        "x-token-usage": "100,60",
        ...previous === undefined ? {} : { "x-previous-turn": previous },
    } };
}

function get(port: number, path: string): Promise<CallerAnswer> {
    return sendRequest(port, path, undefined, {});
}

function sendRequest(
    port: number,
    path: string,
    body: string | undefined,
    headers: Record<string, string>,
    agent?: Agent,
): Promise<CallerAnswer> {
    return new Promise((resolve, reject) => {
        const outgoing = request({ host: "127.0.0.1", port, path, method: body === undefined ? "GET" : "POST", headers,
            agent: agent ?? false }, response => {
            const chunks: Buffer[] = [];
            const end = () =>
                resolve({ status: response.statusCode!, headers: response.headers,
                    body: Buffer.concat(chunks).toString("latin1"), whole: response.complete });
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("end", end);
            response.on("error", end);
        });
        outgoing.on("error", reject);
        outgoing.end(body);
    });
}

/** Starts a TCP server, for upstreams that send malformed HTTP. */
export async function startRawServer(onConnection: (socket: Socket) => void) {
    const openSockets = new Set<Socket>();
    const server = createServer(socket => {
        openSockets.add(socket);
        // The client may reset the connection at any time.
        socket.on("error", () => undefined);
        socket.on("close", () => openSockets.delete(socket));
        onConnection(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        openConnections: () => openSockets.size,
        [Symbol.dispose]() {
            server.close();
            openSockets.forEach(socket => socket.destroy());
        },
    };
}

/** A gateway whose upstreams run each call and answer with the bytes of a test. */
export interface RawFleet extends AsyncDisposable {
    readonly fleet: Fleet;
    readonly gateway: TestGateway;
    /** How often each call was run. */
    readonly runs: ReadonlyMap<string, number>;
}

/** Starts a gateway with one raw server as the engine and the tool. `answer` writes the answer to a call. */
export async function startRawFleet(answer: (socket: Socket, id: string, runs: number) => void): Promise<RawFleet> {
    const fleet = await createFleet();
    const runs = new Map<string, number>();
    const upstream = await startRawServer(socket =>
        socket.on("data", request => {
            const id = requestIdOf(request);
            if (id !== undefined) {
                runs.set(id, (runs.get(id) ?? 0) + 1);
                answer(socket, id, runs.get(id)!);
            }
        })
    );
    fleet.registerUpstream(fleet.engine, { address: upstream.address });
    fleet.registerUpstream(fleet.tool, { address: upstream.address });
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    return { fleet, gateway, runs, async [Symbol.asyncDispose]() {
        upstream[Symbol.dispose]();
        await fleet[Symbol.asyncDispose]();
    } };
}

/** What a caller receives over a raw connection until the gateway closes it. */
export interface RawAnswer {
    readonly text: string;
    readonly wasReset: boolean;
}

/** Makes a call with a body over a raw connection that closes after the answer. */
export async function callRaw(gateway: CallTarget, path: string, id: string, version = "1.1"): Promise<RawAnswer> {
    const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
    const text = collectText(socket);
    let wasReset = false;
    socket.on("error", () => wasReset = true);
    socket.write(`POST ${path} HTTP/${version}\r\nhost: fleet.test\r\nx-request-id: ${id}\r\nx-program-id: ${id}\r\n` +
        "x-token-budget: 1000\r\nx-token-usage: 100,60\r\ncontent-length: 1\r\nconnection: close\r\n\r\nx");
    await once(socket, "close");
    return { text: text(), wasReset };
}

/** Collects the data received on a connection; the returned function returns the text received so far. */
export function collectText(socket: Socket): () => string {
    let text = "";
    socket.on("data", chunk => {
        text += chunk.toString("latin1");
    });
    return () => text;
}

/** The id of the call in a request that an upstream received; undefined if it has none. */
export function requestIdOf(request: Buffer): string | undefined {
    return /^x-request-id: (.*)\r$/mi.exec(request.toString("latin1"))?.[1];
}

/** Range below the kernel's ephemeral ports, so that no outgoing connection takes a port before a test listens on it. */
const firstPort = 10_000;
const portCount = 22_000;

/** Returns an address on which nothing listens. */
export function freeAddress(): Promise<{ host: string; port: number; }> {
    const host = "127.0.0.1";
    const port = firstPort + Math.floor(Math.random() * portCount);
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(freeAddress()));
        server.listen({ host, port }, () => server.close(() => resolve({ host, port })));
    });
}
