// Starts stand-ins and daemons as child processes, measures each policy with `tamarackgauge bench run`, prints the
// results with `bench report`, and ends every process that it started.
//
// node scripts/bench.mjs --experiment packages/bench/experiments/zahorie.json [--seeds 5] [--first-seed 1]
//     [--daemons 4] [--scale N] [--policies attainedService,leastConnections,...] [--all-runs] [--out FOLDER]
//     [--profile POLICY]
import { buildSync } from "esbuild";
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { parseArgs } from "node:util";

const { values: flags } = parseArgs({
    options: {
        "experiment": { type: "string" },
        "seeds": { type: "string", default: "5" },
        "first-seed": { type: "string", default: "1" },
        "daemons": { type: "string", default: "4" },
        "scale": { type: "string" },
        "policies": { type: "string", default: "attainedService,leastConnections,roundRobin,consistentHash" },
        "all-runs": { type: "boolean", default: false },
        "out": { type: "string", default: "dist/bench" },
        "profile": { type: "string" },
    },
});

const operatorKey = "operator-key-of-the-bench";
const sha256 = text => createHash("sha256").update(text).digest("hex");
const program = join(flags.out, "tamarackgauge.cjs");

/** Runs of each policy: all runs for the policy under test; for the baselines, only those that are compared with it. */
const runsOf = {
    attainedService: "idle,load20,load80,alone,slowed,crest",
    leastConnections: "load20,load80,crest",
    roundRobin: "load80",
    consistentHash: "load80",
};

const children = new Set();

/** Starts the program as a process; resolves with the process and its port once it reports that it is listening. */
function start(args, environment = {}, nodeFlags = []) {
    const child = spawn(process.execPath, [...nodeFlags, program, ...args], {
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, ...environment },
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    return new Promise((resolve, reject) => {
        child.once("exit", code => reject(new Error(`${args[0]} ${args[1]} exited with ${code}`)));
        createInterface({ input: child.stdout }).on("line", line => {
            const match = /listening on [\d.]+:(\d+)/.exec(line);
            if (match !== null) {
                resolve({ child, port: Number(match[1]) });
            }
        });
    });
}

/** Runs a command until it exits and returns its exit code. */
function run(args, environment = {}) {
    const child = spawn(process.execPath, [program, ...args], {
        stdio: "inherit",
        env: { ...process.env, ...environment },
    });
    children.add(child);
    return new Promise(resolve => {
        child.once("exit", code => {
            children.delete(child);
            resolve(code ?? 1);
        });
    });
}

/** Sends SIGTERM, again after 2 s so that daemons no longer wait for open streams, and SIGKILL after 8 s. */
async function stop(processes) {
    const exits = processes.map(child => new Promise(resolve => child.once("exit", resolve)));
    const kill = signal => processes.filter(child => children.has(child)).forEach(child => child.kill(signal));
    kill("SIGTERM");
    const timers = [setTimeout(() => kill("SIGTERM"), 2_000), setTimeout(() => kill("SIGKILL"), 8_000)];
    await Promise.all(exits);
    timers.forEach(clearTimeout);
}

/** Stops daemons first, because they need the table service to hand over their partitions. */
async function stopAll() {
    const isDaemon = child => child.spawnargs.includes("daemon");
    await stop([...children].filter(isDaemon));
    await stop([...children].filter(child => !isDaemon(child)));
}

async function startStandins(experiment) {
    const platform = await start(["standin", "platform"]);
    const common = { address: "127.0.0.1", dataCentre: "dc1", state: "live" };
    const service = await start(["standin", "service", "--delay", String(100 / experiment.scale)]);
    const vms = [{ ...common, name: experiment.service, kind: "service", port: service.port }];
    for (const pool of experiment.pools) {
        const settings = ["--models", pool.model, "--batch", pool.batch, "--step", pool.stepMs, "--sequence-step",
            pool.sequenceMs, "--prefill-rate", pool.prefillRate, "--prefill-chunk", pool.prefillChunk, "--cache-tokens",
            pool.cacheTokens, "--scale", experiment.scale].map(String);
        const engines = await Promise.all(
            Array.from({ length: pool.engines }, (_, index) =>
                start(["standin", "engine", "--name", `${pool.model}${index}`, ...settings])),
        );
        engines.forEach(({ port }, index) =>
            vms.push({ ...common, name: `${pool.model}${index}`, kind: "engine", port, models: [pool.model] })
        );
    }
    await putJson(`http://127.0.0.1:${platform.port}/control/vms`, vms);
    return platform;
}

async function startDaemons(experiment, platform, policy) {
    const environment = {
        TAMARACKGAUGE_CLUSTER_KEY: "cluster-key-of-the-bench",
        TAMARACKGAUGE_SEAL_KEY: "seal-key-of-the-bench",
    };
    const profile = flags.profile === policy ? ["--cpu-prof", "--cpu-prof-dir", flags.out] : [];
    return Promise.all(Array.from({ length: Number(flags.daemons) }, (_, index) =>
        start([
            "daemon",
            "--name",
            `d${index + 1}`,
            "--data-centre",
            "dc1",
            "--address",
            "127.0.0.1",
            "--port",
            "0",
            "--peer-port",
            "0",
            "--platform-url",
            `http://127.0.0.1:${platform.port}`,
            "--operator-key-hash",
            sha256(operatorKey),
            "--policy",
            policy,
            "--patience",
            String(Math.round(experiment.patienceMs / experiment.scale)),
        ], environment, profile)));
}

async function putJson(url, content, headers = {}) {
    return fetch(url, { method: "PUT", body: JSON.stringify(content),
        headers: { "content-type": "application/json", ...headers } });
}

async function configure(experiment, urls) {
    const plans = [...new Set(experiment.kinds.map(({ plan }) => plan))];
    const configuration = {
        plans: plans.map(name => ({ name, keys: [sha256(`key-of-${name}`)] })),
        allowances: plans.map(plan => ({ plan, models: experiment.pools.map(({ model }) => model),
            services: [experiment.service], budgetTokens: 1e12, programsAtOnce: 1e6 })
        ),
    };
    const authorization = `Bearer ${operatorKey}`;
    await waitUntil("a configuration is applied",
        async () =>
            (await putJson(`${urls[0]}/operator/v1/configuration`, configuration, { authorization,
                "if-match": "\"0\"" })).ok);
    await waitUntil("every daemon is ready and owns partitions", async () => {
        const statuses = await Promise.all(
            urls.map(async url => (await fetch(`${url}/operator/v1/status`, { headers: { authorization } })).json()),
        );
        return statuses.every(({ ready, configurationVersion, details }) =>
            ready && configurationVersion >= 1 && new Set(details.map?.owners).size === urls.length
        );
    });
}

async function waitUntil(description, condition) {
    const deadline = Date.now() + 30_000;
    while (!await condition().catch(() => false)) {
        if (Date.now() > deadline) {
            throw new Error(`timed out after 30 s waiting until ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

/** Measures a policy with new daemons and engines, so that it does not profit from caches filled under another one. */
async function measure(experiment, policy) {
    const platform = await startStandins(experiment);
    const daemons = await startDaemons(experiment, platform, policy);
    const urls = daemons.map(({ port }) => `http://127.0.0.1:${port}`);
    await configure(experiment, urls);
    const out = join(flags.out, `${experiment.name}-${policy}.json`);
    const runs = flags["all-runs"] ? runsOf.attainedService : runsOf[policy] ?? runsOf.attainedService;
    const code = await run(["bench", "run", "--experiment", flags.experiment, "--policy", policy, "--platform",
        `http://127.0.0.1:${platform.port}`, "--daemon", urls.join(","), "--scale", String(experiment.scale), "--seeds",
        flags.seeds, "--first-seed", flags["first-seed"], "--runs", runs, "--pids",
        daemons.map(({ child }) => child.pid).join(","), "--out", out], { TAMARACKGAUGE_OPERATOR_KEY: operatorKey });
    await stopAll();
    return { out, code };
}

async function main() {
    if (flags.experiment === undefined) {
        process.stderr.write("--experiment FILE is required\n");
        return 2;
    }
    mkdirSync(flags.out, { recursive: true });
    buildSync({ entryPoints: ["packages/cli/src/main.ts"], bundle: true, platform: "node", target: "node20",
        format: "cjs", outfile: program, logLevel: "error" });
    const experiment = JSON.parse(readFileSync(flags.experiment, "utf8"));
    experiment.scale = Number(flags.scale ?? experiment.scale);
    process.stdout.write(`${experiment.name}: first seed ${flags["first-seed"]}, number of seeds ${flags.seeds}; `
        + `scale ${experiment.scale}; ${flags.daemons} daemons; ${availableParallelism()} cores\n`);
    const started = Date.now();
    const files = [];
    let exitCode = 0;
    for (const policy of flags.policies.split(",")) {
        const { out, code } = await measure(experiment, policy);
        exitCode = Math.max(exitCode, code);
        files.push(out);
    }
    const base = join(flags.out, experiment.name);
    const code = await run(["bench", "report", "--from", files.join(","), "--html", `${base}.html`, "--json",
        `${base}.json`, "--markdown", `${base}.md`]);
    process.stdout.write(`whole experiment: ${Math.round((Date.now() - started) / 1000)} s; page: ${base}.html\n`);
    return Math.max(exitCode, code);
}

for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => void stopAll().then(() => process.exit(1)));
}
try {
    process.exitCode = await main();
}
catch (error) {
    process.stderr.write(`${error.message}\n`);
    process.exitCode = 1;
}
finally {
    await stopAll();
}
