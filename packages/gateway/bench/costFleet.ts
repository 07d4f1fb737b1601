import { createGatewayUpstream, createRowStore, type GatewayUpstream, type RowStore } from "@tamarackgauge/standin";
import { pack } from "msgpackr";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { rm, writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { chooseAddresses, createSettingsFolder, type GatewayAddresses, settingsText } from "../test/gatewayProcess.ts";
import { call, declaration, fetchReadinessStatus } from "../test/harness.ts";

/** Sizes of the system around the measured gateways. */
export interface CostFleetSize {
    readonly engines: number;
    readonly tools: number;
    /** Number of other gateways in the list. */
    readonly gateways: number;
}

/** A measured gateway. */
export interface MeasuredGateway extends AsyncDisposable {
    readonly addresses: GatewayAddresses;
    /** Processor time used so far, in ms. */
    cpuMs(): Promise<number>;
    /** Number of store calls made so far. */
    storeCalls(): number;
    /** Makes a call; throws if it is not answered with 200. */
    call(kind: CallKind, id: string): Promise<void>;
    /** Ends the process as the platform does, so that it can write a profile. */
    stop(): Promise<void>;
}

/** Kinds of calls: a tool call, a first turn of a program, or a turn that continues the first one of its program. */
export type CallKind = "plain" | "turn" | "nextTurn";

/** The system around the measured gateways. */
export interface CostFleet extends AsyncDisposable {
    /** Starts the build in a folder. `nodeArguments` stand before the program. */
    start(build: Build): Promise<MeasuredGateway>;
}

/** A build to be measured. */
export interface Build {
    /** Arguments of Node.js. */
    readonly program: readonly string[];
}

/** Period with which each upstream writes its row, also if only its sequence number has changed. */
const heartbeatMs = 1_200;
const readinessIntervalMs = 200;
const eventsPerTurn = 30;
const eventDelayMs = 10;
const inputBytes = 2_000;
const sharedTokens = 12_600;
const ownTokens = 1_000;
const dataCentres = ["a", "b", "c"];
/** Loaded into a measured gateway: answers each message with the processor time used so far. */
const probeCode = "process.on(\"message\", () => process.send(process.cpuUsage())); process.channel.unref();";

/** Starts stand-ins for the store and the upstreams. */
export async function createCostFleet(size: CostFleetSize): Promise<CostFleet> {
    const rowStore = createRowStore();
    const engines = await Promise.all(
        Array.from({ length: size.engines },
            (_, index) => createGatewayUpstream({ id: `i-engine-${index}`, events: eventsPerTurn, eventDelayMs })),
    );
    const tools = await Promise.all(
        Array.from({ length: size.tools }, (_, index) => createGatewayUpstream({ id: `i-tool-${index}` })),
    );
    const upstreams = [...engines, ...tools];
    const timers = upstreams.map((upstream, index) =>
        startHeartbeat(rowStore, upstream, index, index < size.engines ? "models" : "tools",
            heartbeatMs * index / upstreams.length)
    );
    rowStore.put("op", "", "config", { ...declaration,
        backends: declaration.backends.map(backend => ({ ...backend, maxConnections: 2_000 })) });
    return {
        start: build => startMeasured(rowStore, build, size),
        async [Symbol.asyncDispose]() {
            timers.forEach(timer => timer());
            await Promise.all([...upstreams, rowStore].map(part => part[Symbol.asyncDispose]()));
        },
    };
}

function startHeartbeat(rowStore: RowStore, { id, address, port }: GatewayUpstream, index: number, backend: string,
    delayMs: number): () => void {
    let sequence = 0;
    const write = () =>
        rowStore.put("servers", "", id, { backend, address: `${address}:${port}`,
            zone: dataCentres[index % dataCentres.length], slots: 12, state: "ready", sequence: sequence += 1,
            born: 1 });
    write();
    let interval: NodeJS.Timeout | undefined;
    const start = setTimeout(() => interval = setInterval(write, heartbeatMs), delayMs);
    return () => {
        clearTimeout(start);
        clearInterval(interval);
    };
}

async function startMeasured(rowStore: RowStore, { program }: Build,
    { gateways }: CostFleetSize): Promise<MeasuredGateway> {
    const storeEndpoint = await rowStore.open();
    const addresses = await chooseAddresses();
    // The rows of the other gateways are in other data centres, so that no link to them is tried.
    Array.from({ length: gateways },
        (_, index) =>
            rowStore.put("gateways", "", `other-${index}`,
                Buffer.from(pack(["127.0.0.1", 9, dataCentres[1 + index % (dataCentres.length - 1)]]))));
    const folder = await createSettingsFolder();
    const settingsFile = join(folder, "settings.conf");
    const probeFile = join(folder, "probe.cjs");
    await writeFile(probeFile, probeCode);
    await writeFile(settingsFile, settingsText(storeEndpoint, addresses, { name: `measured-${storeEndpoint.port}` }));
    const child = spawn(process.execPath, ["--require", probeFile, ...program], {
        stdio: ["ignore", "ignore", "inherit", "ipc"],
        env: { PATH: process.env.PATH, TAMARACKGAUGE_CONFIG: settingsFile },
    });
    const exited = once(child, "exit");
    // Seldom, as the gateway answers each check.
    while (await fetchReadinessStatus(addresses.readinessAddress.port) !== 200) {
        await sleep(readinessIntervalMs);
    }
    const agent = new Agent({ keepAlive: true });
    return {
        addresses,
        cpuMs: () => readCpuMs(child),
        storeCalls() {
            const { reads, changes, feeds } = storeEndpoint.calls();
            return reads + changes + feeds;
        },
        call: (kind, id) => makeCall(addresses, agent, kind, id),
        async stop() {
            child.kill("SIGTERM");
            await exited;
        },
        async [Symbol.asyncDispose]() {
            child.kill("SIGKILL");
            await exited;
            agent.destroy();
            await rm(folder, { recursive: true });
        },
    };
}

async function readCpuMs(child: ChildProcess): Promise<number> {
    const answer = once(child, "message");
    child.send({});
    const [{ user, system }] = await answer as [NodeJS.CpuUsage];
    return (user + system) / 1_000;
}

async function makeCall(addresses: GatewayAddresses, agent: Agent, kind: CallKind, id: string): Promise<void> {
    const isNext = kind === "nextTurn";
    const { status } = await call({ settings: addresses }, kind === "plain"
        ? { path: "/look/x", id, body: "x".repeat(200), agent }
        : { path: "/turn/x", id: isNext ? `${id}/2` : id, body: "x".repeat(inputBytes), agent, headers: {
            "x-program-id": id,
            "x-token-budget": "5000",
            "x-token-usage": `${sharedTokens + ownTokens},400`,
            "x-prompt-prefix": `shared:${sharedTokens},${id}:${ownTokens}`,
            ...isNext ? { "x-previous-turn": id } : {},
        } });
    if (status !== 200) {
        throw new Error(`the ${kind} call ${id} was answered with ${status}`);
    }
}

/** Makes plain calls, or programs of two turns, at a rate; resolves when all are answered, with the number of calls. */
export async function makeCalls(gateway: MeasuredGateway, kind: "plain" | "turn", perSecond: number, durationMs: number,
    name: string): Promise<number> {
    const callsEach = kind === "turn" ? 2 : 1;
    const count = Math.round(perSecond * durationMs / 1_000 / callsEach);
    const started: Promise<void>[] = [];
    for (let index = 0; index < count; index += 1) {
        const id = `${name}-${index}`;
        started.push(gateway.call(kind, id).then(() => kind === "turn" ? gateway.call("nextTurn", id) : undefined));
        await sleep(1_000 * callsEach / perSecond);
    }
    await Promise.all(started);
    return count * callsEach;
}
