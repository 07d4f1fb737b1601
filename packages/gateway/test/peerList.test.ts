import { createStore } from "@tamarackgauge/platform";
import { createRowStore } from "@tamarackgauge/standin";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPeerList } from "../src/peerList.ts";
import { waitUntil } from "./harness.ts";

const times = { retryDelay: 20, secondRefreshDelay: 20, refreshInterval: 40, renewalInterval: 60, expiry: 400,
    settling: 60 };

async function startStore() {
    const rows = createRowStore();
    const storeEndpoint = await rows.open();
    const store = createStore({ host: storeEndpoint.address, port: storeEndpoint.port });
    const lists: Disposable[] = [];

    function createList(name: string, now = () => performance.now()) {
        const list = createPeerList({ name, address: { host: "127.0.0.1", port: 1 }, dataCentre: "a", cores: 1,
            seeds: [], store, log: { info: () => undefined, warn: () => undefined }, now, times });
        lists.push(list);
        return { list, names: () => list.registered().map(peer => peer.name) };
    }

    return { rows, storeEndpoint, createList, async [Symbol.asyncDispose]() {
        lists.forEach(list => list[Symbol.dispose]());
        await store[Symbol.asyncDispose]();
        await rows[Symbol.asyncDispose]();
    } };
}

test("the row of a stopped gateway is removed by the others and running gateways stay listed (guards against a list of VMs that no longer exist)", async () => {
    await using parts = await startStore();
    const [remaining, removed] = [parts.createList("stays"), parts.createList("goes")];
    await waitUntil(() => remaining.names().length === 2, "both are listed");
    removed.list[Symbol.dispose]();
    await waitUntil(() => !parts.rows.keys("gateways").includes("goes"), "the row is removed");
    assert.deepEqual(remaining.names(), ["stays"]);
    assert.deepEqual(parts.rows.keys("gateways"), ["stays"]);
});

test("a row that expires during a refresh is not both removed and listed (guards against calls to a VM that was just removed)", async () => {
    await using parts = await startStore();
    let time = 0;
    // The clock advances with every read, as on a busy VM, so that a row expires between two reads.
    const remaining = parts.createList("stays", () => time += times.expiry / 2);
    parts.rows.put("gateways", "", "goes", Buffer.from(pack(["127.0.0.1", 1, "a"])));
    await waitUntil(() => remaining.names().length === 2, "both are listed");
    await waitUntil(() => !parts.rows.keys("gateways").includes("goes"), "the row is removed");
    assert.deepEqual(remaining.names(), ["stays"]);
});

test("a gateway deregisters at shutdown (guards against calls to a VM that was stopped intentionally)", async () => {
    await using parts = await startStore();
    const { list } = parts.createList("ends");
    await waitUntil(() => parts.rows.keys("gateways").length === 1, "it is registered");
    await list.deregister();
    assert.deepEqual(parts.rows.keys("gateways"), []);
    await waitUntil(() => list.registered().length === 0, "it has refreshed its list");
    assert.deepEqual(parts.rows.keys("gateways"), [], "it does not register again");
});

test("more gateways than fit into a page are all listed (guards against a list truncated at 500)", async () => {
    await using parts = await startStore();
    for (let index = 0; index < 600; index += 1) {
        parts.rows.put("gateways", "", `g${index}`, Buffer.from(pack(["127.0.0.1", 1, "a"])));
    }
    const { names } = parts.createList("last");
    await waitUntil(() => names().length === 601, "all are listed");
});

test("one gateway makes few store calls in twenty refresh intervals (guards against excessive load on the store)", async () => {
    await using parts = await startStore();
    parts.createList("one");
    const startedAt = performance.now();
    await waitUntil(() => performance.now() - startedAt > times.refreshInterval * 20,
        "twenty refresh intervals have passed");
    const { reads, changes } = parts.storeEndpoint.calls();
    assert.ok(reads <= 26 && changes <= 17, `${reads} reads, ${changes} changes`);
});
