// Runs the sample agent against three daemons and stand-ins of their surroundings, all on this computer.
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
// An interrupted agent may still hold connections.
process.exit();

async function demonstrate() {
    const places = await choosePlaces();
    if (options.kill !== undefined && !places.daemons.some(({ name }) => name === options.kill)) {
        throw new Error(`there is no daemon ${options.kill}`);
    }
    await startAll(places);
    await applyConfiguration(places.daemons[0]);
    await Promise.all(places.daemons.map(untilReady));
    const daemons = inOrder(places.daemons);
    const steps = await walk(daemons, program);
    printAnswers(steps);
    await checkContinuations(places.upstreams);
    await showTimeline(places.daemons);
}

/** The daemon to be killed takes the first calls, so that its death is noticed. */
function inOrder(daemons) {
    const first = daemons.filter(({ name }) => name === options.kill);
    return [...first, ...daemons.filter(({ name }) => name !== options.kill)].map(addressOf);
}

/** The bundle starts in a tenth of the time that the sources take. */
function buildProgram() {
    execFileSync(process.execPath, [join(root, "scripts/build.mjs"), "--bundle-only", "--out", folder], { cwd: root });
    return [process.execPath, join(folder, "tamarackgauge.cjs")];
}

function hashOf(key) {
    return createHash("sha256").update(key).digest("hex");
}

async function choosePlaces() {
    const ports = await freePorts(10);
    const place = (name, kind) => ({ name, kind, port: ports.pop() });
    return {
        platform: place("platform", "platform"),
        upstreams: [place("e1", "engine"), place("e2", "engine"), place("signatures", "service")],
        daemons: ["d1", "d2", "d3"].map(name => ({ ...place(name, "daemon"), peerPort: ports.pop() })),
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
    await Promise.all([platform, ...upstreams].map(place => untilListening(place)));
    daemons.forEach(daemon => processes.start(daemon.name, daemonArguments(daemon, platform)));
    await Promise.all(daemons.map(daemon => untilListening(daemon)));
}

/** The VM list as the platform serves it. */
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

/** Any answer will do, with whatever status. */
function untilListening(place) {
    return waitFor(`${place.name} to listen`, async () => {
        const { body } = await request(`${addressOf(place)}/healthz`, { signal: AbortSignal.timeout(1000) });
        await body.dump();
    }, hasFailures);
}

/** A daemon is ready once it has its lease and a configuration. */
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
            // In the middle of an answer, so that the rest has to come from elsewhere.
            if (options.kill !== undefined && !killed && step === "question") {
                killed = true;
                console.log(`  ${options.kill} is killed`);
                processes.kill(options.kill);
            }
        },
        onRetry: (reason, daemon) => console.log(`  asked again at ${daemon}: ${reason}`),
    });
}

function printAnswers(steps) {
    console.log("\nanswers");
    for (const { title, answer } of steps) {
        console.log(`  ${title}: ${answer}`);
    }
}

/** An answer that goes on after a kill must go on with the text that the engine would have produced anyway. */
async function checkContinuations(upstreams) {
    for (const engine of upstreams.filter(({ kind }) => kind === "engine")) {
        const counts = await (await request(`${addressOf(engine)}/control/counts`)).body.json();
        if (counts.foreignPartials !== 0) {
            throw new Error(`${engine.name} was asked to continue a text that is not its own`);
        }
    }
    console.log("\nevery answer is complete and of one piece");
}

async function showTimeline(daemons) {
    // Events reach the record before the answer, but the journal may still be written.
    await sleep(500);
    const from = daemons.flatMap(daemon => ["--from", sourceOf(daemon)]);
    const common = ["timeline", ...from, "--program", program];
    console.log(await processes.run("timeline", common));
    if (options.html !== undefined) {
        await processes.run("timeline page", [...common, "--format", "html", "--out", resolve(options.html)]);
        console.log(`the page is in ${options.html}`);
    }
}

/** A killed daemon's record is what it wrote to its standard output before, if it was set up to do so. */
function sourceOf(daemon) {
    if (daemon.name !== options.kill) {
        return addressOf(daemon);
    }
    const file = join(folder, `${daemon.name}.ndjson`);
    writeFileSync(file, processes.outputOf(daemon.name).filter(line => line.startsWith("{\"process\":")).join("\n"));
    return file;
}
