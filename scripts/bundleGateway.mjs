// Builds target/gateway.cjs: the gateway as one file, so that it starts without resolving modules in node_modules.
import { build } from "esbuild";

await build({
    entryPoints: ["packages/gateway/src/main.ts"],
    outfile: "target/gateway.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    keepNames: true,
    legalComments: "none",
    logLevel: "warning",
    external: ["msgpackr-extract", "bufferutil", "utf-8-validate"],
});
