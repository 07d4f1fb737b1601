import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

const root = join(import.meta.dirname, "../../..");

function sourcesBelow(folder: string): string {
    return readdirSync(join(root, folder), { recursive: true, encoding: "utf8" })
        .filter(file => !/node_modules|[/\\]test[/\\]/.test(file) && /\.(ts|mjs|toml)$/.test(file))
        .map(file => readFileSync(join(root, folder, file), "utf8"))
        .join("\n");
}

test("each name on the page of outer names stands in the sources (guards against a rename that other processes, stored rows or operators' tools notice)", () => {
    const sources = ["packages", "platform", "deploy", "scripts"].map(sourcesBelow).join("\n");
    const page = readFileSync(join(root, "docs/outerNames.md"), "utf8");
    const names = [...page.replace(/\s*\n/g, " ").matchAll(/`([^`]+)`/g)].map(match => match[1]!);
    assert.ok(names.length > 500);
    const missing = names.filter(name => !new RegExp(`(?<!\\w)${escaped(name)}(?!\\w)`).test(sources));
    assert.deepEqual(missing, []);
});

/** Flags are declared without their leading hyphens. */
function escaped(name: string): string {
    return name.replace(/^--/, "").replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
}
