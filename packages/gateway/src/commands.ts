import { exitCodes, type Terminal } from "@tamarackgauge/operator";
import { parseSettings, problemText, SettingsError } from "@tamarackgauge/platform";
import { array, command, multioption, positional, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { explainCall, explainRateLimits } from "./explain.ts";
import { parseLogLines, renderLogLine } from "./logLine.ts";
import { runGateway } from "./run.ts";

const standardInput = 0;

/** Creates the commands for the users' platform. */
export function createGatewayCommands(terminal: Terminal) {
    return {
        "gateway": command({
            name: "gateway",
            description: "Run one gateway on the users' platform; TAMARACKGAUGE_CONFIG names its settings file",
            args: {},
            handler: () => runGateway(process.env),
        }),
        "check-settings": command({
            name: "check-settings",
            description: "Check a settings file of the users' platform and list every invalid or missing field",
            args: { file: positional({ type: string, displayName: "file" }) },
            handler: ({ file }) => checkSettings(terminal, file),
        }),
        "explain": command({
            name: "explain",
            description: "Print the log lines of gateways that concern a call, ordered by time",
            args: {
                call: positional({ type: string, displayName: "call", description: "Id of the call" }),
                from: multioption({ type: array(string), long: "from",
                    description: "Log file; may be repeated; standard input if absent" }),
            },
            handler: ({ call, from }) => explain(terminal, call, from),
        }),
    };
}

function checkSettings(terminal: Terminal, file: string): number {
    try {
        const { name, dataCentre } = parseSettings(readFileSync(file, "utf8"));
        terminal.out(`${file}: usable; vm ${name} in ${dataCentre}`);
        return exitCodes.done;
    }
    catch (error) {
        const lines = error instanceof SettingsError ? error.problems.map(problemText) : [(error as Error).message];
        lines.forEach(line => terminal.error(line));
        return exitCodes.usage;
    }
}

function explain(terminal: Terminal, call: string, files: readonly string[]): number {
    const sources = files.length === 0 ? [standardInput] : files;
    const lines = sources.flatMap(source => parseLogLines(readFileSync(source, "utf8")));
    const callLines = explainCall(lines, call);
    if (callLines.length === 0) {
        terminal.error(`no log line contains the call ${call}`);
        return exitCodes.failed;
    }
    callLines.forEach(line => terminal.out(renderLogLine(line)));
    explainRateLimits(lines, call).forEach(text => terminal.out(text));
    return exitCodes.done;
}
