import { partitionOf } from "@tamarackgauge/core";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { bodyOf, type Caller } from "./caller.ts";
import type { CallStep } from "./program.ts";
import type { IdleRecord, Way } from "./record.ts";
import { readData } from "./sse.ts";
import { getJson, readDaemonCpu, type Target } from "./target.ts";

/** Calls of each kind; the p99 of a hundred calls is the second slowest. */
const calls = 200;
/** Turns of a program; the first call of each also takes a slot and is counted apart. */
const turns = 5;
/** Time for the releases of the calls before to pass, and time over which the quiet daemons are watched; ms. */
const settleMs = 1_000;
const quietMs = 4_000;

interface Status {
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
    const ownerOf = await readOwners(options);
    const engine = new Pool(target.engines.get(model)?.[0] ?? "");
    const step: CallStep = { type: "model", model, promptTokens: 40, outputTokens: 2, pauseMs: 0 };
    const record = emptyRecord();
    // The later calls of a program whose first was refused would each wait 30 s for it.
    const givenUp = new Set<string>();
    for (let index = 0; index < calls; index += 1) {
        add(record, "direct", await callEngine(engine, step, `${plan}/${prefix}.direct${index}`));
        for (const way of ["owner", "forwarded"] as const) {
            const program = `${prefix}.${way}${Math.floor(index / turns)}`;
            if (givenUp.has(program)) {
                continue;
            }
            const owner = ownerOf(`${plan}/${program}`);
            const daemon = way === "owner" ? owner : owner + 1;
            const sequence = index % turns;
            const end = sequence === turns - 1;
            const result = await caller.call({ plan, program, sequence, end, step }, daemon);
            if (result.outcome === "done") {
                add(record, sequence > 0 ? way : way === "owner" ? "opening" : undefined, result);
            }
            else {
                givenUp.add(program);
                await caller.end(plan, program);
            }
        }
    }
    await engine.close();
    const quietCpu = await measureQuiet(target);
    return { ...record, ...quietCpu === undefined ? {} : { quietCpu } };
}

/** Processor time of a daemon without calls: heartbeats, leases, polls. A share of one core. */
async function measureQuiet(target: Target): Promise<number | undefined> {
    await sleep(settleMs);
    const [before, from] = [readDaemonCpu(target), performance.now()];
    await sleep(quietMs);
    const after = readDaemonCpu(target);
    return before === undefined || after === undefined
        ? undefined
        : (after - before) / (performance.now() - from) / target.daemonPids.length;
}

type Times = { readonly firstTokenMs: number; readonly wholeMs: number; };

function emptyRecord(): IdleRecord {
    return {
        firstToken: { direct: [], opening: [], owner: [], forwarded: [] },
        whole: { direct: [], opening: [], owner: [], forwarded: [] },
    };
}

function add(record: IdleRecord, way: Way | undefined, { firstTokenMs, wholeMs }: Times): void {
    if (way === undefined) {
        return;
    }
    record.firstToken[way].push(firstTokenMs);
    record.whole[way].push(wholeMs);
}

async function callEngine(engine: Pool, step: CallStep, key: string): Promise<Times> {
    const sentAt = performance.now();
    let firstTokenMs: number | undefined;
    const body = JSON.stringify({ ...JSON.parse(bodyOf(step)) as object, cache_salt: key });
    const headers = { "content-type": "application/json" };
    const response = await engine.request({ method: "POST", path: "/v1/chat/completions", headers, body });
    for await (const data of readData(response.body)) {
        firstTokenMs ??= data.includes(`"content":"`) ? performance.now() - sentAt : undefined;
    }
    const wholeMs = performance.now() - sentAt;
    return { firstTokenMs: firstTokenMs ?? wholeMs, wholeMs };
}

/** Gives the index of the daemon that owns a program, as the ownership map says. */
async function readOwners({ target, operatorKey }: IdleOptions): Promise<(key: string) => number> {
    const headers = { authorization: `Bearer ${operatorKey}` };
    const states = await Promise.all(
        target.daemons.map(url => getJson(`${url}/operator/v1/status`, headers) as Promise<Status>),
    );
    const names = states.map(({ daemon }) => daemon);
    const owners = states[0]?.details.map?.owners ?? [];
    return key => Math.max(0, names.indexOf(owners[partitionOf(key, owners.length)] ?? ""));
}
