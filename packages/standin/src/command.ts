import { command, flag, number, oneOf, option, optional, string, subcommands } from "cmd-ts";
import { readFileSync } from "node:fs";
import { createEngine } from "./engine/engine.ts";
import { createForwarder } from "./forwarder.ts";
import type { Standin } from "./listener.ts";
import { createPlatform } from "./platform.ts";
import { createService } from "./service.ts";
import type { Vm } from "./vms.ts";

const port = numberOption("port", "port to listen on; 0 picks a free one");

const platform = command({
    name: "platform",
    description: "table service, object store, VM list and weight store",
    args: {
        port,
        readsPerSecond: numberOption("reads-per-second", "limit on reads of the table"),
        writesPerSecond: numberOption("writes-per-second", "limit on writes of the table"),
        weightsPerSecond: numberOption("weights-per-second", "limit on reads of the weight store"),
        vmLagMs: numberOption("vm-lag", "milliseconds until a change of the VM list is visible"),
        vms: textOption("vms", "JSON file with the initial VM list"),
    },
    handler: ({ vms, ...options }) =>
        runUntilSignal("platform", createPlatform({ ...options, vms: vms === undefined ? [] : readVms(vms) })),
});

const engine = command({
    name: "engine",
    description: "model engine with continuous batching and a prefix cache",
    args: {
        port,
        name: textOption("name", "name used in the ids of answers"),
        models: textOption("models", "models served, separated by commas; any by default"),
        batch: numberOption("batch", "maximum number of sequences that run at once"),
        cacheTokens: numberOption("cache-tokens", "capacity of the cache in tokens"),
        prefillRate: numberOption("prefill-rate", "prompt tokens computed per second"),
        prefillChunk: numberOption("prefill-chunk", "maximum number of prompt tokens computed in one step"),
        stepMs: numberOption("step", "duration of a step with an empty batch in milliseconds"),
        sequenceMs: numberOption("sequence-step", "milliseconds that each decoding sequence adds to a step"),
        preempt: flag({ long: "preempt", description: "preempt running calls for calls of higher priority" }),
        reportLagMs: numberOption("report-lag", "milliseconds by which load reports lag"),
        eventDelayMs: numberOption("event-delay", "milliseconds until a cache event is visible"),
        eventDropRate: numberOption("event-drop-rate", "share of the cache events that are lost"),
        loadMs: numberOption("load", "milliseconds that loading a model takes"),
        importRate: numberOption("import-rate", "tokens per second at which a prefix is imported"),
        fenced: option({
            type: optional(oneOf(["true", "false"])),
            long: "fenced",
            env: environmentVariable("fenced"),
            description: "refuse orders with an old fencing token",
        }),
        seed: numberOption("seed", "engines with the same seed give the same answers"),
        scale: numberOption("scale", "divides all times"),
    },
    handler: ({ models, fenced, ...options }) =>
        runUntilSignal("engine", createEngine({ ...options, models: models?.split(","), fenced: fenced === "true" })),
});

const service = command({
    name: "service",
    description: "plain service that counts its executions",
    args: {
        port,
        dedupe: flag({ long: "dedupe", description: "answer repeated idempotency keys without executing again" }),
        delayMs: numberOption("delay", "duration of each execution in milliseconds"),
    },
    handler: options => runUntilSignal("service", createService(options)),
});

const forwarder = command({
    name: "forwarder",
    description: "TCP forwarder between loopback ports that can inject faults",
    args: {
        port,
        target: option({ type: number, long: "target", env: environmentVariable("target"),
            description: "port to forward to" }),
        controlPort: numberOption("control-port", "port of the HTTP control"),
        delayMs: numberOption("delay", "delay in each direction in milliseconds"),
    },
    handler: options => runUntilSignal("forwarder", createForwarder(options)),
});

/** Stand-ins of the outside systems, each as a process that runs until SIGTERM or SIGINT. */
export const standinCommands = subcommands({
    name: "standin",
    description: "stand-ins of the outside systems",
    cmds: { platform, engine, service, forwarder },
});

function numberOption(long: string, description: string) {
    return option({ type: optional(number), long, description, env: environmentVariable(long) });
}

function textOption(long: string, description: string) {
    return option({ type: optional(string), long, description, env: environmentVariable(long) });
}

/** The environment variable of a flag. */
function environmentVariable(long: string): string {
    return `TAMARACKGAUGE_STANDIN_${long.toUpperCase().replaceAll("-", "_")}`;
}

function readVms(file: string): Vm[] {
    const content = JSON.parse(readFileSync(file, "utf8")) as Vm[] | { readonly vms: Vm[]; };
    return Array.isArray(content) ? content : content.vms;
}

async function runUntilSignal(name: string, starting: Promise<Standin>): Promise<void> {
    const standin = await starting.catch((error: unknown) => {
        console.error(`${name} cannot start: ${String(error)}`);
        process.exit(1);
    });
    // The signal handlers are installed before the address is printed, so that a signal sent at once ends it cleanly.
    const ended = new Promise(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    console.log(`${name} listening on ${standin.address}:${standin.port}`);
    await ended;
    await standin[Symbol.asyncDispose]();
}
