import { partitionOf } from "@tamarackgauge/core";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { type Caller, createBody } from "./caller.ts";
import type { CallStep } from "./program.ts";
import type { CallPath, IdleRecord } from "./record.ts";
import { readEventData } from "./sse.ts";
import { getJson, readDaemonCpu, type Target } from "./target.ts";

/** Number of calls per path. It is above 100, because the p99 of 100 calls would be just the second slowest call. */
const callsPerPath = 200;
/** Turns per program. The first call of a program also acquires a slot and is counted separately. */
const turnsPerProgram = 5;
/** Wait until earlier calls have released their caches, and interval over which idle CPU use is measured; ms. */
const settleMs = 1_000;
const quietCpuIntervalMs = 4_000;

interface DaemonStatus {
    readonly daemon: string;
    readonly details: { readonly map?: { readonly owners: readonly string[]; }; };
}

/** Options of the measurements with idle engines. */
export interface IdleOptions {
    readonly target: Target;
    readonly caller: Caller;
    readonly model: string;
    readonly plan: string;
    readonly prefix: string;
    /** Operator key, with which the partition owners are read from the daemons' status. */
    readonly operatorKey: string;
}

/** Makes calls one at a time: in turn directly to an engine, to the program's owner, and to another daemon. */
export async function measureIdle(options: IdleOptions): Promise<IdleRecord> {
    const { target, caller, model, plan, prefix } = options;
    const ownerIndexOf = await readOwners(options);
    const engine = new Pool(target.engines.get(model)?.[0] ?? "");
    const step: CallStep = { type: "model", model, promptTokens: 40, outputTokens: 2, pauseMs: 0 };
    const record = createEmptyRecord();
    // If the first call of a program was refused, each later one would wait 30 s for it.
    const abandonedPrograms = new Set<string>();
    for (let index = 0; index < callsPerPath; index += 1) {
        addTimes(record, "direct", await callEngineDirectly(engine, step, `${plan}/${prefix}.direct${index}`));
        for (const callPath of ["owner", "forwarded"] as const) {
            const program = `${prefix}.${callPath}${Math.floor(index / turnsPerProgram)}`;
            if (abandonedPrograms.has(program)) {
                continue;
            }
            const owner = ownerIndexOf(`${plan}/${program}`);
            const daemon = callPath === "owner" ? owner : owner + 1;
            const sequence = index % turnsPerProgram;
            const end = sequence === turnsPerProgram - 1;
            const result = await caller.call({ plan, program, sequence, end, step }, daemon);
            if (result.outcome === "done") {
                addTimes(record, sequence > 0 ? callPath : callPath === "owner" ? "opening" : undefined, result);
            }
            else {
                abandonedPrograms.add(program);
                await caller.endProgram(plan, program);
            }
        }
    }
    await engine.close();
    const quietCpu = await measureQuietCpu(target);
    return { ...record, ...quietCpu === undefined ? {} : { quietCpu } };
}

/** Measures the share of one core that a daemon uses without calls, for heartbeats, leases and polling. */
async function measureQuietCpu(target: Target): Promise<number | undefined> {
    await sleep(settleMs);
    const [cpuBefore, startedAt] = [readDaemonCpu(target), performance.now()];
    await sleep(quietCpuIntervalMs);
    const cpuAfter = readDaemonCpu(target);
    return cpuBefore === undefined || cpuAfter === undefined
        ? undefined
        : (cpuAfter - cpuBefore) / (performance.now() - startedAt) / target.daemonPids.length;
}

type CallTimes = { readonly firstTokenMs: number; readonly wholeMs: number; };

function createEmptyRecord(): IdleRecord {
    return {
        firstToken: { direct: [], opening: [], owner: [], forwarded: [] },
        whole: { direct: [], opening: [], owner: [], forwarded: [] },
    };
}

function addTimes(record: IdleRecord, callPath: CallPath | undefined, { firstTokenMs, wholeMs }: CallTimes): void {
    if (callPath === undefined) {
        return;
    }
    record.firstToken[callPath].push(firstTokenMs);
    record.whole[callPath].push(wholeMs);
}

async function callEngineDirectly(engine: Pool, step: CallStep, programKey: string): Promise<CallTimes> {
    const sentAt = performance.now();
    let firstTokenMs: number | undefined;
    const body = JSON.stringify({ ...JSON.parse(createBody(step)) as object, cache_salt: programKey });
    const headers = { "content-type": "application/json" };
    const response = await engine.request({ method: "POST", path: "/v1/chat/completions", headers, body });
    for await (const data of readEventData(response.body)) {
        firstTokenMs ??= data.includes(`"content":"`) ? performance.now() - sentAt : undefined;
    }
    const wholeMs = performance.now() - sentAt;
    return { firstTokenMs: firstTokenMs ?? wholeMs, wholeMs };
}

/** Returns a function that looks up the index of a program's owner in the ownership map. */
async function readOwners({ target, operatorKey }: IdleOptions): Promise<(key: string) => number> {
    const headers = { authorization: `Bearer ${operatorKey}` };
    const statuses = await Promise.all(
        target.daemons.map(url => getJson(`${url}/operator/v1/status`, headers) as Promise<DaemonStatus>),
    );
    const names = statuses.map(({ daemon }) => daemon);
    const owners = statuses[0]?.details.map?.owners ?? [];
    return key => Math.max(0, names.indexOf(owners[partitionOf(key, owners.length)] ?? ""));
}
