import type { Settings } from "@tamarackgauge/core";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Readable } from "node:stream";
import { runCommand } from "../src/commands.ts";

/** Runs a command line and returns its exit code and output. */
export async function run(commandLine: string, environment: Record<string, string> = {}, input = "") {
    const out: string[] = [];
    const error: string[] = [];
    const started: Settings[] = [];
    const terminal = {
        environment,
        input: Readable.from([input]),
        out: (line: string) => out.push(line),
        error: (line: string) => error.push(line),
    };
    const code = await runCommand(terminal, async settings => started.push(settings) - 1,
        commandLine === "" ? [] : commandLine.split(" "));
    return { code, out: out.join("\n"), error: error.join("\n"), started };
}

/** Creates a file, passes its path to `use` and removes the file afterwards. */
export async function withFile(name: string, text: string, use: (path: string) => Promise<void>): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "tamarackgauge-"));
    try {
        const path = join(folder, name);
        await writeFile(path, text);
        await use(path);
    }
    finally {
        await rm(folder, { recursive: true });
    }
}
