import { exitCodes, type Terminal } from "@tamarackgauge/operator";
import { runCommand } from "./commands.ts";
import { runDaemon } from "./run.ts";

const terminal: Terminal = {
    environment: process.env,
    input: process.stdin,
    out: line => process.stdout.write(`${line}\n`),
    error: line => process.stderr.write(`${line}\n`),
};

// Top-level await does not exist in the CommonJS bundle of the single executable.
async function main(): Promise<void> {
    try {
        const args = process.argv.slice(2);
        const code = await runCommand(terminal, settings => runDaemon(settings, terminal), args);
        // Set instead of calling exit, so that output that is still being written is not cut off.
        process.exitCode = code || process.exitCode;
    }
    catch (error) {
        terminal.error(error instanceof Error ? error.stack ?? error.message : String(error));
        process.exitCode = exitCodes.failed;
    }
}

void main();
