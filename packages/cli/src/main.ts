import { exitCodes, type Terminal } from "@tamarackgauge/operator";
import { runCommand } from "./commands.ts";
import { runDaemon } from "./run.ts";

const terminal: Terminal = {
    environment: process.env,
    input: process.stdin,
    out: line => process.stdout.write(`${line}\n`),
    error: line => process.stderr.write(`${line}\n`),
};

// A function, because the CommonJS bundle of the single executable does not support top-level await.
async function main(): Promise<void> {
    try {
        const args = process.argv.slice(2);
        const code = await runCommand(terminal, settings => runDaemon(settings, terminal), args);
        // Sets the exit code instead of calling exit, which would cut off output that is still being written.
        process.exitCode = code || process.exitCode;
    }
    catch (error) {
        terminal.error(error instanceof Error ? error.stack ?? error.message : String(error));
        process.exitCode = exitCodes.failed;
    }
}

void main();
