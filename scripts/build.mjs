// Builds the single binary: dist/tamarackgauge.cjs (one file for Node.js 20) and dist/tamarackgauge (with Node.js).
// node scripts/build.mjs [--out FOLDER] [--entry FILE] [--bundle-only]
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { parseArgs } from "node:util";
import { inject } from "postject";

const root = resolve(import.meta.dirname, "..");
const { values: options } = parseArgs({
    options: {
        "out": { type: "string", default: join(root, "dist") },
        "entry": { type: "string", default: join(root, "packages/cli/src/main.ts") },
        "bundle-only": { type: "boolean", default: false },
    },
});
const out = resolve(options.out);
const bundle = join(out, "tamarackgauge.cjs");
const executable = join(out, "tamarackgauge");

mkdirSync(out, { recursive: true });
// After a failed build nothing is left that could be taken for its result.
rmSync(bundle, { force: true });
rmSync(executable, { force: true });
await writeBundle();
report(bundle);
if (!options["bundle-only"]) {
    await writeExecutable();
    report(executable);
}

async function writeBundle() {
    await build({
        entryPoints: [resolve(options.entry)],
        outfile: bundle,
        absWorkingDir: root,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // Stack traces keep the names of functions; the size hardly matters beside that of Node.js.
        minifyWhitespace: true,
        keepNames: true,
        legalComments: "none",
        // CommonJS has no import.meta; libraries use its URL to load files beside them.
        define: { "import.meta.url": "importMetaUrl", "import.meta.dirname": "__dirname" },
        banner: { js: "const importMetaUrl = require(\"node:url\").pathToFileURL(__filename).href;" },
        plugins: [{ name: "absent parts", setup: leaveOut }],
        logLevel: "warning",
    });
}

/**
 * Optional parts that the libraries do without when they cannot be loaded. A `require` left in the bundle would make
 * the executable warn at every start.
 */
function leaveOut({ onResolve, onLoad }) {
    const absent = /^(bufferutil|utf-8-validate|msgpackr-extract|supports-color)$/;
    onResolve({ filter: absent }, ({ path }) => ({ path, namespace: "absent" }));
    onLoad({ filter: /.*/, namespace: "absent" }, ({ path }) => ({
        contents: `throw new Error("${path} is not part of the build")`,
    }));
}

/** Puts the bundle into a copy of the running Node.js. */
async function writeExecutable() {
    const blob = join(out, "tamarackgauge.blob");
    const config = join(out, "sea.json");
    writeFileSync(config, JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }));
    const result = spawnSync(process.execPath, ["--experimental-sea-config", config], { encoding: "utf8" });
    if (result.status !== 0) {
        throw new Error(`the blob was not written: ${result.stderr}`);
    }
    copyFileSync(process.execPath, executable);
    chmodSync(executable, 0o755);
    await inject(executable, "NODE_SEA_BLOB", readFileSync(blob), {
        sentinelFuse: "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2",
    });
    rmSync(blob);
    rmSync(config);
}

function report(file) {
    console.log(`${file}: ${(statSync(file).size / 1e6).toFixed(2)} MB`);
}
