import type { EngineCounts } from "@tamarackgauge/standin";
import { readFileSync } from "node:fs";
import { request } from "undici";
import type { RunRecord } from "./record.ts";

/** The daemons and engines against which a run is played. */
export interface Target {
    readonly daemons: readonly string[];
    /** Engines of each model, in the order of the VM list. */
    readonly engines: ReadonlyMap<string, readonly string[]>;
    /** Process ids of the daemons; if empty, their CPU time is not measured. */
    readonly daemonPids: readonly number[];
}

interface Vm {
    readonly kind: string;
    readonly address: string;
    readonly port: number;
    readonly models?: readonly string[];
}

/** Reads the engines from the VM list of the platform stand-in. */
export async function findEngines(platformUrl: string): Promise<Target["engines"]> {
    const { vms } = await getJson(`${platformUrl}/v1/vms`) as { readonly vms: readonly Vm[]; };
    const engines = new Map<string, string[]>();
    for (const { kind, address, port, models } of vms) {
        for (const model of kind === "engine" ? models ?? [] : []) {
            engines.set(model, [...engines.get(model) ?? [], `http://${address}:${port}`]);
        }
    }
    return engines;
}

/** Resets the counters of all engines. */
export async function resetCounts({ engines }: Target): Promise<void> {
    await Promise.all([...engines.values()].flat().map(url => sendControlRequest(`${url}/control/counts`, "DELETE")));
}

/** Sums the counters of the engines of a model. */
export async function sumCounts({ engines }: Target, model: string): Promise<RunRecord["engines"]> {
    const counts = await Promise.all(
        (engines.get(model) ?? []).map(url => getJson(`${url}/control/counts`) as Promise<EngineCounts>),
    );
    const sum = (select: (engineCounts: EngineCounts) => number) =>
        counts.reduce((total, each) => total + select(each), 0);
    return {
        promptTokens: sum(each => each.promptTokens),
        recomputedTokens: sum(each => each.recomputedTokens),
        recomputedHistoryTokens: sum(each => each.recomputedHistoryTokens),
        generatedTokens: sum(each => each.generatedTokens),
        requests: sum(each => each.requests),
    };
}

/** Makes the first engines of a model slower by a factor for a time in ms. */
export async function slowEngines(
    { engines }: Target,
    model: string,
    slowdown: { readonly engines: number; readonly factor: number; readonly ms: number; },
): Promise<void> {
    const { factor, ms } = slowdown;
    await Promise.all((engines.get(model) ?? []).slice(0, slowdown.engines)
        .map(url => sendControlRequest(`${url}/control/slow`, "POST", { factor, ms })));
}

/** CPU times in /proc are counted in ticks of a hundredth of a second. */
const cpuTickMs = 10;

/** Reads the CPU time in ms that the daemons have used so far; undefined if it cannot be read. */
export function readDaemonCpu({ daemonPids }: Target): number | undefined {
    try {
        const ticks = daemonPids.map(pid => {
            // The name of the command, in parentheses, may contain spaces; user and system time follow it.
            const fields = readFileSync(`/proc/${pid}/stat`, "utf8").replace(/^.*\) /s, "").split(" ");
            return Number(fields[11]) + Number(fields[12]);
        });
        return daemonPids.length === 0 ? undefined : cpuTickMs * ticks.reduce((sum, each) => sum + each, 0);
    }
    catch {
        return undefined;
    }
}

/** Fetches JSON; rejects if the status is not 200. */
export async function getJson(url: string, headers: Record<string, string> = {}): Promise<unknown> {
    const { statusCode, body } = await request(url, { headers });
    const text = await body.text();
    if (statusCode !== 200) {
        throw new Error(`${url} answered with HTTP status ${statusCode}`);
    }
    return JSON.parse(text);
}

async function sendControlRequest(url: string, method: "POST" | "DELETE", content?: object): Promise<void> {
    const { statusCode, body } = await request(url, {
        method,
        ...content === undefined ? {} : {
            body: JSON.stringify(content),
            headers: { "content-type": "application/json" },
        },
    });
    await body.dump();
    if (statusCode !== 200) {
        throw new Error(`${url} answered with HTTP status ${statusCode}`);
    }
}
