import type { SocketAddress } from "@tamarackgauge/core/gateway";
import { exitCodes, type Terminal } from "@tamarackgauge/operator";
import { parseSettings, problemText, SettingsError } from "@tamarackgauge/platform";
import { array, command, extendType, flag, multioption, option, optional, positional, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { checkConfigurationFile } from "./configurationCheck.ts";
import { explainCall, explainRateLimits } from "./explain.ts";
import { parseLogLines, renderLogLine } from "./logLine.ts";
import { runGateway } from "./run.ts";

const standardInput = 0;

const defaultHttpPort = 80;

const storeAddressType = extendType(string, {
    displayName: "url",
    from: async (text): Promise<SocketAddress> => {
        if (!/^http:\/\/[^/\s@]+\/?$/.test(text) || !URL.canParse(text)) {
            throw new Error("expected http://<address>:<port>");
        }
        const { hostname, port } = new URL(text);
        return { host: hostname, port: port === "" ? defaultHttpPort : Number(port) };
    },
});

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
        "check-configuration": command({
            name: "check-configuration",
            description:
                "Check a declaration of routes, services and limits before it is sent to the users' platform. " +
                "Exit codes: 0 nothing but notes, 1 warnings, 2 errors",
            args: {
                file: positional({ type: string, displayName: "file" }),
                against: option({ type: optional(string), long: "against",
                    description: "File with the version in force" }),
                store: option({ type: optional(storeAddressType), long: "store",
                    description: "Store from which the version in force and the upstreams are read" }),
                json: flag({ long: "json", description: "Print one JSON object" }),
            },
            handler: args => checkConfigurationFile(terminal, args),
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
