// Starts the gateways of the deploy file as processes, with settings like those of a small deployment.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Scripts are started in the root of the repository. */
const repository = process.cwd();
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const [, runLine] = /^run = "(.*)"$/m.exec(readFileSync(join(repository, "deploy/system.toml"), "utf8"));
const folder = mkdtempSync(join(tmpdir(), "review-"));
const children = new Set();

export async function freePort(host = "127.0.0.1") {
    const server = createServer();
    await new Promise((resolve, reject) => server.once("error", reject).listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

const zones = ["zone-a", "zone-b", "zone-c"];

function settingsOf({ name, zone, ip, ports, seeds, storeAddress, extra }) {
    return [
        `nodeName=${name}`, "role=gateway", "machineClass=front", "serves=front,control", `ip=${ip}`, `zone=${zone}`, "region=region",
        ...zones.map(each => `zones.${each}=region`),
        `bind.front=${ip}:${ports.front}`, `bind.readiness=${ip}:${ports.readiness}`, `bind.control=${ip}:${ports.control}`,
        `portRange=${ports.metrics},${ports.metrics}`, `seeds=${seeds.join(",")}`, "bootstrap=true", "countsAsLoss=false",
        "limits.cpuShare=0.675", "limits.cpus=2", "limits.memoryMb=220", "limits.maxFds=8200", "limits.linkMbps=1000.0",
        "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
        "contracts=base,drain,config,cost,recover,agent,stream,engine,platform", "faultTolerance.machines=1",
        "faultTolerance.zones=0", "faultTolerance.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2",
        "bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4.8", "bounds.drainMs=2000", "bounds.graceS=8",
        "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerMs=5000",
        "bounds.recoveryS=12", "bounds.passMs=120", "bounds.retryAfterS=0", "bounds.deadlineS=10", "bounds.settleMs=1000",
        `provider.address=${storeAddress}`, "provider.form=table", "provider.writesPerS=800", "provider.readsPerS=2000",
        "provider.txMs=5.0", "provider.partWritesS=200", "provider.rowBytes=65536", "provider.across=false",
        "provider.historyS=20", "provider.blobBytes=8388608", "provider.blobMs=25.0", "provider.blobMbS=80.0", ...extra, "",
    ].join("\n");
}

/** Chooses the addresses of a machine. */
export async function createMachine(name, { zone = zones[0], ip = "127.0.0.1" } = {}) {
    const [front, readiness, control, metrics] = [await freePort(ip), await freePort(ip), await freePort(ip), await freePort(ip)];
    return { name, zone, ip, ports: { front, readiness, control, metrics }, control: `${ip}:${control}` };
}

/** Starts the gateway of a machine. */
export function startGateway(machine, { storeAddress, seeds = [machine.control], extra = [] }) {
    const file = join(folder, `${machine.name}.conf`);
    writeFileSync(file, settingsOf({ ...machine, storeAddress, seeds, extra }));
    const [program, ...args] = runLine.split(" ");
    const child = spawn(program, args, { cwd: repository, stdio: ["ignore", "pipe", "pipe"],
        env: { PATH: process.env.PATH, HOME: process.env.HOME, TAMARACKGAUGE_CONFIG: file } });
    let log = "";
    child.stdout.on("data", chunk => log += chunk);
    child.stderr.on("data", chunk => log += chunk);
    children.add(child);
    const exited = new Promise(resolve => child.once("close", (code, signal) => {
        children.delete(child);
        resolve(code ?? signal);
    }));
    return { machine, child, exited, log: () => log, port: machine.ports.front, host: machine.ip,
        kill: signal => child.kill(signal) };
}

/** Waits until a gateway says that it is ready; throws after `maxMs`. */
export async function waitUntilReady({ machine }, maxMs = 20_000) {
    const deadline = Date.now() + maxMs;
    for (;;) {
        const status = await new Promise(resolve => get({ host: machine.ip, port: machine.ports.readiness, agent: false,
            path: "/tamarackgauge/ready" }, response => {
            response.resume();
            resolve(response.statusCode);
        }).on("error", () => resolve(0)));
        if (status === 200) {
            return;
        }
        if (Date.now() > deadline) {
            throw new Error(`${machine.name} did not become ready`);
        }
        await sleep(50);
    }
}

/** Waits until every named machine stands in the list of gateways that the store keeps. */
export async function waitUntilListed(store, names, maxMs = 10_000) {
    const deadline = Date.now() + maxMs;
    while (!names.every(name => store.rows("gateways").some(({ key }) => key === name))) {
        if (Date.now() > deadline) {
            throw new Error("the gateways did not register");
        }
        await sleep(50);
    }
}

/**
 * Runs a case: exit code 1 if `run` returns true (the rule was broken), 0 if it held, 2 if the case could not run. Ends all
 * processes, and writes the record into the folder that the first argument names.
 */
export async function runCase(run) {
    const [, , caseFolder] = process.argv;
    const lines = [];
    const startedAt = Date.now();
    const record = text => lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8)}  ${text}`);
    let exitCode = 2;
    const limit = setTimeout(() => {
        record("the case was stopped after 110 s");
        end();
    }, 110_000);
    async function end() {
        clearTimeout(limit);
        const running = [...children];
        running.forEach(child => child.kill("SIGCONT"));
        running.forEach(child => child.kill("SIGKILL"));
        await Promise.race([Promise.all(running.map(child => child.exitCode !== null || child.signalCode !== null
            ? undefined
            : new Promise(resolve => child.once("exit", resolve)))), sleep(2_000)]);
        rmSync(folder, { recursive: true, force: true });
        writeFileSync(join(caseFolder, "record.txt"), `${lines.join("\n")}\n`);
        console.log(lines.slice(-6).join("\n"));
        process.exit(exitCode);
    }
    process.on("uncaughtException", error => {
        record(`the case could not run: ${error.stack}`);
        exitCode = 2;
        void end();
    });
    try {
        const broken = await run({ record, withTrouble: process.env.TROUBLE !== "0" });
        exitCode = broken ? 1 : 0;
        record(broken ? "the rule was BROKEN" : "the rule held");
    }
    catch (error) {
        record(`the case could not run: ${error.stack}`);
    }
    await end();
}
