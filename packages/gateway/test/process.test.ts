import assert from "node:assert/strict";
import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, open, rename, rm, writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { test } from "node:test";
import { call, createFleet, type Fleet, freeAddress, readiness, received, turn, until } from "./harness.ts";

const main = join(import.meta.dirname, "../src/main.ts");
const root = join(import.meta.dirname, "../../..");

/** A gateway as a process of its own, as the platform starts it. */
interface GatewayProcess extends AsyncDisposable {
    readonly child: ChildProcess;
    readonly settings: GatewayAddresses;
    readonly file: string;
    /** The exit code or the signal that ended it. */
    readonly ended: Promise<number | string>;
    log(): string;
}

interface GatewayAddresses {
    readonly callers: { readonly port: number; };
    readonly readiness: { readonly port: number; };
    readonly peers: { readonly port: number; };
}

async function chooseAddresses(): Promise<GatewayAddresses> {
    const [callers, readiness, peers] = await Promise.all([freeAddress(), freeAddress(), freeAddress()]);
    return { callers, readiness, peers };
}

async function settingsText(fleet: Fleet, addresses: GatewayAddresses): Promise<string> {
    const door = await fleet.rows.open();
    return [
        "nodeName=g",
        "ip=127.0.0.1",
        "zone=a",
        `bind.front=127.0.0.1:${addresses.callers.port}`,
        `bind.readiness=127.0.0.1:${addresses.readiness.port}`,
        `bind.control=127.0.0.1:${addresses.peers.port}`,
        `provider.address=${door.address}:${door.port}`,
        "provider.rowBytes=65536",
        "bounds.graceS=8",
        "bounds.drainMs=2000",
        "bounds.passMs=120",
    ].join("\n");
}

async function settingsFolder(): Promise<string> {
    return mkdtemp(join(tmpdir(), "tamarackgauge-"));
}

/** Starts a process whose settings file lies in a folder of its own; the folder goes with the process. */
function spawnProcess(file: string, settings: GatewayAddresses): GatewayProcess {
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

async function startProcess(fleet: Fleet): Promise<GatewayProcess> {
    const addresses = await chooseAddresses();
    const file = join(await settingsFolder(), "settings.conf");
    await writeFile(file, await settingsText(fleet, addresses));
    const gateway = spawnProcess(file, addresses);
    await until(async () => await readiness(addresses.readiness.port) === 200, "the process is ready");
    return gateway;
}

/** Whether nothing listens at a port. */
function refuses(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        socket.once("connect", () => resolve(false));
        socket.once("error", () => resolve(true));
        socket.once("close", () => socket.destroy());
        socket.end();
    });
}

test("SIGHUP reads the settings again and ends nothing (guards against a process that a changed setting ends)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    gateway.child.kill("SIGHUP");
    await until(() => gateway.log().includes("settings.reloaded"), "the settings are read");
    await writeFile(gateway.file, "nodeName=");
    gateway.child.kill("SIGHUP");
    await until(() => gateway.log().includes("settings.unreadable"), "unreadable settings are told");
    assert.equal((await call(gateway, turn("t1", "p"))).status, 200);
});

test("SIGHUP while the settings are being read is kept for later (guards against a process that ends as it starts)", async () => {
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const file = join(await settingsFolder(), "settings.conf");
    const text = await settingsText(fleet, addresses);
    // The process waits in its read of a named pipe until the test has written the settings.
    spawnSync("mkfifo", [file]);
    await using gateway = spawnProcess(file, addresses);
    const first = await open(file, "w");
    gateway.child.kill("SIGHUP");
    await first.writeFile(text);
    await writeFile(`${file}.next`, text);
    await rename(`${file}.next`, file);
    await first.close();
    await until(() => gateway.log().includes("settings.reloaded"), "the settings are read again");
});

test("SIGTERM ends the process when its answers have ended (guards against turns cut by a restart)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const running = call(gateway, turn("t1", "p"));
    await until(() => fleet.engine.ran.length === 1, "the turn runs");
    gateway.child.kill("SIGTERM");
    await until(async () => await readiness(gateway.settings.readiness.port) === 503,
        "no more connections are asked for");
    const late = await call(gateway, turn("t2", "q"));
    assert.ok((await running).whole);
    assert.ok(late.whole);
    assert.equal(await gateway.ended, 0);
});

test("a planned stop under load answers every call that it takes (guards against calls just accepted that are cut without an answer)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const ended = { whole: 0, cut: [] as string[] };
    let stopped = false;
    void gateway.ended.then(() => stopped = true);

    /** Uses one connection for as long as the gateway lets it, then opens the next one. */
    async function press(caller: number): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        // What comes too late for a connection that is being closed is refused as a whole, before it is read.
        for (let index = 0; !stopped; index += 1) {
            const id = `c${caller}.${index}`;
            try {
                const answer = await call(gateway, { path: "/look/x", id, agent });
                ended.whole += answer.whole && answer.status === 200 ? 1 : 0;
                if (!answer.whole || answer.status !== 200) {
                    ended.cut.push(`${id} ${answer.status} ${answer.body}`);
                }
            }
            catch (error) {
                if (fleet.tool.ran.some(ran => ran.id === id)) {
                    ended.cut.push(`${id} ${String(error)}`);
                }
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        }
        agent.destroy();
    }

    const pressing = Array.from({ length: 20 }, (_, caller) => press(caller));
    await until(() => ended.whole > 200, "callers press");
    gateway.child.kill("SIGTERM");
    const signalledAt = ended.whole;
    assert.equal(await gateway.ended, 0);
    await Promise.all(pressing);
    assert.ok(ended.whole > signalledAt, "calls are taken until the balancer has turned away");
    assert.deepEqual(ended.cut, []);
});

test("a request that arrives in parts across a stop is answered (guards against connections that are cut before their first request)", async () => {
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet);
    const socket = connect(gateway.settings.callers.port, "127.0.0.1");
    socket.on("error", () => undefined);
    const answer = received(socket);
    await once(socket, "connect");
    socket.write("GET /look/x HTTP/1.1\r\nhost: fleet");
    gateway.child.kill("SIGTERM");
    await until(async () => await refuses(gateway.settings.callers.port), "the gateway listens no more");
    socket.write(".test\r\nx-request-id: late\r\n\r\n");
    await until(() => socket.destroyed, "the connection ends");
    assert.match(answer(), /^HTTP\/1.1 200 /);
    assert.ok(fleet.tool.ran.some(ran => ran.id === "late"));
    assert.equal(await gateway.ended, 0);
});

test("after the loss of all processes turns go on and budgets hold (guards against state kept in memory)", async () => {
    await using fleet = await createFleet();
    const budget = 400;
    {
        await using first = await startProcess(fleet);
        assert.ok((await call(first, turn("t1", "p", undefined, budget))).whole);
        first.child.kill("SIGKILL");
        await first.ended;
    }
    await using second = await startProcess(fleet);
    const answer = await call(second, turn("t2", "p", "t1", budget));
    assert.ok(answer.whole);
    assert.match(fleet.engine.ran[1]!.body, /^input of t1;event 1 of t1\n/);
    let turns = 2;
    while ((await call(second, turn(`t${turns + 1}`, "p", undefined, budget))).status === 200) {
        turns += 1;
    }
    // Each turn generates 50 tokens; what the first process held counts as spent.
    assert.ok(turns * 50 <= budget);
    assert.ok(turns >= 4);
});
