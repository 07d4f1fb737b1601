import { createTable } from "@tamarackgauge/table";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { keys, ownershipRow } from "../src/rows.ts";
import { createCluster, listsOf } from "./cluster.ts";
import type { Cluster } from "./cluster.ts";

const propagationBoundMs = 5_000;
const services = ["waiver"];
const daemons = 12;
let cluster: Cluster;
/** Version of the last accepted change. */
let version = 1;

before(async () => {
    cluster = await createCluster({ daemons, engines: 1, services, plans: { plan: {}, revoked: {} } });
});

after(() => cluster[Symbol.asyncDispose]());

function listsWith(budgetOffset: number, plans: Record<string, object> = { plan: {}, revoked: {} }) {
    return listsOf({ ...plans, plan: { budgetTokens: 1_000_000 + budgetOffset } }, services);
}

async function applyThrough(name: string, lists: unknown, expected: number): Promise<number> {
    const response = await cluster.applyConfiguration(lists, expected, name);
    const body = await response.json() as { readonly error?: { readonly code: number; }; };
    return body.error?.code ?? response.status;
}

async function fetchVersions(names: readonly string[]): Promise<readonly number[]> {
    return Promise.all(names.map(async name => (await cluster.fetchStatus(name)).configurationVersion));
}

/** Waits until a version is in force on the named daemons, and checks that no daemon reverts to an older one. */
async function waitUntilInForce(names: readonly string[], expectedVersion: number): Promise<void> {
    let lastVersions: readonly number[] = names.map(() => 0);
    await cluster.waitUntil(`version ${expectedVersion} is in force on ${names.length} daemons`, async () => {
        const currentVersions = await fetchVersions(names);
        currentVersions.forEach((each, index) =>
            assert.ok(each >= lastVersions[index]!, `${names[index]} reverted to ${each}`)
        );
        lastVersions = currentVersions;
        return currentVersions.every(each => each >= expectedVersion);
    }, propagationBoundMs);
}

test("of concurrent changes through twelve daemons one is accepted, the others are refused as conflicts, and it is in force everywhere within 5 s (guards against two accepted changes and slow daemons)", async context => {
    const names = [...cluster.daemons.keys()];
    for (let round = 0; round < 3; round += 1) {
        const codes = await Promise.all(names.map((name, index) => applyThrough(name, listsWith(index), version)));
        const acceptedAt = performance.now();
        assert.deepEqual(codes.toSorted(), [200, ...names.slice(1).map(() => 4095)]);
        version += 1;
        await waitUntilInForce(names, version);
        context.diagnostic(`in force after ${Math.round(performance.now() - acceptedAt)} ms`);
        assert.deepEqual(new Set(await fetchVersions(names)), new Set([version]));
    }
});

test("a change whose replies are lost is accepted once (guards against a change that conflicts with itself)", async () => {
    cluster.platform.setFaults({ mode: "loseReply", match: "txn", keyPrefix: "config/", count: 1 });
    assert.equal(await applyThrough("d4", listsWith(100), version), 200);
    cluster.platform.setFaults({ mode: "none" });
    version += 1;
    await waitUntilInForce([...cluster.daemons.keys()], version);
});

test("a paused daemon serves nobody by its old configuration when it continues (guards against a revoked key that still works)", async () => {
    const paused = cluster.daemon("d5");
    const call = () =>
        paused.client.call({ plan: "revoked", program: "late", content: "Go [tokens=4]", returnsRefusal: true });
    assert.equal((await paused.client.call({ plan: "revoked", program: "early", content: "Go [tokens=4]" })).done,
        true);
    paused.signal("SIGSTOP");
    assert.equal(await applyThrough("d6", listsWith(200, { plan: {} }), version), 200);
    version += 1;
    const acceptedAt = performance.now();
    await waitUntilInForce([...cluster.daemons.keys()].filter(name => name !== "d5"), version);
    await cluster.waitUntil("the bound has passed", () => performance.now() - acceptedAt > propagationBoundMs);
    const answers = [call(), call(), call()];
    paused.signal("SIGCONT");
    for (const answer of await Promise.all(answers)) {
        const code = answer.error?.code;
        assert.ok(code === 5034 || code === 4011, `${JSON.stringify(answer)}\n${paused.stderr()}`);
    }
    await waitUntilInForce(["d5"], version);
    assert.equal((await call()).error?.code, 4011);
});

test("a daemon that restarts while the store is down takes the configuration from its peers (guards against a daemon with a missing or outdated configuration)", async () => {
    const table = createTable({ url: `http://127.0.0.1:${cluster.platform.port}` });
    const row = await table.get(keys.ownership);
    await table[Symbol.asyncDispose]();
    const member = ownershipRow.decode(row!.value).members["d7"];
    const oldProcess = cluster.daemon("d7");
    cluster.platform.setFaults({ mode: "down", match: "table" });
    oldProcess.signal("SIGKILL");
    await oldProcess.exited;
    await cluster.startDaemon("d7", member!.port);
    await cluster.waitUntil("the restarted daemon has the version",
        async () => (await cluster.fetchStatus("d7")).configurationVersion === version);
    cluster.platform.setFaults({ mode: "none" });
    await cluster.waitUntil("it serves again", async () => (await cluster.fetchStatus("d7")).ready);
});
