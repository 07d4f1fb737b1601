import { benchCommands, replayCommand } from "@tamarackgauge/bench";
import { fuzzCommand } from "@tamarackgauge/fuzz";
import { createGatewayCommands } from "@tamarackgauge/gateway";
import { lossesCommand } from "@tamarackgauge/losses";
import { createOperatorCommands, exitCodes, type Terminal } from "@tamarackgauge/operator";
import { standinCommands } from "@tamarackgauge/standin";
import { timelineCommand } from "@tamarackgauge/timeline";
import { runSafely, subcommands } from "cmd-ts";
import { createDaemonCommand, type RunDaemon } from "./daemon.ts";

/** Creates the root command. Packages with subcommands of their own are added here. */
export function createCommands(terminal: Terminal, runDaemon: RunDaemon) {
    return subcommands({
        name: "tamarackgauge",
        description: `Scheduler for agent programs. Exit codes: ${formatExitCodes()}`,
        cmds: {
            daemon: createDaemonCommand(terminal, runDaemon),
            ...createGatewayCommands(terminal),
            ...createOperatorCommands(terminal),
            losses: lossesCommand,
            timeline: timelineCommand,
            standin: standinCommands,
            bench: benchCommands,
            replay: replayCommand,
            fuzz: fuzzCommand,
        },
    });
}

/** Runs a command line and returns its exit code. */
export async function runCommand(
    terminal: Terminal,
    runDaemon: RunDaemon,
    args: readonly string[],
): Promise<number> {
    // Without a subcommand the parser would only print an error; the help lists the commands.
    const effectiveArgs = args.length === 0 ? ["--help"] : [...args];
    const result = await runSafely(createCommands(terminal, runDaemon), effectiveArgs);
    if ("value" in result) {
        return exitCodeOf(result.value);
    }
    const { message, into, exitCode } = result.error.config;
    if (into === "stderr") {
        terminal.error(message);
        return exitCodes.usage;
    }
    terminal.out(message);
    return isHelp(effectiveArgs) ? exitCodes.done : exitCode;
}

function isHelp(args: readonly string[]): boolean {
    return args.some(word => word === "--help" || word === "-h");
}

/** Handlers return an exit code or nothing. Each level of subcommands wraps the result in an object. */
function exitCodeOf(result: unknown): number {
    if (typeof result === "object" && result !== null && "value" in result) {
        return exitCodeOf(result.value);
    }
    return typeof result === "number" ? result : exitCodes.done;
}

function formatExitCodes(): string {
    return Object.entries(exitCodes).map(([name, code]) => `${code} ${name}`).join(", ");
}
