// Formats the sources with dprint's TypeScript plugin, or with --check lists the files that are not formatted.
// The plugin runs in dprint's JavaScript host, because the dprint executable is not published for every platform.
import { createContext } from "@dprint/formatter";
import * as typescript from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";

const { lineWidth, indentWidth, useTabs, newLineKind, typescript: rules } = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);
const context = createContext({ lineWidth, indentWidth, useTabs, newLineKind });
context.addPlugin(readFileSync(typescript.getPath()), rules);

const check = process.argv.includes("--check");
const files = ["packages", "platform", "scripts", "examples"]
    .flatMap(folder => readdirSync(folder, { recursive: true }).map(file => `${folder}/${file}`))
    .filter(file => !file.includes("node_modules") && /\.(ts|mjs)$/.test(file))
    .concat("eslint.config.mjs");
let changed = 0;
for (const file of files) {
    const before = readFileSync(file, "utf8");
    const after = context.formatText({ filePath: file, fileText: before });
    if (after === before) {
        continue;
    }
    changed += 1;
    if (check) {
        console.log(`not formatted: ${file}`);
    }
    else {
        writeFileSync(file, after);
    }
}
if (check && changed > 0) {
    console.log(`${changed} files are not formatted; run "npm run format"`);
    process.exit(1);
}
