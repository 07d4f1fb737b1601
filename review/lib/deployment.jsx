// A small deployment on loopback addresses: the gateways as separate processes, started with the command of the deploy
// file, the project's own row store in place of the platform's, and a recorder.
// (The extension keeps these sources out of the default lint run, whose TypeScript project does not contain them.)
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { createRowStore } from "../../packages/standin/src/rowStore.ts";

export const trouble = process.env.TROUBLE !== "0";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const startedAt = performance.now();
const recordFile = process.env.RECORD;

mkdirSync(dirname(recordFile), { recursive: true });
writeFileSync(recordFile, `TROUBLE=${trouble ? 1 : 0}\n`);

/** Appends a line with the time in seconds to record.txt. */
export function record(text) {
    appendFileSync(recordFile, `${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}\n`);
}

/** Returns a loopback port below the ephemeral range on which nothing listens. */
export function freePort() {
    const port = 10_000 + Math.floor(Math.random() * 22_000);
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(freePort()));
        server.listen({ host: "127.0.0.1", port }, () => server.close(() => resolve(port)));
    });
}

/** The arguments of the program, from the deploy file. */
function deployCommand() {
    const line = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))[1];
    return line.split(" ");
}

const children = new Set();
const folder = mkdtempSync(join(tmpdir(), "review-"));

function killAll() {
    children.forEach(child => child.kill("SIGKILL"));
    rmSync(folder, { recursive: true, force: true });
}

/** Runs a case and exits: 1 if it returns true (the rule was broken), 0 if false, 2 if it could not run. */
export function runCase(body, maxSeconds = 110) {
    const timer = setTimeout(() => finish(2, "the case took too long"), maxSeconds * 1_000);
    function finish(code, text) {
        clearTimeout(timer);
        record(`exit ${code}: ${text}`);
        console.log(text);
        killAll();
        process.exit(code);
    }
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.on(signal, () => finish(2, signal));
    }
    body().then(({ broken, text }) => finish(broken ? 1 : 0, `${broken ? "BROKEN" : "held"}: ${text}`),
        error => finish(2, `could not run: ${error.stack ?? error}`));
}

/** Starts the platform's store, with the operator's configuration. */
export async function startPlatform(config) {
    const rowStore = createRowStore();
    const platform = {
        rowStore,
        configure: next => {
            rowStore.put("op", "", "config", next);
            record(`operator: configuration ${next.version} is acknowledged`);
        },
    };
    platform.configure(config);
    return platform;
}

/** Registers an engine in the store and renews its entry as engines do. */
export function registerEngine(platform, { id, backend, port, zone = "zone-a", slots = 12 }) {
    let sequence = 0;
    const born = Date.now();
    const entry = { backend, address: `127.0.0.1:${port}`, zone, version: "1", slots, state: "ready",
        coldRemainingMs: 0, born };
    const beat = () => platform.rowStore.put("servers", "", id, { ...entry, sequence: ++sequence });
    beat();
    const timer = setInterval(beat, 1_200);
    return { id, drain: () => entry.state = "draining", stop: () => clearInterval(timer) };
}

const maxStoreCallBytes = 1_048_576;

/** An endpoint of the store that refuses calls of more than 1 MB, as the platform's store does. */
async function openLimitedStore(platform) {
    const store = await platform.rowStore.open();
    const server = createHttpServer((incoming, response) => {
        const length = Number(incoming.headers["content-length"] ?? 0);
        const tooLong = length > maxStoreCallBytes;
        const chunks = [];
        incoming.on("data", chunk => tooLong || chunks.push(chunk));
        incoming.on("end", () => {
            if (tooLong) {
                record(`the store refuses a call of ${length} bytes`);
                response.writeHead(413, { "content-type": "application/json" }).end("{}");
                return;
            }
            const body = Buffer.concat(chunks);
            const { host, ...headers } = incoming.headers;
            const forwarded = request({ host: store.address, port: store.port, path: incoming.url,
                method: incoming.method, headers, agent: false }, answer => {
                response.writeHead(answer.statusCode, answer.headers);
                answer.pipe(response);
            });
            forwarded.on("error", () => response.destroy());
            response.on("close", () => forwarded.destroy());
            forwarded.end(body);
        });
    });
    server.keepAliveTimeout = 60_000;
    const port = await freePort();
    await new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    return { address: "127.0.0.1", port };
}

/**
 * Starts gateways as processes; each has its own endpoint of the store. Resolves when all are ready. With `restart`, a
 * process that ends is started again, as the platform does.
 */
export async function startGateways(platform, count, { graceS = 8, limitedStore = false, restart = false } = {}) {
    const zones = ["zone-a", "zone-b", "zone-c"];
    const planned = [];
    for (let index = 0; index < count; index += 1) {
        planned.push({ name: `front-${index + 1}`, zone: zones[index % zones.length], front: await freePort(),
            readiness: await freePort(), control: await freePort(), store: await (limitedStore ? openLimitedStore(platform) : platform.rowStore.open()), restart });
    }
    const seeds = planned.slice(0, 3).map(({ control }) => `127.0.0.1:${control}`).join(",");
    const gateways = planned.map(plan => startGateway(plan, seeds, zones, graceS));
    await Promise.all(gateways.map(gateway => gateway.ready()));
    // The gateways learn of each other within a few seconds.
    await sleep(6_000);
    return gateways;
}

function startGateway(plan, seeds, zones, graceS) {
    const settingsFile = join(folder, `${plan.name}.conf`);
    writeFileSync(settingsFile, settingsText(plan, seeds, zones, graceS));
    const [program, ...args] = deployCommand();
    const gateway = { ...plan, log: "", exits: [], start, ready };

    function start() {
        const child = spawn(program === "node" ? process.execPath : program, args, {
            stdio: ["ignore", "pipe", "pipe"],
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C.UTF-8",
                TAMARACKGAUGE_CONFIG: settingsFile },
        });
        children.add(child);
        child.stdout.on("data", chunk => gateway.log += chunk);
        child.stderr.on("data", chunk => gateway.log += chunk);
        child.once("exit", (code, signal) => {
            children.delete(child);
            gateway.exits.push({ code, signal });
            record(`${plan.name} ended: ${code === null ? signal : `code ${code}`}`);
            if (plan.restart) {
                setTimeout(start, 500);
            }
        });
        gateway.child = child;
        record(`${plan.name} started, pid ${child.pid}, front 127.0.0.1:${plan.front}`);
    }

    async function ready() {
        for (let tries = 0; tries < 300; tries += 1) {
            const answer = await send({ port: plan.readiness, path: "/tamarackgauge/ready" }).catch(() => undefined);
            if (answer?.status === 200) {
                return;
            }
            await sleep(100);
        }
        throw new Error(`${plan.name} does not become ready:\n${gateway.log.slice(-2_000)}`);
    }

    start();
    return gateway;
}

function settingsText({ name, zone, front, readiness, control, store }, seeds, zones, graceS) {
    return [
        `nodeName=${name}`, "role=gateway", "machineClass=front", "serves=front,control", "ip=127.0.0.1",
        `zone=${zone}`, "region=region-a", ...zones.map(each => `zones.${each}=region-a`),
        `bind.front=127.0.0.1:${front}`, `bind.readiness=127.0.0.1:${readiness}`, `bind.control=127.0.0.1:${control}`,
        `seeds=${seeds}`, "bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.675", "limits.cpus=2",
        "limits.memoryMb=220", "limits.maxFds=8200", "limits.linkMbps=1000.0", "limits.diskMb=0",
        "discovery=platform", "entry=vip", "heartbeatMs=1200",
        "contracts=base,drain,config,cost,recover,agent,stream,engine,platform", "faultTolerance.machines=1",
        "faultTolerance.zones=0", "faultTolerance.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2",
        "bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4.8", "bounds.drainMs=2000",
        `bounds.graceS=${graceS}`, "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
        "bounds.rollbackSlackMs=250", "bounds.outerMs=5000", "bounds.recoveryS=12", "bounds.passMs=120",
        "bounds.retryAfterS=0", "bounds.deadlineS=10", "bounds.settleMs=1000",
        `provider.address=${store.address}:${store.port}`, "provider.form=table", "provider.writesPerS=800",
        "provider.readsPerS=2000", "provider.txMs=5.0", "provider.partWritesS=200", "provider.rowBytes=65536",
        "provider.across=false", "provider.historyS=20", "provider.blobBytes=8388608", "provider.blobMs=25.0",
        "provider.blobMbS=80.0", "",
    ].join("\n");
}

/**
 * Sends one request. Resolves with the answer, where `complete` says whether it is complete according to its framing;
 * rejects if the connection ends without an answer's head.
 */
export function send({ port, path, method, headers = {}, body, agent = false }) {
    if (headers["X-Request-Id"] !== undefined) {
        record(`client: sends ${headers["X-Request-Id"]} (${path}) to 127.0.0.1:${port}`);
    }
    return new Promise((resolve, reject) => {
        const outgoing = request({ host: "127.0.0.1", port, path, agent, headers,
            method: method ?? (body === undefined ? "GET" : "POST") }, response => {
            const chunks = [];
            const end = () =>
                resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks),
                    complete: response.complete });
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", end);
            response.on("error", end);
        });
        outgoing.on("error", reject);
        outgoing.end(body);
    });
}

let lastId = 0;
/** A request id as clients make them: each attempt has its own. */
export function newId() {
    lastId += 1;
    return (BigInt(Date.now()) * 100_000n + BigInt(lastId)).toString(16).padStart(16, "0");
}

/** Routes and services of the cases; `changes` are merged into the routes by name. */
export function configuration(version, changes = {}) {
    const route = (name, fields) => ({ name, hostname: "review.example", prefix: `/${name}/`, timeoutMs: 3_000,
        targetLatencyMs: 250, priority: 0, ...fields, ...changes[name] });
    return {
        version,
        routes: [
            route("turn", { routeType: "streaming", backend: "models", maxAttempts: 2, gapAimMs: 300, sticky: true,
                retain: true, retentionS: 60 }),
            route("status", { routeType: "idempotent", backend: "app", maxAttempts: 2, timeoutMs: 1_000,
                targetLatencyMs: 60, priority: 2 }),
            route("charge", { routeType: "non_idempotent", backend: "app", maxAttempts: 1, timeoutMs: 1_200,
                targetLatencyMs: 100, priority: 2 }),
        ],
        backends: [
            { name: "models", maxConnections: 160, healthCheck: "/healthz",
                engine: { slots: 12, kvCapacityTokens: 395_977, eventTokens: 27 } },
            { name: "app", maxConnections: 110, healthCheck: "/healthz" },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}
