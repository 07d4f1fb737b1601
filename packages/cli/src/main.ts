import { exitCodes, type Terminal } from "@tamarackgauge/operator";
import { runCommand } from "./commands.ts";
import type { RunDaemon } from "./daemon.ts";

const terminal: Terminal = {
    environment: process.env,
    input: process.stdin,
    out: line => process.stdout.write(`${line}\n`),
    error: line => process.stderr.write(`${line}\n`),
};

/** To be replaced by the composition of the daemon package. */
const runDaemon: RunDaemon = async () => {
    terminal.error("this build contains no daemon");
    return exitCodes.failed;
};

try {
    // Set instead of calling exit, so that output that is still being written is not cut off.
    process.exitCode = await runCommand(terminal, runDaemon, process.argv.slice(2)) || process.exitCode;
}
catch (error) {
    terminal.error(error instanceof Error ? error.stack ?? error.message : String(error));
    process.exitCode = exitCodes.failed;
}
