// Runs the sample agent against three daemons and stand-ins for the platform and upstreams, all on this machine.
// node scripts/demo.mjs [--kill d2] [--command "dist/tamarackgauge"] [--html FILE] [--verbose]
import { execFileSync } from "node:child_process";
import { createHash, randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { register } from "tsx/esm/api";
import { request } from "undici";
import { createProcesses, freePorts, waitFor } from "./processes.mjs";

const root = resolve(import.meta.dirname, "..");
const { values: options } = parseArgs({
    options: {
        kill: { type: "string" },
        command: { type: "string" },
        html: { type: "string" },
        verbose: { type: "boolean", default: false },
    },
});

register();
const { walkThroughWaiver } = await import("../examples/waiver.ts");

const program = "waiver-17";
const planKey = randomBytes(16).toString("hex");
const operatorKey = randomBytes(16).toString("hex");
const configuration = {
    plans: [{ name: "rides", keys: [hashOf(planKey)] }],
    allowances: [{
        plan: "rides",
        models: ["waiver", "claims"],
        services: ["signatures"],
        budgetTokens: 1_000_000,
        programsAtOnce: 16,
    }],
};
const environment = {
    TAMARACKGAUGE_OPERATOR_KEY: operatorKey,
    TAMARACKGAUGE_OPERATOR_KEY_HASH: hashOf(operatorKey),
    TAMARACKGAUGE_CLUSTER_KEY: randomBytes(16).toString("hex"),
    TAMARACKGAUGE_SEAL_KEY: randomBytes(16).toString("hex"),
};
const folder = mkdtempSync(join(tmpdir(), "tamarackgauge-demo-"));
const processes = createProcesses({ command: options.command?.split(" ") ?? buildProgram(), cwd: root, environment,
    verbose: options.verbose });
const interrupted = new Promise((_, reject) => {
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => reject(new Error(`stopped by ${signal}`)));
    }
});

try {
    await Promise.race([demonstrate(), interrupted]);
    console.log(`done after ${(performance.now() / 1000).toFixed(1)} s`);
}
catch (error) {
    console.error(`the demonstration failed: ${error.message}`);
    processes.failures().forEach(failure => console.error(failure));
    process.exitCode = 1;
}
finally {
    await processes.endAll();
    rmSync(folder, { recursive: true });
}
// Exits explicitly, because an interrupted agent may still have open connections.
process.exit();

async function demonstrate() {
    const endpoints = await chooseEndpoints();
    if (options.kill !== undefined && !endpoints.daemons.some(({ name }) => name === options.kill)) {
        throw new Error(`there is no daemon ${options.kill}`);
    }
    await startAll(endpoints);
    await applyConfiguration(endpoints.daemons[0]);
    await Promise.all(endpoints.daemons.map(untilReady));
    const daemons = orderedAddresses(endpoints.daemons);
    const steps = await walk(daemons, program);
    printAnswers(steps);
    await checkContinuations(endpoints.upstreams);
    await showTimeline(endpoints.daemons);
}

/** Addresses of the daemons. The one to be killed is first, so that the agent uses it and has to fail over. */
function orderedAddresses(daemons) {
    const first = daemons.filter(({ name }) => name === options.kill);
    return [...first, ...daemons.filter(({ name }) => name !== options.kill)].map(addressOf);
}

/** Builds the bundle, because it starts in a tenth of the time that the sources take. */
function buildProgram() {
    execFileSync(process.execPath, [join(root, "scripts/build.mjs"), "--bundle-only", "--out", folder], { cwd: root });
    return [process.execPath, join(folder, "tamarackgauge.cjs")];
}

function hashOf(key) {
    return createHash("sha256").update(key).digest("hex");
}

async function chooseEndpoints() {
    const ports = await freePorts(10);
    const endpoint = (name, kind) => ({ name, kind, port: ports.pop() });
    return {
        platform: endpoint("platform", "platform"),
        upstreams: [endpoint("e1", "engine"), endpoint("e2", "engine"), endpoint("signatures", "service")],
        daemons: ["d1", "d2", "d3"].map(name => ({ ...endpoint(name, "daemon"), peerPort: ports.pop() })),
    };
}

function addressOf({ port }) {
    return `http://127.0.0.1:${port}`;
}

async function startAll({ platform, upstreams, daemons }) {
    const vms = join(folder, "vms.json");
    writeFileSync(vms, JSON.stringify(listVms(upstreams, daemons)));
    processes.start("platform", platformArguments(platform, vms));
    for (const { name, kind, port } of upstreams) {
        const named = kind === "engine" ? ["--name", name] : [];
        processes.start(name, ["standin", kind, ...named, "--port", String(port)]);
    }
    await Promise.all([platform, ...upstreams].map(endpoint => untilListening(endpoint)));
    daemons.forEach(daemon => processes.start(daemon.name, daemonArguments(daemon, platform)));
    await Promise.all(daemons.map(daemon => untilListening(daemon)));
}

/** Returns the VM list that the platform stand-in serves. */
function listVms(upstreams, daemons) {
    const common = { address: "127.0.0.1", dataCentre: "local", state: "live" };
    return [
        ...upstreams.map(({ name, kind, port }) => ({ name, kind, port, ...common,
            ...(kind === "engine" ? { models: ["waiver", "claims"], fenced: true } : {}) })
        ),
        ...daemons.map(({ name, kind, peerPort }) => ({ name, kind, port: peerPort, ...common })),
    ];
}

function platformArguments({ port }, vms) {
    return ["standin", "platform", "--port", String(port), "--vms", vms];
}

function daemonArguments({ name, port, peerPort }, platform) {
    return ["daemon", "--name", name, "--data-centre", "local", "--address", "127.0.0.1", "--port", String(port),
        "--peer-port", String(peerPort), "--platform-url", addressOf(platform)];
}

/** Waits for any response, whatever its status. */
function untilListening(endpoint) {
    return waitFor(`${endpoint.name} to listen`, async () => {
        const { body } = await request(`${addressOf(endpoint)}/healthz`, { signal: AbortSignal.timeout(1000) });
        await body.dump();
    }, hasFailures);
}

/** Waits until a daemon is ready, that is, until it has its lease and a configuration. */
function untilReady(daemon) {
    return waitFor(`${daemon.name} to be ready`, async () => {
        const { body, statusCode } = await request(`${addressOf(daemon)}/readyz`);
        const reason = await body.text();
        if (statusCode !== 200) {
            throw new Error(reason);
        }
    }, hasFailures);
}

function hasFailures() {
    return processes.failures().length > 0;
}

async function applyConfiguration(daemon) {
    const url = `${addressOf(daemon)}/operator/v1/configuration`;
    const headers = { "authorization": `Bearer ${operatorKey}`, "content-type": "application/json" };
    await waitFor("the configuration to be applied", async () => {
        const body = JSON.stringify(configuration);
        const answer = await request(url, { method: "PUT", headers: { ...headers, "if-match": "\"0\"" }, body });
        const text = await answer.body.text();
        if (answer.statusCode !== 200) {
            throw new Error(text);
        }
        return true;
    }, hasFailures);
    console.log("configuration applied");
}

async function walk(daemons, name) {
    console.log(`\nprogram ${name}`);
    let step = "";
    let killed = false;
    return walkThroughWaiver({
        daemons,
        key: planKey,
        program: name,
        models: { waiver: "waiver", claims: "claims" },
        service: "signatures",
        onStep: title => console.log(`  ${step = title}`),
        onText: () => {
            // Kills the daemon in the middle of an answer, so that another daemon has to send the rest.
            if (options.kill !== undefined && !killed && step === "question") {
                killed = true;
                console.log(`  killing ${options.kill}`);
                processes.kill(options.kill);
            }
        },
        onRetry: (reason, daemon) => console.log(`  retrying at ${daemon}: ${reason}`),
    });
}

function printAnswers(steps) {
    console.log("\nanswers");
    for (const { title, answer } of steps) {
        console.log(`  ${title}: ${answer}`);
    }
}

/** Checks that each answer that continued after a kill has the text that the engine would have produced without it. */
async function checkContinuations(upstreams) {
    for (const engine of upstreams.filter(({ kind }) => kind === "engine")) {
        const counts = await (await request(`${addressOf(engine)}/control/counts`)).body.json();
        if (counts.foreignPartials !== 0) {
            throw new Error(`${engine.name} was asked to continue text that it would not have produced`);
        }
    }
    console.log("\nevery answer is complete and consistent");
}

async function showTimeline(daemons) {
    // Events are recorded before the answer is sent, but the journal may still be being written.
    await sleep(500);
    const from = daemons.flatMap(daemon => ["--from", eventSource(daemon)]);
    const common = ["timeline", ...from, "--program", program];
    console.log(await processes.run("timeline", common));
    if (options.html !== undefined) {
        await processes.run("timeline page", [...common, "--format", "html", "--out", resolve(options.html)]);
        console.log(`timeline page written to ${options.html}`);
    }
}

/** Source of a daemon's events; for a killed daemon, a file with the events that it had written to standard output. */
function eventSource(daemon) {
    if (daemon.name !== options.kill) {
        return addressOf(daemon);
    }
    const file = join(folder, `${daemon.name}.ndjson`);
    writeFileSync(file, processes.outputOf(daemon.name).filter(line => line.startsWith("{\"process\":")).join("\n"));
    return file;
}
