import type { Settings } from "@tamarackgauge/core";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Readable } from "node:stream";
import { runCommand } from "../src/commands.ts";

/** Runs one command line and gives its exit code and what it printed. */
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

/** Gives a file with a name and a text, which is removed afterwards. */
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
