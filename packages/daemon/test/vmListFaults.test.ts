import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { createCluster } from "./cluster.ts";
import type { Cluster } from "./cluster.ts";

let cluster: Cluster;
let programCount = 0;

before(async () => {
    cluster = await createCluster({ daemons: 2, engines: 2 });
});

after(() => cluster[Symbol.asyncDispose]());

async function callAll(count: number): Promise<void> {
    const daemons = [...cluster.daemons.values()];
    const answers = await Promise.all(Array.from({ length: count }, (_, index) => {
        programCount += 1;
        return daemons[index % daemons.length]!.client.call({ program: `v${programCount}`, content: "Go [tokens=4]",
            end: true });
    }));
    answers.forEach(({ done, error }) => assert.ok(done, `refused with ${error?.code}`));
}

function requestCount(engine: number): number {
    return cluster.engines[engine]!.counts().requests;
}

test("a VM list that is unreachable, hangs or contains no engines leaves the engine pool unchanged (guards against an empty pool)", async () => {
    await callAll(8);
    for (const mode of ["down", "hang"] as const) {
        const { vmReads } = cluster.platform.counts();
        cluster.platform.setFaults({ mode, match: "vms" });
        await cluster.waitUntil(`reads fail as ${mode}`, () => cluster.platform.counts().vmReads >= vmReads + 4);
        await callAll(8);
    }
    cluster.platform.setFaults({ mode: "none" });
    const vms = await fetchVms();
    for (const list of [[], vms.filter(vm => vm.kind === "service")]) {
        cluster.platform.replaceVms(list);
        const { vmReads } = cluster.platform.counts();
        await cluster.waitUntil("the list without engines is read", () =>
            cluster.platform.counts().vmReads >= vmReads + 4);
        await callAll(8);
    }
    cluster.platform.replaceVms(vms);
});

async function fetchVms() {
    const response = await fetch(`http://127.0.0.1:${cluster.platform.port}/v1/vms`);
    return (await response.json() as { vms: Parameters<Cluster["platform"]["replaceVms"]>[0]; }).vms;
}

test("an engine listed as leaving gets no new call after 3 s, finishes its calls, and gets calls again when it is live (guards against work on a VM that goes away)", async () => {
    const longCalls = Array.from({ length: 6 },
        (_, index) =>
            cluster.daemon("d1").client.call({ program: `long${index}`, content: "Go [tokens=1800]", maxTokens: 1_800,
                end: true }));
    await cluster.waitUntil("both engines run long calls",
        () => cluster.engines.every(engine => engine.load().running > 0));
    cluster.platform.changeVm("engine0", { state: "leaving" });
    const listedAt = performance.now();
    await cluster.waitUntil("3 s have passed", () => performance.now() - listedAt > 3_000);
    const requestsBefore = requestCount(0);
    for (let round = 0; round < 4; round += 1) {
        await callAll(8);
    }
    assert.equal(requestCount(0), requestsBefore, "no new call");
    assert.ok(cluster.engines[0]!.load().running > 0, "its calls continue");
    (await Promise.all(longCalls)).forEach(({ done, text }) => assert.ok(done && text.length >= 1_800 * 3));
    cluster.platform.changeVm("engine0", { state: "live" });
    await cluster.waitUntil("the engine is used again", async () => {
        await callAll(8);
        return requestCount(0) > requestsBefore;
    });
});

test("an engine whose state changes with every read loses no call (guards against a pool that is emptied while the list changes)", async () => {
    for (let round = 0; round < 6; round += 1) {
        const state = round % 2 === 0 ? "leaving" : "live";
        cluster.platform.changeVm("engine0", { state });
        cluster.platform.changeVm("engine1", { state: round % 2 === 0 ? "live" : "leaving" });
        const { vmReads } = cluster.platform.counts();
        const calls = callAll(16);
        await cluster.waitUntil("the list is read", () => cluster.platform.counts().vmReads >= vmReads + 2);
        await calls;
    }
});
