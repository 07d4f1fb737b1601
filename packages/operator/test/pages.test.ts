import { checkConfiguration, problemCodes } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { exitCodes } from "../src/index.ts";

function read(path: string): Promise<string> {
    return readFile(new URL(`../../../${path}`, import.meta.url), "utf8");
}

describe("docs/configuration.md", () => {
    it("shows an example that passes the check, as does the example file", async () => {
        const page = await read("docs/configuration.md");
        const example = /```json\n([^]*?)```/.exec(page)?.[1] ?? "";
        for (const text of [example, await read("examples/configuration.json")]) {
            assert.deepEqual(checkConfiguration(text).swap().orDefault([]), []);
        }
    });

    it("lists every problem and every exit code, so that no number is left unexplained", async () => {
        const page = await read("docs/configuration.md");
        for (const [name, code] of Object.entries(problemCodes)) {
            assert.ok(page.includes(`| ${code} | \`${name}\` |`), name);
        }
        for (const code of Object.values(exitCodes)) {
            assert.ok(page.includes(`\n| ${code} | `), String(code));
        }
    });
});
