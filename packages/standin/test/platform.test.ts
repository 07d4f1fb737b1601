import assert from "node:assert/strict";
import { test } from "node:test";
import { createPlatform } from "../src/index.ts";
import type { Platform, Vm } from "../src/index.ts";
import { send } from "./client.ts";

const code = (text: string) => Buffer.from(text).toString("base64");
const put = (key: string, value = "v") => ({ request_put: { key: code(key), value: code(value) } });

interface Answer {
    readonly header: { readonly revision: string; };
    readonly succeeded?: boolean;
    readonly more?: boolean;
    readonly count?: string;
    readonly kvs?: readonly { readonly key: string; readonly mod_revision: string; readonly version: string; }[];
}

async function txn(platform: Platform, body: unknown): Promise<Answer> {
    const { status, body: answer } = await send<Answer>(platform, "POST", "/v3/kv/txn", body);
    assert.equal(status, 200);
    return answer;
}

async function range(platform: Platform, key: string, end?: string, limit?: number): Promise<Answer> {
    const body = { key: code(key), ...(end === undefined ? {} : { range_end: code(end) }), limit };
    return (await send<Answer>(platform, "POST", "/v3/kv/range", body)).body;
}

void test("a stale revision changes nothing (guards against a lost update)", async () => {
    await using platform = await createPlatform();
    const compare = (revision: string) => [
        { key: code("a"), target: "MOD", result: "EQUAL", mod_revision: revision },
    ];
    const first = await txn(platform, { compare: compare("0"), success: [put("a")] });
    const stale = await txn(platform, { compare: compare("0"), success: [put("a")], failure: [] });
    const next = await txn(platform, { compare: compare(first.header.revision), success: [put("a"), put("b")] });
    assert.equal(first.succeeded, true);
    assert.equal(stale.succeeded, undefined);
    assert.equal(stale.header.revision, first.header.revision);
    assert.equal(next.succeeded, true);
    const { kvs } = await range(platform, "a", "c");
    assert.deepEqual(kvs?.map(row => [row.mod_revision, row.version]), [["3", "2"], ["3", "1"]]);
});

void test("ranges are ordered, limited and half open (guards against a takeover that misses journal rows)", async () => {
    await using platform = await createPlatform();
    await txn(platform, { success: ["j/10", "j/2", "k", "j/1", "i"].map(key => put(key)) });
    const keys = (answer: Answer) => answer.kvs?.map(row => Buffer.from(row.key, "base64").toString());
    assert.deepEqual(keys(await range(platform, "j/", "j0")), ["j/1", "j/10", "j/2"]);
    const page = await range(platform, "j/", "\0", 2);
    assert.deepEqual([keys(page), page.more, page.count], [["j/1", "j/10"], true, "4"]);
    await txn(platform, { success: [{ request_delete_range: { key: code("j/"), range_end: code("j0") } }] });
    assert.deepEqual(keys(await range(platform, "\0", "\0")), ["i", "k"]);
});

void test("oversized and contradictory transactions are refused whole", async () => {
    await using platform = await createPlatform();
    const many = Array.from({ length: 129 }, (_, index) => put(`k${index}`));
    for (const success of [many, [put("a", "x".repeat(1_050_000))], [put("a"), put("a")]]) {
        const { status } = await send(platform, "POST", "/v3/kv/txn", { success });
        assert.equal(status, 400);
    }
    assert.equal((await range(platform, "\0", "\0")).count, undefined);
    assert.equal(platform.counts().writes, 0);
});

void test("a lost reply took effect, an outage did not, and both end by count", async () => {
    await using platform = await createPlatform();
    platform.setFaults([
        { mode: "loseReply", match: "txn", keyPrefix: "lost/", count: 1 },
        { mode: "down", match: "table", keyPrefix: "down/", count: 1 },
    ]);
    await assert.rejects(txn(platform, { success: [put("lost/1")] }));
    await assert.rejects(txn(platform, { success: [put("down/1")] }));
    assert.equal((await range(platform, "lost/1")).count, "1");
    assert.equal((await range(platform, "down/1")).count, undefined);
    assert.deepEqual(platform.counts().faults, { loseReply: 1, down: 1 });
    assert.equal(platform.counts().writes, 1);
});

void test("a hanging store does not answer and does not write", async () => {
    await using platform = await createPlatform();
    assert.equal((await send(platform, "POST", "/control/faults", { mode: "hang" })).status, 200);
    const body = JSON.stringify({ success: [put("a")] });
    const signal = AbortSignal.timeout(100);
    await assert.rejects(fetch(`${platform.url}/v3/kv/txn`, { method: "POST", body, signal }), /timeout/);
    await send(platform, "POST", "/control/faults", { mode: "none" });
    assert.equal((await range(platform, "a")).count, undefined);
});

void test("writes above the rate are refused and counted", async () => {
    await using platform = await createPlatform({ writesPerSecond: 2 });
    const statuses = [];
    for (let index = 0; index < 4; index++) {
        statuses.push((await send(platform, "POST", "/v3/kv/txn", { success: [put("a")] })).status);
    }
    assert.deepEqual(statuses, [200, 200, 429, 429]);
    assert.deepEqual([platform.counts().writes, platform.counts().throttled], [2, 2]);
});

void test("the VM list lags and its version grows (guards against a list that is fresh only in tests)", async () => {
    const vm: Vm = { name: "e1", kind: "engine", address: "127.0.0.1", port: 1, dataCentre: "a" };
    await using platform = await createPlatform({ vms: [vm], vmLagMs: 60_000 });
    const state = async () => {
        const { body } = await send<{ version: number; vms: Vm[]; }>(platform, "GET", "/v1/vms");
        return [body.version, body.vms[0]?.state];
    };
    assert.equal((await send(platform, "PATCH", "/control/vms/e1", { state: "leaving" })).status, 200);
    assert.deepEqual(await state(), [1, "live"]);
    await send(platform, "POST", "/control/lag", { ms: 0 });
    assert.deepEqual(await state(), [2, "leaving"]);
    assert.equal((await send(platform, "PATCH", "/control/vms/e2", {})).status, 404);
});

void test("objects are kept byte for byte", async () => {
    await using platform = await createPlatform();
    const url = `${platform.url}/objects/bucket/a/b%20c`;
    const bytes = Buffer.from([0, 255, 10]);
    await fetch(url, { method: "PUT", body: bytes });
    assert.deepEqual(Buffer.from(await (await fetch(url)).arrayBuffer()), bytes);
    await fetch(url, { method: "DELETE" });
    assert.equal((await fetch(url)).status, 404);
});
