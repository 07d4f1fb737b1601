import type { GatewaySettings, SocketAddress } from "@tamarackgauge/core/gateway";
import { createStore } from "@tamarackgauge/platform";
import { createGatewayUpstream, createRowStore, freeAddress, gatewayDeclaration, gatewayReadinessPath,
    type GatewayUpstream, type RowStore, type RowStoreFault, type RowStoreListener,
    startRawServer } from "@tamarackgauge/standin";
import { pack } from "msgpackr";
import { once } from "node:events";
import { type Agent, type ClientRequest, type IncomingHttpHeaders, request } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { DirectConnector } from "../src/directConnection.ts";
import type { GatewayParts } from "../src/gateway.ts";
import { inProcessDefaults, type InProcessGateway, startInProcess } from "../src/inProcess.ts";
import { defaultPeerListTimes, type PeerListTimes, peerTable } from "../src/peerList.ts";

/** A gateway under test, with its own store endpoint, for which faults can be injected. */
export interface TestGateway extends InProcessGateway {
    readonly storeEndpoint: RowStoreListener;
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
    /**
     * Starts a gateway; `storeFault` applies to its store endpoint from the start, and `connect` opens its own connections to
     * upstreams.
     */
    startGateway(changes?: Partial<GatewaySettings>, storeFault?: RowStoreFault, peerListTimes?: PeerListTimes,
        connect?: DirectConnector): Promise<TestGateway>;
}

/** The declaration of all fleets. */
export const declaration = gatewayDeclaration;

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
        peerListTimes = defaultPeerListTimes, connect?: DirectConnector): Promise<TestGateway> {
        const storeEndpoint = await rowStore.open();
        storeEndpoint.setFault(storeFault);
        const gateway = await openGateway(storeEndpoint, changes, { peerListTimes, connect });
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
    options: Pick<GatewayParts, "peerListTimes" | "connect">): Promise<TestGateway> {
    const started = await startInProcess(await loopbackSettings(storeEndpoint, changes), options);
    return { ...started, storeEndpoint,
        readinessStatus: () => fetchReadinessStatus(started.settings.readinessAddress.port) };
}

/** Settings of a gateway on free loopback ports. */
async function loopbackSettings(storeEndpoint: RowStoreListener,
    changes: Partial<GatewaySettings>): Promise<GatewaySettings> {
    const [callerAddress, readinessAddress, peerAddress] = await Promise.all([freeAddress(), freeAddress(),
        freeAddress()]);
    return { ...inProcessDefaults, callerAddress, readinessAddress, peerAddress,
        storeAddress: { host: storeEndpoint.address, port: storeEndpoint.port }, ...changes };
}

/** Registers a gateway in the list that a fleet's gateways read; they have to start afterwards. */
export async function registerPeer(fleet: Fleet, name: string, { host, port }: SocketAddress): Promise<void> {
    const { address, port: storePort } = await fleet.rowStore.open();
    await using store = createStore({ host: address, port: storePort });
    const value = Buffer.from(pack([host, port, "a", 1, 1]));
    await store.change({ puts: [{ ...peerTable, key: name, value }] }, { timeout: 1_000 });
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
        return (await get(port, gatewayReadinessPath)).status;
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

export { freeAddress, startRawServer };
