// Builds the gateway into target/, or into the folder given as argument, so that it starts without resolving modules in node_modules: gateway.cjs listens for
// callers and then loads the rest, gatewayProgram.cjs. The modules of libraries that the gateway does not use are left
// out, as loading them takes most of the start.
import { build } from "esbuild";

const outFolder = process.argv[2] ?? "target";
const programFile = "./gatewayProgram.cjs";

/** The modules of undici that the gateway uses; its main module loads all others too, and adds `request` to dispatchers. */
const usedUndici = `
require("undici/lib/dispatcher/dispatcher.js").prototype.request = require("undici/lib/api/api-request.js");
module.exports = {
    Agent: require("undici/lib/dispatcher/agent.js"),
    Client: require("undici/lib/dispatcher/client.js"),
    buildConnector: require("undici/lib/core/connect.js"),
};`;

const leaveOutUnused = {
    name: "leave out unused modules",
    setup({ onResolve, onLoad }) {
        onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "used" }));
        onLoad({ filter: /.*/, namespace: "used" }, () => ({ contents: usedUndici, resolveDir: process.cwd() }));
        // Messages of zod in other languages.
        onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.c?js$/ }, () => ({
            contents: "export { default as en } from \"./en.js\";",
            resolveDir: "node_modules/zod/v4/locales",
        }));
    },
};

const loadProgramSeparately = {
    name: "load the program separately",
    setup({ onResolve }) {
        onResolve({ filter: /\/run\.ts$/ },
            ({ kind }) => kind === "dynamic-import" ? { path: programFile, external: true } : undefined);
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
    external: ["msgpackr-extract", "bufferutil", "utf-8-validate"],
};

await Promise.all([
    build({ ...options, entryPoints: ["packages/gateway/src/main.ts"], outfile: `${outFolder}/gateway.cjs`,
        plugins: [loadProgramSeparately] }),
    build({ ...options, entryPoints: ["packages/gateway/src/run.ts"], outfile: `${outFolder}/gatewayProgram.cjs`,
        plugins: [leaveOutUnused] }),
]);
