// Builds dist/tamarackgauge.cjs (a bundle for Node.js 20) and dist/tamarackgauge (an executable that includes Node.js).
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
// Removes old output first, so that it cannot be mistaken for the result of a failed build.
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
        // Keeps function names in stack traces; the extra size is small compared with Node.js itself.
        minifyWhitespace: true,
        keepNames: true,
        legalComments: "none",
        // CommonJS has no import.meta; libraries use import.meta.url to load files next to them.
        define: { "import.meta.url": "importMetaUrl", "import.meta.dirname": "__dirname" },
        banner: { js: "const importMetaUrl = require(\"node:url\").pathToFileURL(__filename).href;" },
        plugins: [{ name: "excluded modules", setup: excludeModules }],
        logLevel: "warning",
    });
}

/**
 * Replaces optional dependencies, which libraries do without if they cannot be loaded, by modules that throw. If they
 * were marked as external, the `require` left in the bundle would make the executable print a warning at every start.
 */
function excludeModules({ onResolve, onLoad }) {
    const excluded = /^(bufferutil|utf-8-validate|msgpackr-extract|supports-color)$/;
    onResolve({ filter: excluded }, ({ path }) => ({ path, namespace: "excluded" }));
    onLoad({ filter: /.*/, namespace: "excluded" }, ({ path }) => ({
        contents: `throw new Error("${path} is not part of the build")`,
    }));
}

/** Injects the bundle into a copy of the running Node.js executable. */
async function writeExecutable() {
    const blob = join(out, "tamarackgauge.blob");
    const config = join(out, "sea.json");
    writeFileSync(config, JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }));
    const result = spawnSync(process.execPath, ["--experimental-sea-config", config], { encoding: "utf8" });
    if (result.status !== 0) {
        throw new Error(`building the single executable application blob failed: ${result.stderr}`);
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
