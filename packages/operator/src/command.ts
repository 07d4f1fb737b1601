import { checkConfiguration, codes, type Configuration, formatProblem, hashKey } from "@tamarackgauge/core";
import { array, command, extendType, multioption, number, option, optional, positional, string,
    subcommands } from "cmd-ts";
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { text as readAll } from "node:stream/consumers";
import { createOperatorClient, isUnanswered, type OperatorClient, type Reply } from "./client.ts";

/** Exit codes of the operators' commands; docs/configuration.md lists them. */
export const exitCodes = {
    done: 0,
    failed: 1,
    usage: 2,
    invalidFile: 3,
    conflict: 4,
    refused: 5,
    unreachable: 6,
    versionsDiffer: 7,
} as const;

/** The input, output and environment of the commands. */
export interface Terminal {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly input: NodeJS.ReadableStream;
    out(line: string): void;
    error(line: string): void;
}

/** Environment variable with the operators' key. There is no flag for it, since a flag is visible in process lists. */
export const operatorKeyVariable = "TAMARACKGAUGE_OPERATOR_KEY";

const daemonUrlType = extendType(string, {
    displayName: "url",
    from: async text => {
        if (!/^https?:\/\/[^/\s]+\/?$/.test(text)) {
            throw new Error("expected http://<address>:<port>");
        }
        return text;
    },
});

const versionType = extendType(number, {
    displayName: "version",
    from: async value => {
        if (!Number.isSafeInteger(value) || value < 0) {
            throw new Error("expected a whole number from 0");
        }
        return value;
    },
});

const to = option({ long: "to", type: daemonUrlType, description: "A daemon, as http://<address>:<port>" });
const file = positional({ displayName: "file", type: string, description: "The file with the two lists" });

/** Creates the commands for operators. Their handlers return an exit code. */
export function createOperatorCommands(terminal: Terminal) {
    const check = command({
        name: "check",
        description: "Check a configuration file; prints each mistake with line, column, number and field",
        args: { file },
        handler: args => checkFile(terminal, args.file),
    });
    const apply = command({
        name: "apply",
        description: "Put a configuration file into force on all daemons",
        args: {
            file,
            to,
            expect: option({
                long: "expect",
                type: optional(versionType),
                description: "The version that the file is based on [default: the version written in the file]",
            }),
        },
        handler: args => applyFile(terminal, args),
    });
    const show = command({
        name: "show",
        description: "Print the configuration in force, in the form of a configuration file",
        args: { to },
        handler: args => showConfiguration(terminal, args.to),
    });
    const status = command({
        name: "status",
        description: "Show which version of the configuration is in force on each daemon",
        args: { to: multioption({ long: "to", type: array(daemonUrlType), description: "A daemon; may be repeated" }) },
        handler: args => showStatus(terminal, args.to),
    });
    const hash = command({
        name: "hash",
        description: "Read a key from standard input and print its hash for the configuration",
        args: {},
        handler: () => printHash(terminal),
    });
    return {
        configuration: subcommands({
            name: "configuration",
            description:
                `Check, apply and show the operators' two lists; apply and show read the key from ${operatorKeyVariable}`,
            cmds: { check, apply, show },
        }),
        status,
        key: subcommands({ name: "key", description: "Work with keys of callers and operators", cmds: { hash } }),
    };
}

async function checkFile(terminal: Terminal, path: string): Promise<number> {
    const text = await readText(terminal, path);
    return text === undefined ? exitCodes.usage : checkText(terminal, path, text);
}

function checkText(terminal: Terminal, path: string, text: string): number {
    return checkConfiguration(text).caseOf<number>({
        Left: problems => {
            problems.forEach(each => terminal.error(`${path}:${formatProblem(each)}`));
            return exitCodes.invalidFile;
        },
        Right: ({ plans }) => {
            terminal.out(`${path} is valid: ${plans.length} plans`);
            return exitCodes.done;
        },
    });
}

async function applyFile(
    terminal: Terminal,
    args: { readonly file: string; readonly to: string; readonly expect: number | undefined; },
): Promise<number> {
    const text = await readText(terminal, args.file);
    const client = clientFor(terminal, args.to);
    if (text === undefined || client === undefined) {
        return exitCodes.usage;
    }
    return checkConfiguration(text).caseOf<Promise<number>>({
        Left: async () => checkText(terminal, args.file, text),
        Right: lists => applyLists(terminal, client, args.to, lists, args.expect ?? lists.version),
    });
}

async function applyLists(
    terminal: Terminal,
    client: OperatorClient,
    url: string,
    lists: Configuration,
    expected: number,
): Promise<number> {
    const reply = await client.apply(lists, expected, randomUUID());
    if (isUnanswered(reply)) {
        terminal.error("it is not known whether the file was applied; see `configuration show`");
    }
    return report(terminal, url, reply, each => `version ${each.version} is in force`);
}

async function showConfiguration(terminal: Terminal, url: string): Promise<number> {
    const client = clientFor(terminal, url);
    if (client === undefined) {
        return exitCodes.usage;
    }
    return report(terminal, url, await client.show(), each => JSON.stringify(each, undefined, 4));
}

async function showStatus(terminal: Terminal, urls: readonly string[]): Promise<number> {
    const clients = urls.map(url => clientFor(terminal, url));
    if (urls.length === 0) {
        terminal.error("status needs at least one --to <url>");
    }
    if (urls.length === 0 || clients.includes(undefined)) {
        return exitCodes.usage;
    }
    const replies = await Promise.all(clients.map(each => (each as OperatorClient).status()));
    const results = replies.map((reply, index) =>
        report(terminal, urls[index] ?? "", reply, each => {
            const state = each.ready ? "ready" : `not ready: ${each.reason ?? "no reason given"}`;
            return `${urls[index]} ${each.daemon} version ${each.configurationVersion} ${state}`;
        })
    );
    const versions = new Set(replies.flatMap(each => each.kind === "value" ? [each.value.configurationVersion] : []));
    const failed = results.find(each => each !== exitCodes.done);
    return failed ?? (versions.size > 1 ? exitCodes.versionsDiffer : exitCodes.done);
}

async function printHash(terminal: Terminal): Promise<number> {
    const key = (await readAll(terminal.input)).replace(/\r?\n$/, "");
    if (!/^[!-~]{1,512}$/.test(key)) {
        terminal.error("a key has 1-512 visible ASCII characters and no blanks");
        return exitCodes.usage;
    }
    terminal.out(hashKey(key));
    return exitCodes.done;
}

function report<Value>(terminal: Terminal, url: string, reply: Reply<Value>, show: (value: Value) => string): number {
    switch (reply.kind) {
        case "value":
            terminal.out(show(reply.value));
            return exitCodes.done;
        case "refused":
            reply.problems.forEach(each => terminal.error(formatProblem(each)));
            terminal.error(`${url} refused: ${reply.code} ${reply.message}`);
            return exitCodeOf(reply.code);
        case "foreign":
            terminal.error(`${url} answered, but not as a daemon: ${reply.message}`);
            return exitCodes.unreachable;
        case "unreachable":
            terminal.error(`${url} gave no answer: ${reply.message}`);
            return exitCodes.unreachable;
    }
}

function exitCodeOf(code: number): number {
    switch (code) {
        case codes.invalid_configuration.code:
            return exitCodes.invalidFile;
        case codes.version_conflict.code:
            return exitCodes.conflict;
        default:
            return exitCodes.refused;
    }
}

function clientFor(terminal: Terminal, url: string): OperatorClient | undefined {
    const key = terminal.environment[operatorKeyVariable];
    if (key === undefined || !/^[!-~]{1,512}$/.test(key)) {
        terminal.error(`the environment variable ${operatorKeyVariable} must hold the operators' key`);
        return undefined;
    }
    return createOperatorClient(url, key);
}

async function readText(terminal: Terminal, path: string): Promise<string | undefined> {
    try {
        return await readFile(path, "utf8");
    }
    catch (error) {
        terminal.error(`${path} cannot be read: ${error instanceof Error ? error.message : String(error)}`);
        return undefined;
    }
}
