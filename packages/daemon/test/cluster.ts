import { preferredOwner } from "@tamarackgauge/core";
import { createEngine, createPlatform, createService } from "@tamarackgauge/standin";
import { buildSync } from "esbuild";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { createClient } from "./client.ts";
import type { Client } from "./client.ts";

/** A daemon in a child process, which tests can kill, pause and resume. */
export interface DaemonProcess {
    readonly name: string;
    readonly port: number;
    readonly pid: number;
    readonly client: Client;
    signal(signal: NodeJS.Signals): void;
    /** Resolves with the exit code, or with undefined after a signal. */
    readonly exited: Promise<number | undefined>;
    stderr(): string;
}

/** Options of a cluster. Times are in milliseconds. */
export interface ClusterOptions {
    readonly daemons?: number;
    readonly engines?: number;
    readonly stepMs?: number;
    readonly services?: readonly string[];
    readonly plans?: Readonly<Record<string, { readonly budgetTokens?: number; readonly programsAtOnce?: number; }>>;
    /** Flags of every daemon, such as `--lease-ttl`. */
    readonly flags?: readonly string[];
    /** Environment of every daemon, such as `DEBUG`. */
    readonly environment?: Readonly<Record<string, string>>;
    /** URL under which daemons reach the platform, for instance through a forwarder. */
    readonly platformUrl?: (port: number) => string;
}

/** A test cluster: stand-ins in this process and daemons in child processes. */
export interface Cluster {
    readonly platform: Awaited<ReturnType<typeof createPlatform>>;
    readonly engines: readonly Awaited<ReturnType<typeof createEngine>>[];
    readonly services: ReadonlyMap<string, Awaited<ReturnType<typeof createService>>>;
    readonly daemons: ReadonlyMap<string, DaemonProcess>;
    daemon(name: string): DaemonProcess;
    /** Starts a daemon. A restarted one must reuse its peer port, so that its peers can reach it. */
    startDaemon(name: string, peerPort?: number): Promise<DaemonProcess>;
    /** Polls until a condition holds; throws an error with the description after the timeout. */
    waitUntil(description: string, condition: () => boolean | Promise<boolean>, timeoutMs?: number): Promise<void>;
    /** Name of the daemon that owns a program, according to the ownership map of a running daemon. */
    ownerOf(programKey: string): Promise<string>;
    /** Waits until all running daemons are ready, agree on the ownership map, and every partition is at its preferred owner. */
    waitUntilSettled(): Promise<void>;
    /** Waits until every running daemon has renewed its lease after a store outage. */
    waitUntilLeasesRenewed(): Promise<void>;
    /** Replaces the configuration through a daemon's operators' interface, by default that of the first daemon. */
    applyConfiguration(lists: unknown, expected: number, daemonName?: string): Promise<Response>;
    /** Reads a daemon's status from its operators' interface. */
    fetchStatus(name: string): Promise<DaemonStatus>;
    /** Removes a daemon whose process has exited from `daemons`. */
    removeDaemon(name: string): void;
    [Symbol.asyncDispose](): Promise<void>;
}

/** The fields of a daemon's status that tests use. */
export interface DaemonStatus {
    readonly ready: boolean;
    readonly configurationVersion: number;
    readonly details: { readonly map?: OwnershipMap; readonly leaseAge?: number; };
}

/** Operator key of the test daemons. */
export const operatorKey = "operator-key-of-the-tests";

/** Key of a plan's callers. */
export function keyOf(plan: string): string {
    return `key-of-${plan}`;
}

/** SHA-256 of a key in hexadecimal. */
export function sha256(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/**
 * Timeout for a cluster to settle, in ms. The product guarantees no such time; it allows for processes that wait for a
 * processor when they start on a busy machine.
 */
const settleTimeoutMs = 120_000;

/** Maximum age, in ms, of a lease that counts as renewed after a store outage. */
const maxRenewedLeaseAgeMs = 1_000;

const defaultFlags = [["--lease-ttl", "1500"], ["--lease-renewal", "300"], ["--commit-interval", "10"]] as const;

/** Adds the default flags that a test does not set. */
function addDefaultFlags(flags: readonly string[]): readonly string[] {
    return [...defaultFlags.filter(([name]) => !flags.includes(name)).flat(), ...flags];
}

/** Starts a cluster and waits until every daemon is ready and owns partitions. */
export async function createCluster(options: ClusterOptions = {}): Promise<Cluster> {
    const folder = mkdtempSync(join(tmpdir(), "tamarackgauge-"));
    const bundlePath = join(folder, "tamarackgauge.cjs");
    buildSync({
        entryPoints: [join(import.meta.dirname, "../../cli/src/main.ts")],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outfile: bundlePath,
        logLevel: "error",
    });
    const platform = await createPlatform({ port: 0 });
    const engines = await Promise.all(
        Array.from({ length: options.engines ?? 2 },
            (_, index) => createEngine({ port: 0, name: `engine${index}`, stepMs: options.stepMs ?? 5 })),
    );
    const services = new Map(
        await Promise.all(
            (options.services ?? ["waiver"]).map(async name => [name, await createService({ port: 0 })] as const),
        ),
    );
    const daemons = new Map<string, DaemonProcess>();
    const exitedDaemons = new Set<DaemonProcess>();
    await setVms();

    async function setVms(): Promise<void> {
        const vmDefaults = { address: "127.0.0.1", dataCentre: "dc1", state: "live" };
        const vms = [
            ...engines.map(({ port }, index) => ({
                ...vmDefaults,
                name: `engine${index}`,
                kind: "engine",
                port,
                models: ["model"],
            })),
            ...[...services].map(([name, { port }]) => ({ ...vmDefaults, name, kind: "service", port })),
        ];
        const url = `http://127.0.0.1:${platform.port}/control/vms`;
        await fetch(url, { method: "PUT", body: JSON.stringify(vms), headers: { "content-type": "application/json" } });
    }

    async function startDaemon(name: string, peerPort = 0): Promise<DaemonProcess> {
        const url = options.platformUrl?.(platform.port) ?? `http://127.0.0.1:${platform.port}`;
        const flags = ["--name", name, "--data-centre", "dc1", "--address", "127.0.0.1", "--port", "0", "--peer-port",
            String(peerPort), "--platform-url", url, "--operator-key-hash", sha256(operatorKey),
            ...addDefaultFlags(options.flags ?? [])];
        const child = spawn(process.execPath, [bundlePath, "daemon", ...flags], {
            stdio: ["ignore", "pipe", "pipe"],
            env: {
                ...process.env,
                TAMARACKGAUGE_CLUSTER_KEY: "cluster-key-of-the-tests",
                TAMARACKGAUGE_SEAL_KEY: "seal-key-of-the-tests",
                ...options.environment,
            },
        });
        const daemon = await waitUntilListening(name, child);
        daemons.set(name, daemon);
        void daemon.exited.then(() => exitedDaemons.add(daemon));
        return daemon;
    }

    async function waitUntil(description: string, condition: () => boolean | Promise<boolean>,
        timeoutMs = 20_000): Promise<void> {
        const deadline = Date.now() + timeoutMs;
        while (!await condition()) {
            if (Date.now() > deadline) {
                throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    async function fetchStatus(name: string): Promise<DaemonStatus> {
        const response = await fetch(`http://127.0.0.1:${daemons.get(name)?.port}/operator/v1/status`, {
            headers: { authorization: `Bearer ${operatorKey}` },
        });
        return await response.json() as DaemonStatus;
    }

    async function ownerOf(programKey: string): Promise<string> {
        for (const name of daemons.keys()) {
            const found = await fetchStatus(name).catch(() => undefined);
            const owners = found?.details.map?.owners;
            if (owners !== undefined) {
                const { partitionOf } = await import("@tamarackgauge/core");
                return owners[partitionOf(programKey, owners.length)] ?? "";
            }
        }
        throw new Error("no daemon has an ownership map");
    }

    function applyConfiguration(lists: unknown, expected: number,
        daemonName = [...daemons.keys()][0]!): Promise<Response> {
        return fetch(`http://127.0.0.1:${daemon(daemonName).port}/operator/v1/configuration`, {
            method: "PUT",
            body: JSON.stringify(lists),
            headers: {
                "authorization": `Bearer ${operatorKey}`,
                "content-type": "application/json",
                "if-match": `"${expected}"`,
            },
        });
    }

    function daemon(name: string): DaemonProcess {
        const found = daemons.get(name);
        if (found === undefined) {
            throw new Error(`no daemon ${name}`);
        }
        return found;
    }

    async function isSettled(): Promise<boolean> {
        const running = [...daemons.values()].filter(daemon => !exitedDaemons.has(daemon));
        const states = await Promise.all(running.map(({ name }) => fetchStatus(name).catch(() => undefined)));
        const maps = new Set(states.map(state => state?.details.map?.owners.join(" ")));
        const names = running.map(({ name }) => name);
        return maps.size === 1 && states.every(state => {
            const owners = state?.details.map?.owners ?? [];
            return state?.ready === true && state.configurationVersion >= 1 && owners.length > 0 &&
                isFinalOwnership(owners, names);
        });
    }

    /** Needs a renewal interval below `maxRenewedLeaseAgeMs`: every daemon must have renewed its lease within that time. */
    function waitUntilLeasesRenewed(): Promise<void> {
        const running = [...daemons.values()].filter(daemon => !exitedDaemons.has(daemon));
        return waitUntil("every daemon has renewed its lease", async () => {
            const states = await Promise.all(running.map(({ name }) => fetchStatus(name).catch(() => undefined)));
            return states.every(state => (state?.details.leaseAge ?? Infinity) < maxRenewedLeaseAgeMs);
        });
    }

    function waitUntilSettled(): Promise<void> {
        return waitUntil("every daemon is ready and owns partitions", isSettled, settleTimeoutMs);
    }

    await Promise.all(Array.from({ length: options.daemons ?? 3 }, (_, index) => startDaemon(`d${index + 1}`)));
    await waitUntil("the daemons accept a configuration",
        async () =>
            (await applyConfiguration(listsOf(options.plans ?? { plan: {} }, [...services.keys()]), 0).catch(() =>
                undefined
            ))
                ?.ok === true, settleTimeoutMs);
    await waitUntilSettled();

    return {
        platform,
        engines,
        services,
        daemons,
        daemon,
        startDaemon,
        waitUntil,
        ownerOf,
        waitUntilSettled,
        waitUntilLeasesRenewed,
        applyConfiguration,
        fetchStatus,
        removeDaemon: name => {
            daemons.delete(name);
        },
        [Symbol.asyncDispose]: async () => {
            for (const daemon of daemons.values()) {
                daemon.signal("SIGCONT");
                daemon.signal("SIGKILL");
                await daemon.exited;
            }
            await Promise.all(
                [platform, ...engines, ...services.values()].map(standin => standin[Symbol.asyncDispose]()),
            );
            rmSync(folder, { recursive: true });
        },
    };
}

interface OwnershipMap {
    readonly owners: readonly string[];
}

/**
 * Whether every partition is at its preferred owner. A hand-over during a test would cut streams, and their calls would be
 * charged in full.
 */
function isFinalOwnership(owners: readonly string[], names: readonly string[]): boolean {
    const member = { incarnation: "", address: "", port: 0, dataCentre: "", leaving: false };
    const members = Object.fromEntries(names.map(name => [name, member]));
    return owners.every((owner, partition) => owner === preferredOwner(members, partition));
}

/** Configuration lists in which each plan has one key and may use all models and services. */
export function listsOf(plans: NonNullable<ClusterOptions["plans"]>, services: readonly string[]) {
    return {
        plans: Object.keys(plans).map(name => ({ name, keys: [sha256(keyOf(name))] })),
        allowances: Object.entries(plans).map(([plan, limits]) => ({
            plan,
            models: ["model"],
            services,
            budgetTokens: limits.budgetTokens ?? 1_000_000,
            programsAtOnce: limits.programsAtOnce ?? 1_000,
        })),
    };
}

async function waitUntilListening(name: string, child: ChildProcess): Promise<DaemonProcess> {
    let stderr = "";
    child.stderr?.on("data", bytes => {
        stderr += String(bytes);
    });
    const exited = new Promise<number | undefined>(resolve => {
        child.once("exit", code => resolve(code ?? undefined));
    });
    const port = await new Promise<number>((resolve, reject) => {
        void exited.then(code => reject(new Error(`${name} exited with ${code}: ${stderr}`)));
        const lines = createInterface({ input: child.stdout! });
        lines.on("line", line => {
            const found = /listening on [\d.]+:(\d+)/.exec(line);
            if (found !== null) {
                resolve(Number(found[1]));
            }
        });
    });
    return {
        name,
        port,
        pid: child.pid ?? 0,
        client: createClient(`http://127.0.0.1:${port}`),
        signal: signal => {
            child.kill(signal);
        },
        exited,
        stderr: () => stderr,
    };
}
