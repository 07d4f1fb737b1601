// Builds the gateway into target/, or into the folder given as argument, so that it starts without resolving modules in node_modules: gateway.cjs listens for
// callers and then loads the rest, gatewayProgram.cjs, with the code that was compiled for it, gatewayProgram.cache. The modules of libraries that the
// gateway does not use are left out, as loading them takes most of the start.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { readFileSync, rmSync } from "node:fs";
import { resolve } from "node:path";

const outFolder = process.argv[2] ?? "target";
const programName = "gatewayProgram.cjs";
const cacheModule = resolve("packages/gateway/src/programCache.ts");

/** The modules of undici that the gateway uses; its main module loads all others too, and adds `request` to dispatchers. */
const usedUndici = `
require("undici/lib/dispatcher/dispatcher.js").prototype.request = require("undici/lib/api/api-request.js");
module.exports = {
    Agent: require("undici/lib/dispatcher/agent.js"),
    Client: require("undici/lib/dispatcher/client.js"),
    buildConnector: require("undici/lib/core/connect.js"),
};`;

/** The classes of prom-client that the gateway uses; its main module loads those of a cluster and the default metrics too. */
const usedPromClient = `
module.exports = {
    Counter: require("prom-client/lib/counter.js"),
    Gauge: require("prom-client/lib/gauge.js"),
    Histogram: require("prom-client/lib/histogram.js"),
    Registry: require("prom-client/lib/registry.js"),
};`;

const usedModules = new Map([["undici", usedUndici], ["prom-client", usedPromClient]]);

const leaveOutUnused = {
    name: "leave out unused modules",
    setup({ onResolve, onLoad }) {
        onResolve({ filter: /^(undici|prom-client)$/ }, ({ path }) => ({ path, namespace: "used" }));
        onLoad({ filter: /.*/, namespace: "used" },
            ({ path }) => ({ contents: usedModules.get(path), resolveDir: process.cwd() }));
        // undici does without HTTP/2 if the module is missing, and no upstream speaks it. msgpackr and ws do without their native
        // add-ons, which would be loaded where node_modules is beside the bundle, and could end the process.
        onResolve({ filter: /^(node:http2|msgpackr-extract|bufferutil|utf-8-validate)$/ },
            ({ path }) => ({ path, namespace: "missing" }));
        onLoad({ filter: /.*/, namespace: "missing" }, () => ({ contents: "throw new Error(\"left out\");" }));
        // Messages of zod in other languages.
        onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.c?js$/ }, () => ({
            contents: "export { default as en } from \"./en.js\";",
            resolveDir: "node_modules/zod/v4/locales",
        }));
    },
};

const loadProgramSeparately = {
    name: "load the program separately",
    setup({ onResolve, onLoad }) {
        onResolve({ filter: /\/run\.ts$/ },
            ({ kind, path }) => kind === "dynamic-import" ? { path, namespace: "program" } : undefined);
        onLoad({ filter: /.*/, namespace: "program" }, () => ({
            contents: `module.exports = require(${JSON.stringify(cacheModule)})
                .loadProgram(require("node:path").join(__dirname, ${JSON.stringify(programName)}));`,
            resolveDir: process.cwd(),
        }));
    },
};

const options = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // The program is loaded with `require`, which is faster than the loader of ES modules.
    supported: { "dynamic-import": false },
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: "none",
    logLevel: "warning",
};

await Promise.all([
    build({ ...options, entryPoints: ["packages/gateway/src/main.ts"], outfile: `${outFolder}/gateway.cjs`,
        plugins: [loadProgramSeparately] }),
    build({ ...options, entryPoints: ["packages/gateway/src/run.ts"], outfile: `${outFolder}/${programName}`,
        plugins: [leaveOutUnused] }),
]);

// The flags of the deploy file, as code that was compiled with others is not taken.
const [, ...command] = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))[1].split(" ");
const flags = command.filter(argument => argument.startsWith("--"));
rmSync(`${outFolder}/gatewayProgram.cache`, { force: true });
const { outputFiles: [{ text: writer }] } = await build({ ...options, write: false, stdin: {
    contents: `require(${JSON.stringify(cacheModule)}).writeProgramCache(${
        JSON.stringify(resolve(outFolder, programName))
    });`,
    resolveDir: process.cwd(),
} });
// The program is loaded, but not run.
const { status, stderr } = spawnSync(process.execPath, [...flags, "-"], { input: `${writer}\nprocess.exit();`,
    encoding: "utf8" });
if (status !== 0) {
    process.stderr.write(`the code is not compiled before the start: ${stderr}\n`);
}
