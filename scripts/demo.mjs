// Runs the sample agent against three daemons and stand-ins of their surroundings, all on this computer.
// node scripts/demo.mjs [--kill d2] [--command "dist/tamarackgauge"] [--html FILE] [--verbose]
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
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
        command: { type: "string", default: `${process.execPath} --import tsx packages/cli/src/main.ts` },
        html: { type: "string" },
        verbose: { type: "boolean", default: false },
    },
});

register();
const { walkThroughWaiver } = await import("../examples/waiver.ts");

const program = "waiver-17";
const configuration = JSON.parse(readFileSync(join(root, "examples/configuration.json"), "utf8"));
const planKey = configuration.plans[0].keys[0];
const operatorKey = randomBytes(16).toString("hex");
const environment = {
    TAMARACKGAUGE_OPERATOR_KEY: operatorKey,
    TAMARACKGAUGE_CLUSTER_KEY: randomBytes(16).toString("hex"),
};
const processes = createProcesses({ command: options.command.split(" "), cwd: root, environment,
    verbose: options.verbose });
const folder = mkdtempSync(join(tmpdir(), "tamarackgauge-demo-"));
const interrupted = new Promise((_, reject) => {
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => reject(new Error(`stopped by ${signal}`)));
    }
});

try {
    await Promise.race([demonstrate(), interrupted]);
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
    const daemons = inOrder(places.daemons);
    const expected = options.kill === undefined ? undefined : await walk(daemons, `${program}-undisturbed`, false);
    const steps = await walk(daemons, program, true);
    printAnswers(steps);
    if (expected !== undefined) {
        compare(steps, expected);
    }
    await showTimeline(places.daemons);
}

/** The daemon to be killed takes the first calls, so that its death is noticed. */
function inOrder(daemons) {
    const first = daemons.filter(({ name }) => name === options.kill);
    return [...first, ...daemons.filter(({ name }) => name !== options.kill)].map(addressOf);
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
        processes.start(name, ["standin", kind, "--name", name, "--port", String(port)]);
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
    return ["daemon", "--name", name, "--port", String(port), "--peer-port", String(peerPort), "--platform-url",
        addressOf(platform)];
}

/** Any answer will do, with whatever status. */
function untilListening(place) {
    return waitFor(`${place.name} to listen`, async () => {
        const { body } = await request(`${addressOf(place)}/healthz`, { signal: AbortSignal.timeout(1000) });
        await body.dump();
    }, hasFailures);
}

function hasFailures() {
    return processes.failures().length > 0;
}

async function applyConfiguration(daemon) {
    const url = `${addressOf(daemon)}/operator/v1/configuration`;
    const headers = { "authorization": `Bearer ${operatorKey}`, "content-type": "application/json" };
    await waitFor("the configuration to be applied", async () => {
        const before = await (await request(url, { headers })).body.json();
        const body = JSON.stringify({ expectedVersion: before.version ?? 0, configuration });
        const answer = await request(url, { method: "PUT", headers, body });
        const text = await answer.body.text();
        if (answer.statusCode !== 200) {
            throw new Error(text);
        }
        return true;
    }, hasFailures);
    // In force on every daemon within 5 s; a daemon that is not ready yet refuses, and the client asks again.
    console.log("configuration applied");
}

async function walk(daemons, name, disturb) {
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
            if (disturb && options.kill !== undefined && !killed && step === "question") {
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

/** The answers of the model must be those of the undisturbed run; the service may count its calls. */
function compare(steps, expected) {
    const textOf = list => JSON.stringify(list.filter(({ title }) => title !== "signature"));
    if (textOf(steps) !== textOf(expected)) {
        throw new Error("the answers differ from those of the undisturbed run");
    }
    console.log("\nthe answers equal those of the undisturbed run");
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
