import { command, flag, number, oneOf, option, optional, string, subcommands } from "cmd-ts";
import { readFileSync } from "node:fs";
import { createEngine } from "./engine/engine.ts";
import { createForwarder } from "./forwarder.ts";
import type { Standin } from "./listener.ts";
import { createPlatform } from "./platform.ts";
import { createService } from "./service.ts";
import type { Vm } from "./vms.ts";

const port = numeric("port", "port to listen on; 0 picks a free one");

const platform = command({
    name: "platform",
    description: "table service, object store, VM list and weight store",
    args: {
        port,
        readsPerSecond: numeric("reads-per-second", "limit on reads of the table"),
        writesPerSecond: numeric("writes-per-second", "limit on writes of the table"),
        weightsPerSecond: numeric("weights-per-second", "limit on reads of the weight store"),
        vmLagMs: numeric("vm-lag", "milliseconds until a change of the VM list is visible"),
        vms: text("vms", "JSON file with the initial VM list"),
    },
    handler: ({ vms, ...options }) =>
        serve("platform", createPlatform({ ...options, vms: vms === undefined ? [] : readVms(vms) })),
});

const engine = command({
    name: "engine",
    description: "model engine with continuous batching and a prefix cache",
    args: {
        port,
        name: text("name", "name in the identities of answers"),
        models: text("models", "models served, separated by commas; any by default"),
        batch: numeric("batch", "most sequences that run at once"),
        cacheTokens: numeric("cache-tokens", "tokens that the cache holds"),
        prefillRate: numeric("prefill-rate", "prompt tokens computed per second"),
        prefillChunk: numeric("prefill-chunk", "most prompt tokens computed in one step"),
        stepMs: numeric("step", "milliseconds of a step with an empty batch"),
        sequenceMs: numeric("sequence-step", "milliseconds that each decoding sequence adds to a step"),
        preempt: flag({ long: "preempt", description: "running calls give way to calls of higher priority" }),
        reportLagMs: numeric("report-lag", "milliseconds by which load reports lag"),
        eventDelayMs: numeric("event-delay", "milliseconds until a cache event is visible"),
        eventDropRate: numeric("event-drop-rate", "share of the cache events that are lost"),
        loadMs: numeric("load", "milliseconds that loading a model takes"),
        importRate: numeric("import-rate", "tokens per second that an import of a prefix takes in"),
        fenced: option({
            type: optional(oneOf(["true", "false"])),
            long: "fenced",
            env: variable("fenced"),
            description: "refuse orders with an old fencing token",
        }),
        seed: numeric("seed", "engines with the same seed give the same answers"),
        scale: numeric("scale", "divides all times"),
    },
    handler: ({ models, fenced, ...options }) =>
        serve("engine", createEngine({ ...options, models: models?.split(","), fenced: fenced === "true" })),
});

const service = command({
    name: "service",
    description: "plain service that counts its executions",
    args: {
        port,
        dedupe: flag({ long: "dedupe", description: "answer repeated idempotency keys without executing again" }),
        delayMs: numeric("delay", "milliseconds of each execution"),
    },
    handler: options => serve("service", createService(options)),
});

const forwarder = command({
    name: "forwarder",
    description: "TCP forwarder between loopback ports that can fail",
    args: {
        port,
        target: option({ type: number, long: "target", env: variable("target"), description: "port to forward to" }),
        controlPort: numeric("control-port", "port of the HTTP control"),
        delayMs: numeric("delay", "milliseconds one way"),
    },
    handler: options => serve("forwarder", createForwarder(options)),
});

/** Stand-ins of the outside systems, each as a process that runs until SIGTERM or SIGINT. */
export const standinCommands = subcommands({
    name: "standin",
    description: "stand-ins of the outside systems",
    cmds: { platform, engine, service, forwarder },
});

function numeric(long: string, description: string) {
    return option({ type: optional(number), long, description, env: variable(long) });
}

function text(long: string, description: string) {
    return option({ type: optional(string), long, description, env: variable(long) });
}

/** The environment variable of a flag. */
function variable(long: string): string {
    return `TAMARACKGAUGE_STANDIN_${long.toUpperCase().replaceAll("-", "_")}`;
}

function readVms(file: string): Vm[] {
    const content = JSON.parse(readFileSync(file, "utf8")) as Vm[] | { readonly vms: Vm[]; };
    return Array.isArray(content) ? content : content.vms;
}

async function serve(name: string, starting: Promise<Standin>): Promise<void> {
    const standin = await starting.catch((error: unknown) => {
        console.error(`${name} cannot start: ${String(error)}`);
        process.exit(1);
    });
    // Listens for signals before it says that it runs, so that a signal sent at once ends it cleanly.
    const ended = new Promise(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    console.log(`${name} listening on ${standin.address}:${standin.port}`);
    await ended;
    await standin[Symbol.asyncDispose]();
}
