import { createTable } from "@tamarackgauge/table";
import type { Table } from "@tamarackgauge/table";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { keys, ledgerRow } from "../src/rows.ts";
import { createCluster, listsOf } from "./cluster.ts";
import type { Cluster, DaemonProcess } from "./cluster.ts";

const services = ["waiver"];
const plans = {
    many: { budgetTokens: 400 },
    faulty: { budgetTokens: 1_200 },
    cancelled: { budgetTokens: 600 },
    changed: { budgetTokens: 50_000 },
    killed: { budgetTokens: 2_400, programsAtOnce: 2 },
    moved: { budgetTokens: 100_000, programsAtOnce: 4 },
};
type Plan = keyof typeof plans;

const budgetSpent = 4291;
let cluster: Cluster;
let table: Table;
let version = 1;
let programCount = 0;

before(async () => {
    // Engines report only their own peak of concurrent programs, so the count is exact with a single engine.
    cluster = await createCluster({ daemons: 3, engines: 1, plans, services });
    table = createTable({ url: `http://127.0.0.1:${cluster.platform.port}` });
});

after(async () => {
    await table[Symbol.asyncDispose]();
    await cluster[Symbol.asyncDispose]();
});

function generatedTokens(plan: Plan): number {
    return cluster.engines.reduce((sum, engine) => sum + (engine.counts().tokensByPlan[plan] ?? 0), 0);
}

async function fetchLedger(plan: Plan) {
    const row = await table.get(keys.ledger(plan));
    return ledgerRow.decode(row!.value);
}

function nextProgram(): string {
    programCount += 1;
    return `p${programCount}`;
}

/** Runs a program of one call, with a limit of `maxTokens` for a much longer answer. */
function callOnce(daemon: DaemonProcess, plan: Plan, maxTokens = 16, signal?: AbortSignal) {
    const signalOption = signal === undefined ? {} : { signal };
    return daemon.client.call({ plan, program: nextProgram(), content: "Go [tokens=500]", maxTokens, end: true,
        ...signalOption });
}

/** Runs callers at every daemon until the plan's budget is spent or a condition holds. */
async function callUntilSpent(plan: Plan, callers: number, hasEnough = () => false): Promise<void> {
    await Promise.all([...cluster.daemons.values()].flatMap(daemon =>
        Array.from({ length: callers }, async () => {
            while (!hasEnough()) {
                const { error, connectionLost } = await callOnce(daemon, plan);
                if (error?.code === budgetSpent || connectionLost) {
                    return;
                }
            }
        })
    ));
}

test("three daemons use a budget fully without exceeding it, with answers longer than their limit (guards against daemons that each grant the remaining tokens)", async () => {
    await callUntilSpent("many", 8);
    // Daemons return unused tokens to the plan, so that the rest can be used.
    await cluster.waitUntil("the budget is used up", async () => {
        await callUntilSpent("many", 1);
        return generatedTokens("many") > plans.many.budgetTokens - 16;
    });
    assert.ok(generatedTokens("many") <= plans.many.budgetTokens, `${generatedTokens("many")} tokens`);
});

test("lost replies of ledger writes and a store outage neither lose tokens nor count them twice (guards against settling usage twice)", async () => {
    cluster.platform.setFaults({ mode: "loseReply", match: "txn", keyPrefix: "budget/", count: 12 });
    const calls = callUntilSpent("faulty", 3, () => generatedTokens("faulty") > 500);
    await cluster.waitUntil("replies are lost", () => (cluster.platform.counts().faults["loseReply"] ?? 0) >= 12);
    cluster.platform.setFaults({ mode: "down", match: "table" });
    await cluster.waitUntil("requests to the store fail", () => (cluster.platform.counts().faults["down"] ?? 0) >= 20);
    cluster.platform.setFaults({ mode: "none" });
    await calls;
    await cluster.waitUntil("the budget is used up", async () => {
        await callUntilSpent("faulty", 1);
        return generatedTokens("faulty") > plans.faulty.budgetTokens - 16;
    });
    assert.ok(generatedTokens("faulty") <= plans.faulty.budgetTokens, `${generatedTokens("faulty")} tokens`);
});

test("cancelled streams are charged in full until their end is known (guards against generated tokens that are not charged)", async () => {
    const daemons = [...cluster.daemons.values()];
    await Promise.all(Array.from({ length: 12 }, async (_, index) => {
        const abortController = new AbortController();
        const timer = setTimeout(() => abortController.abort(), 30 + index * 5);
        await callOnce(daemons[index % daemons.length]!, "cancelled", 40, abortController.signal);
        clearTimeout(timer);
    }));
    await callUntilSpent("cancelled", 4);
    assert.ok(generatedTokens("cancelled") <= plans.cancelled.budgetTokens, `${generatedTokens("cancelled")} tokens`);
});

test("a lowered budget stops a plan's calls and a raised one resumes them (guards against allotments of the old budget)", async () => {
    let stopped = false;
    const codes = new Set<number | undefined>();
    const callers = [...cluster.daemons.values()].flatMap(daemon =>
        Array.from({ length: 4 }, async () => {
            while (!stopped) {
                const { error, connectionLost } = await callOnce(daemon, "changed", 32);
                stopped ||= connectionLost;
                codes.add(error?.code);
                await new Promise(resolve => setTimeout(resolve, error === undefined ? 0 : 50));
            }
        })
    );
    await cluster.waitUntil("calls run", () => generatedTokens("changed") > 1_000);
    const lowered = { ...plans, changed: { budgetTokens: 100 } };
    assert.equal((await cluster.applyConfiguration(listsOf(lowered, services), version)).status, 200);
    version += 1;
    await waitUntilInForce();
    let spent = -1;
    let unchangedPolls = 0;
    await cluster.waitUntil("calls in flight have ended", () => {
        unchangedPolls = generatedTokens("changed") === spent ? unchangedPolls + 1 : 0;
        spent = generatedTokens("changed");
        return unchangedPolls > 15;
    });
    codes.clear();
    await cluster.waitUntil("calls are refused", () => codes.has(budgetSpent));
    await new Promise(resolve => setTimeout(resolve, 500));
    assert.equal(generatedTokens("changed"), spent, "no token under the lowered budget");
    const raised = { ...plans, changed: { budgetTokens: spent + 500 } };
    assert.equal((await cluster.applyConfiguration(listsOf(raised, services), version)).status, 200);
    version += 1;
    await cluster.waitUntil("calls run again", () => generatedTokens("changed") > spent + 300);
    await cluster.waitUntil("the raised budget is spent",
        async () => (await fetchLedger("changed")).spent > spent + 500 - 32 && codes.has(budgetSpent));
    stopped = true;
    await Promise.all(callers);
    assert.ok(generatedTokens("changed") <= spent + 500, `${generatedTokens("changed") - spent} of 500 tokens`);
});

async function waitUntilInForce(): Promise<void> {
    await cluster.waitUntil("the configuration is in force", async () => {
        const found = await Promise.all([...cluster.daemons.keys()].map(name => cluster.fetchStatus(name)));
        return found.every(status => status.configurationVersion >= version);
    }, 5_000);
}

test("concurrent programs stay within the limit while partitions move and a daemon is killed (guards against two owners that use one slot)", async () => {
    let stopped = false;
    const callers = [...cluster.daemons.values()].slice(0, 2).flatMap(daemon =>
        Array.from({ length: 6 }, async () => {
            while (!stopped) {
                const program = nextProgram();
                const firstAnswer = await daemon.client.call({ plan: "moved", program, content: "Go [tokens=40]" });
                stopped ||= firstAnswer.connectionLost;
                await (firstAnswer.done
                    ? daemon.client.call({ plan: "moved", program, content: "On [tokens=10]", end: true })
                    : undefined);
            }
        })
    );
    const peak = () => cluster.engines[0]!.counts().peakProgramsByPlan["moved"] ?? 0;
    await cluster.waitUntil("the limit is reached", () => peak() === 4);
    const addedDaemon = await cluster.startDaemon("d4");
    await cluster.waitUntil("partitions have moved to d4", async () => (await fetchOwners()).has("d4"));
    const tokensBefore = generatedTokens("moved");
    await cluster.waitUntil("calls run", () => generatedTokens("moved") > tokensBefore + 400);
    addedDaemon.signal("SIGKILL");
    await addedDaemon.exited;
    cluster.removeDaemon("d4");
    await cluster.waitUntil("the partitions of d4 are taken over", async () => !(await fetchOwners()).has("d4"));
    const tokensAfterTakeover = generatedTokens("moved");
    await cluster.waitUntil("calls run again", () => generatedTokens("moved") > tokensAfterTakeover + 400);
    stopped = true;
    await Promise.all(callers);
    assert.ok(peak() <= plans.moved.programsAtOnce, `${peak()} programs at once`);
});

async function fetchOwners(): Promise<ReadonlySet<string>> {
    return new Set((await cluster.fetchStatus("d1")).details.map?.owners);
}

test("a killed daemon strands at most its allotment, and its slots are free after its lease has expired (guards against slots that are never released)", async context => {
    const killedDaemon = cluster.daemon("d3");
    const programs: string[] = [];
    while (programs.length < 2) {
        const program = nextProgram();
        if (await cluster.ownerOf(`killed/${program}`) === killedDaemon.name) {
            programs.push(program);
        }
    }
    const calls = programs.map(program =>
        killedDaemon.client.call({ plan: "killed", program, content: "Go [tokens=1000]", maxTokens: 1_000 })
    );
    await cluster.waitUntil("both programs run", () => generatedTokens("killed") > 100);
    const refused = await callOnce(cluster.daemon("d1"), "killed");
    assert.equal(refused.error?.code, 4292);
    const killedAt = performance.now();
    killedDaemon.signal("SIGKILL");
    await killedDaemon.exited;
    cluster.removeDaemon(killedDaemon.name);
    await Promise.all(calls);
    await cluster.waitUntil("a slot is free", async () => (await callOnce(cluster.daemon("d1"), "killed")).done);
    const freedAfterMs = performance.now() - killedAt;
    const { stranded } = await fetchLedger("killed");
    context.diagnostic(`slots free after ${Math.round(freedAfterMs)} ms; ${stranded} tokens stranded`);
    assert.ok(stranded >= 1_900 && stranded <= 2_000 + plans.killed.budgetTokens / 64, `${stranded} stranded`);
    await callUntilSpent("killed", 2);
    assert.ok(generatedTokens("killed") <= plans.killed.budgetTokens);
    assert.ok(generatedTokens("killed") + stranded >= plans.killed.budgetTokens - 200, "the rest can be used");
});
