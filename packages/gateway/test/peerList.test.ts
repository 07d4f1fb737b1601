import { createStore } from "@tamarackgauge/platform";
import { createRowStore } from "@tamarackgauge/standin";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPeerList } from "../src/peerList.ts";
import { waitUntil } from "./harness.ts";

const times = { retryDelay: 20, secondRefreshDelay: 20, refreshInterval: 40, renewalInterval: 60, expiry: 400 };

async function startStore() {
    const rows = createRowStore();
    const door = await rows.open();
    const store = createStore({ host: door.address, port: door.port });
    const lists: Disposable[] = [];

    function createList(name: string, now = () => performance.now()) {
        const list = createPeerList({ name, address: { host: "127.0.0.1", port: 1 }, dataCentre: "a", seeds: [], store,
            log: { info: () => undefined, warn: () => undefined }, now, times });
        lists.push(list);
        return { list, names: () => list.registered().map(peer => peer.name) };
    }

    return { rows, door, createList, async [Symbol.asyncDispose]() {
        lists.forEach(list => list[Symbol.dispose]());
        await store[Symbol.asyncDispose]();
        await rows[Symbol.asyncDispose]();
    } };
}

test("a gateway that is gone is removed by the others, one that runs stays (guards against a list of VMs that no longer exist)", async () => {
    await using parts = await startStore();
    const [remaining, removed] = [parts.createList("stays"), parts.createList("goes")];
    await waitUntil(() => remaining.names().length === 2, "both are listed");
    removed.list[Symbol.dispose]();
    await waitUntil(() => !parts.rows.keys("gateways").includes("goes"), "the row is removed");
    assert.deepEqual(remaining.names(), ["stays"]);
    assert.deepEqual(parts.rows.keys("gateways"), ["stays"]);
});

test("a row that expires while the list is judged is not removed and listed at once (guards against calls to a VM that was just taken off)", async () => {
    await using parts = await startStore();
    let time = 0;
    // Each look at the clock takes a while, as on a busy VM, so that rows expire between two looks.
    const remaining = parts.createList("stays", () => time += times.expiry / 2);
    parts.rows.put("gateways", "", "goes", Buffer.from(pack(["127.0.0.1", 1, "a"])));
    await waitUntil(() => remaining.names().length === 2, "both are listed");
    await waitUntil(() => !parts.rows.keys("gateways").includes("goes"), "the row is removed");
    assert.deepEqual(remaining.names(), ["stays"]);
});

test("a gateway that ends takes itself off the list (guards against calls to a VM that was stopped on purpose)", async () => {
    await using parts = await startStore();
    const { list } = parts.createList("ends");
    await waitUntil(() => parts.rows.keys("gateways").length === 1, "it is registered");
    await list.deregister();
    assert.deepEqual(parts.rows.keys("gateways"), []);
    await waitUntil(() => list.registered().length === 0, "it has looked again");
    assert.deepEqual(parts.rows.keys("gateways"), [], "it does not come back");
});

test("more gateways than a page holds are all listed (guards against a list cut at 500)", async () => {
    await using parts = await startStore();
    for (let index = 0; index < 600; index += 1) {
        parts.rows.put("gateways", "", `g${index}`, Buffer.from(pack(["127.0.0.1", 1, "a"])));
    }
    const { names } = parts.createList("last");
    await waitUntil(() => names().length === 601, "all are listed");
});

test("the store's calls of one gateway in the first minute are few (guards against a list that costs more than it is worth)", async () => {
    await using parts = await startStore();
    parts.createList("one");
    const startedAt = performance.now();
    await waitUntil(() => performance.now() - startedAt > times.refreshInterval * 20, "twenty looks");
    const { reads, changes } = parts.door.calls();
    assert.ok(reads <= 26 && changes <= 17, `${reads} reads, ${changes} changes`);
});
