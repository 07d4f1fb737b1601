import type { RowStoreListener } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fetchReadinessStatus, type Fleet, freeAddress, waitUntil } from "./harness.ts";

const mainFile = join(import.meta.dirname, "../src/main.ts");
const repositoryRoot = join(import.meta.dirname, "../../..");

/** A gateway in its own process, started as on the platform. */
export interface GatewayProcess extends AsyncDisposable {
    readonly child: ChildProcess;
    readonly settings: GatewayAddresses;
    readonly settingsFile: string;
    /** Resolves with the exit code, or with the signal that ended the process. */
    readonly exited: Promise<number | string>;
    output(): string;
    /** What the process has written to its standard error. */
    errors(): string;
}

/** Addresses on which a gateway listens. */
export interface GatewayAddresses {
    readonly callerAddress: { readonly port: number; };
    readonly readinessAddress: { readonly port: number; };
    readonly peerAddress: { readonly port: number; };
    readonly metricsAddress: { readonly port: number; };
}

/** Chooses free addresses. */
export async function chooseAddresses(): Promise<GatewayAddresses> {
    const [callers, readiness, peers, metrics] = await Promise.all([freeAddress(), freeAddress(), freeAddress(),
        freeAddress()]);
    return { callerAddress: callers, readinessAddress: readiness, peerAddress: peers, metricsAddress: metrics };
}

/** Settings that differ between the processes of a test. */
export interface ProcessOptions {
    readonly name?: string;
    readonly memoryMb?: number;
    /** Maximum number of open descriptors; when omitted, that of the test, and 8,200 by the settings. */
    readonly maxDescriptors?: number;
    /** Seconds from SIGTERM until the platform kills the process. */
    readonly graceS?: number;
    /** Arguments of Node.js; when omitted, the sources are run. */
    readonly program?: readonly string[];
}

/** Settings file of a gateway that uses the given store endpoint. */
export function settingsText(storeEndpoint: RowStoreListener, addresses: GatewayAddresses,
    { name = "g", memoryMb = 220, graceS = 8, maxDescriptors = 8_200 }: ProcessOptions = {}): string {
    return [
        `nodeName=${name}`,
        `limits.memoryMb=${memoryMb}`,
        `limits.maxFds=${maxDescriptors}`,
        "ip=127.0.0.1",
        "zone=a",
        `bind.front=127.0.0.1:${addresses.callerAddress.port}`,
        `bind.readiness=127.0.0.1:${addresses.readinessAddress.port}`,
        `bind.control=127.0.0.1:${addresses.peerAddress.port}`,
        `portRange=1,${addresses.metricsAddress.port}`,
        `provider.address=${storeEndpoint.address}:${storeEndpoint.port}`,
        "provider.rowBytes=65536",
        `bounds.graceS=${graceS}`,
        "bounds.drainMs=2000",
        "bounds.passMs=120",
    ].join("\n");
}

/** Creates a temporary folder for the settings of one gateway. */
export async function createSettingsFolder(): Promise<string> {
    return mkdtemp(join(tmpdir(), "tamarackgauge-"));
}

/** Arguments of Node.js that run the sources. */
const sourceProgram = ["--import", "tsx", mainFile];

/**
 * Starts a process. Its settings file must be in its own folder, which is deleted with the process. `program` has the
 * arguments of Node.js.
 */
export function spawnProcess(settingsFile: string, settings: GatewayAddresses,
    program: readonly string[] = sourceProgram, maxDescriptors?: number): GatewayProcess {
    const command = [process.execPath, ...program];
    const [file, ...args] = maxDescriptors === undefined
        ? command
        : ["sh", "-c", `ulimit -n ${maxDescriptors}; exec "$0" "$@"`, ...command];
    const child = spawn(file!, args, { cwd: repositoryRoot, stdio: ["ignore", "pipe", "pipe"],
        env: { PATH: process.env.PATH, TAMARACKGAUGE_CONFIG: settingsFile } });
    let output = "";
    child.stdout.on("data", (chunk: Buffer) => {
        output += chunk.toString();
    });
    let errors = "";
    child.stderr.on("data", (chunk: Buffer) => {
        errors += chunk.toString();
    });
    // Not "exit", after which output may still come.
    const exited = once(child, "close").then(([code, signal]) => (code ?? signal) as number | string);
    return {
        child,
        settings,
        settingsFile,
        exited,
        output: () => output,
        errors: () => errors,
        async [Symbol.asyncDispose]() {
            child.kill("SIGKILL");
            await exited;
            await rm(dirname(settingsFile), { recursive: true });
        },
    };
}

/** The gateway as it is deployed. */
export interface DeployedProgram extends AsyncDisposable {
    /** Arguments of Node.js, from the deploy file. */
    readonly program: readonly string[];
}

/** Builds the gateway into a temporary folder, to be started with the arguments of the deploy file. */
export async function buildDeployedProgram(): Promise<DeployedProgram> {
    const folder = await mkdtemp(join(tmpdir(), "gateway-"));
    const { status, stderr } = spawnSync(process.execPath, ["scripts/bundleGateway.mjs", folder], { cwd: repositoryRoot,
        encoding: "utf8" });
    assert.equal(status, 0, stderr);
    const deployFile = await readFile(join(repositoryRoot, "deploy/system.toml"), "utf8");
    const [, ...program] = /^run = "(.*)"$/m.exec(deployFile)![1]!.split(" ");
    return { program: program.map(argument => argument.replace(/^target\//, `${folder}/`)),
        [Symbol.asyncDispose]: () => rm(folder, { recursive: true }) };
}

const kibibyte = 1_024;
const bytesPerMegabyte = 1_000_000;

/** Resident memory of a process in megabytes, the unit of a VM's size; 0 if it has ended. */
export function residentMegabytes({ child }: Pick<GatewayProcess, "child">): number {
    try {
        const status = readFileSync(`/proc/${child.pid}/status`, "latin1");
        return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * kibibyte / bytesPerMegabyte;
    }
    catch {
        // The process has ended and been removed.
        return 0;
    }
}

/** A port that is in use. */
export interface OccupiedPort extends AsyncDisposable {
    readonly port: number;
}

/** Occupies a port, as an outgoing connection or another process may do. Connections to it are closed at once. */
export async function occupyPort({ port }: { readonly port: number; }): Promise<OccupiedPort> {
    const server = createServer(socket => socket.destroy());
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
    return { port, [Symbol.asyncDispose]: () => new Promise<void>(resolve => server.close(() => resolve())) };
}

/** Starts a process and waits until it is ready. */
export async function startProcess(fleet: Fleet, options?: ProcessOptions): Promise<GatewayProcess> {
    const gateway = await spawnProcessAt(await fleet.rowStore.open(), await chooseAddresses(), options);
    await waitUntilProcessReady(gateway);
    return gateway;
}

/** Starts a process at given addresses. */
export async function spawnProcessAt(storeEndpoint: RowStoreListener, addresses: GatewayAddresses,
    options: ProcessOptions = {}): Promise<GatewayProcess> {
    const settingsFile = join(await createSettingsFolder(), "settings.conf");
    await writeFile(settingsFile, settingsText(storeEndpoint, addresses, options));
    return spawnProcess(settingsFile, addresses, options.program, options.maxDescriptors);
}

/** Waits until a process is ready. */
export async function waitUntilProcessReady({ settings }: Pick<GatewayProcess, "settings">): Promise<void> {
    await waitUntil(async () => await fetchReadinessStatus(settings.readinessAddress.port) === 200,
        "the process is ready");
}

/** Starts a process that cannot become ready, and waits until it reports so. */
export async function startProcessUnready(storeEndpoint: RowStoreListener,
    options: ProcessOptions): Promise<GatewayProcess> {
    const addresses = await chooseAddresses();
    const gateway = await spawnProcessAt(storeEndpoint, addresses, options);
    await waitUntil(async () => await fetchReadinessStatus(addresses.readinessAddress.port) === 503,
        "the process has started");
    return gateway;
}
