import type { RowStoreDoor } from "@tamarackgauge/standin";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { type Fleet, freeAddress, readiness, until } from "./harness.ts";

const main = join(import.meta.dirname, "../src/main.ts");
const root = join(import.meta.dirname, "../../..");

/** A gateway as a process of its own, as the platform starts it. */
export interface GatewayProcess extends AsyncDisposable {
    readonly child: ChildProcess;
    readonly settings: GatewayAddresses;
    readonly file: string;
    /** The exit code or the signal that ended it. */
    readonly ended: Promise<number | string>;
    log(): string;
}

/** Where a gateway listens. */
export interface GatewayAddresses {
    readonly callerAddress: { readonly port: number; };
    readonly readinessAddress: { readonly port: number; };
    readonly peerAddress: { readonly port: number; };
}

/** Chooses free addresses. */
export async function chooseAddresses(): Promise<GatewayAddresses> {
    const [callers, readiness, peers] = await Promise.all([freeAddress(), freeAddress(), freeAddress()]);
    return { callerAddress: callers, readinessAddress: readiness, peerAddress: peers };
}

/** The settings of a gateway that reaches the store by a door. */
export function settingsText(door: RowStoreDoor, addresses: GatewayAddresses, name = "g"): string {
    return [
        `nodeName=${name}`,
        "ip=127.0.0.1",
        "zone=a",
        `bind.front=127.0.0.1:${addresses.callerAddress.port}`,
        `bind.readiness=127.0.0.1:${addresses.readinessAddress.port}`,
        `bind.control=127.0.0.1:${addresses.peerAddress.port}`,
        `provider.address=${door.address}:${door.port}`,
        "provider.rowBytes=65536",
        "bounds.graceS=8",
        "bounds.drainMs=2000",
        "bounds.passMs=120",
    ].join("\n");
}

/** A folder for the settings of one gateway. */
export async function settingsFolder(): Promise<string> {
    return mkdtemp(join(tmpdir(), "tamarackgauge-"));
}

/** Starts a process whose settings file lies in a folder of its own; the folder goes with the process. */
export function spawnProcess(file: string, settings: GatewayAddresses): GatewayProcess {
    const child = spawn(process.execPath, ["--import", "tsx", main], { cwd: root, stdio: ["ignore", "pipe", "inherit"],
        env: { PATH: process.env.PATH, TAMARACKGAUGE_CONFIG: file } });
    let text = "";
    child.stdout.on("data", (chunk: Buffer) => {
        text += chunk.toString();
    });
    const ended = once(child, "exit").then(([code, signal]) => (code ?? signal) as number | string);
    return {
        child,
        settings,
        file,
        ended,
        log: () => text,
        async [Symbol.asyncDispose]() {
            child.kill("SIGKILL");
            await ended;
            await rm(dirname(file), { recursive: true });
        },
    };
}

/** Starts a process that is ready. */
export async function startProcess(fleet: Fleet): Promise<GatewayProcess> {
    return startAt(await fleet.rows.open(), await chooseAddresses());
}

/** Starts a process at given addresses and waits until it is ready. */
export async function startAt(door: RowStoreDoor, addresses: GatewayAddresses, name?: string): Promise<GatewayProcess> {
    const file = join(await settingsFolder(), "settings.conf");
    await writeFile(file, settingsText(door, addresses, name));
    const gateway = spawnProcess(file, addresses);
    await until(async () => await readiness(addresses.readinessAddress.port) === 200, "the process is ready");
    return gateway;
}
