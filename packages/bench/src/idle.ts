import { partitionOf } from "@tamarackgauge/core";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { type Caller, createBody } from "./caller.ts";
import type { CallStep } from "./program.ts";
import type { CallPath, IdleRecord } from "./record.ts";
import { readEventData } from "./sse.ts";
import { getJson, readDaemonCpu, type Target } from "./target.ts";

/** Calls of each kind; the p99 of a hundred calls is the second slowest. */
const callsPerPath = 200;
/** Turns of a program; the first call of each also takes a slot and is counted apart. */
const turnsPerProgram = 5;
/** Time for the releases of the calls before to pass, and time over which the quiet daemons are watched; ms. */
const settleMs = 1_000;
const quietCpuIntervalMs = 4_000;

interface DaemonStatus {
    readonly daemon: string;
    readonly details: { readonly map?: { readonly owners: readonly string[]; }; };
}

/** Options of the measurement with idle engines. */
export interface IdleOptions {
    readonly target: Target;
    readonly caller: Caller;
    readonly model: string;
    readonly plan: string;
    readonly prefix: string;
    /** Key of the operators, with which the owners are read. */
    readonly operatorKey: string;
}

/** Makes calls one at a time, in turn at an engine, at the owner of the program, and at another daemon. */
export async function measureIdle(options: IdleOptions): Promise<IdleRecord> {
    const { target, caller, model, plan, prefix } = options;
    const ownerIndexOf = await readOwners(options);
    const engine = new Pool(target.engines.get(model)?.[0] ?? "");
    const step: CallStep = { type: "model", model, promptTokens: 40, outputTokens: 2, pauseMs: 0 };
    const record = createEmptyRecord();
    // The later calls of a program whose first was refused would each wait 30 s for it.
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

/** Processor time of a daemon without calls: heartbeats, leases, polls. A share of one core. */
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

/** Gives the index of the daemon that owns a program, as the ownership map says. */
async function readOwners({ target, operatorKey }: IdleOptions): Promise<(key: string) => number> {
    const headers = { authorization: `Bearer ${operatorKey}` };
    const statuses = await Promise.all(
        target.daemons.map(url => getJson(`${url}/operator/v1/status`, headers) as Promise<DaemonStatus>),
    );
    const names = statuses.map(({ daemon }) => daemon);
    const owners = statuses[0]?.details.map?.owners ?? [];
    return key => Math.max(0, names.indexOf(owners[partitionOf(key, owners.length)] ?? ""));
}
