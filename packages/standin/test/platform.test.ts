import assert from "node:assert/strict";
import { test } from "node:test";
import { createPlatform } from "../src/index.ts";
import type { Platform, Vm } from "../src/index.ts";
import { sendRequest } from "./client.ts";

const encodeBase64 = (text: string) => Buffer.from(text).toString("base64");
const putOperation = (key: string, value = "v") => ({
    request_put: { key: encodeBase64(key), value: encodeBase64(value) },
});

interface Answer {
    readonly header: { readonly revision: string; };
    readonly succeeded?: boolean;
    readonly more?: boolean;
    readonly count?: string;
    readonly kvs?: readonly { readonly key: string; readonly mod_revision: string; readonly version: string; }[];
}

async function runTxn(platform: Platform, body: unknown): Promise<Answer> {
    const { status, body: answer } = await sendRequest<Answer>(platform, "POST", "/v3/kv/txn", body);
    assert.equal(status, 200);
    return answer;
}

async function readRange(platform: Platform, key: string, end?: string, limit?: number): Promise<Answer> {
    const body = { key: encodeBase64(key), ...(end === undefined ? {} : { range_end: encodeBase64(end) }), limit };
    return (await sendRequest<Answer>(platform, "POST", "/v3/kv/range", body)).body;
}

void test("a transaction with a stale revision changes nothing (guards against a lost update)", async () => {
    await using platform = await createPlatform();
    const compare = (revision: string) => [
        { key: encodeBase64("a"), target: "MOD", result: "EQUAL", mod_revision: revision },
    ];
    const first = await runTxn(platform, { compare: compare("0"), success: [putOperation("a")] });
    const stale = await runTxn(platform, { compare: compare("0"), success: [putOperation("a")], failure: [] });
    const next = await runTxn(platform, { compare: compare(first.header.revision),
        success: [putOperation("a"), putOperation("b")] });
    assert.equal(first.succeeded, true);
    assert.equal(stale.succeeded, undefined);
    assert.equal(stale.header.revision, first.header.revision);
    assert.equal(next.succeeded, true);
    const { kvs } = await readRange(platform, "a", "c");
    assert.deepEqual(kvs?.map(row => [row.mod_revision, row.version]), [["3", "2"], ["3", "1"]]);
});

void test("ranges are ordered, limited and half open (guards against a takeover that misses journal rows)", async () => {
    await using platform = await createPlatform();
    await runTxn(platform, { success: ["j/10", "j/2", "k", "j/1", "i"].map(key => putOperation(key)) });
    const keys = (answer: Answer) => answer.kvs?.map(row => Buffer.from(row.key, "base64").toString());
    assert.deepEqual(keys(await readRange(platform, "j/", "j0")), ["j/1", "j/10", "j/2"]);
    const page = await readRange(platform, "j/", "\0", 2);
    assert.deepEqual([keys(page), page.more, page.count], [["j/1", "j/10"], true, "4"]);
    await runTxn(platform, {
        success: [{ request_delete_range: { key: encodeBase64("j/"), range_end: encodeBase64("j0") } }],
    });
    assert.deepEqual(keys(await readRange(platform, "\0", "\0")), ["i", "k"]);
});

void test("oversized and contradictory transactions are refused as a whole", async () => {
    await using platform = await createPlatform();
    const tooManyPuts = Array.from({ length: 129 }, (_, index) => putOperation(`k${index}`));
    for (const success of [tooManyPuts, [putOperation("a", "x".repeat(1_050_000))], [putOperation("a"),
        putOperation("a")]]) {
        const { status } = await sendRequest(platform, "POST", "/v3/kv/txn", { success });
        assert.equal(status, 400);
    }
    assert.equal((await readRange(platform, "\0", "\0")).count, undefined);
    assert.equal(platform.counts().writes, 0);
});

void test("a request takes effect on a lost reply but not in an outage, and both faults end after their count", async () => {
    await using platform = await createPlatform();
    platform.setFaults([
        { mode: "loseReply", match: "txn", keyPrefix: "lost/", count: 1 },
        { mode: "down", match: "table", keyPrefix: "down/", count: 1 },
    ]);
    await assert.rejects(runTxn(platform, { success: [putOperation("lost/1")] }));
    await assert.rejects(runTxn(platform, { success: [putOperation("down/1")] }));
    assert.equal((await readRange(platform, "lost/1")).count, "1");
    assert.equal((await readRange(platform, "down/1")).count, undefined);
    assert.deepEqual(platform.counts().faults, { loseReply: 1, down: 1 });
    assert.equal(platform.counts().writes, 1);
});

void test("a hanging store does not answer and does not write", async () => {
    await using platform = await createPlatform();
    assert.equal((await sendRequest(platform, "POST", "/control/faults", { mode: "hang" })).status, 200);
    const body = JSON.stringify({ success: [putOperation("a")] });
    const signal = AbortSignal.timeout(100);
    await assert.rejects(fetch(`${platform.url}/v3/kv/txn`, { method: "POST", body, signal }), /timeout/);
    await sendRequest(platform, "POST", "/control/faults", { mode: "none" });
    assert.equal((await readRange(platform, "a")).count, undefined);
});

void test("writes above the rate are refused and counted", async () => {
    await using platform = await createPlatform({ writesPerSecond: 2 });
    const statuses = [];
    for (let index = 0; index < 4; index++) {
        statuses.push((await sendRequest(platform, "POST", "/v3/kv/txn", { success: [putOperation("a")] })).status);
    }
    assert.deepEqual(statuses, [200, 200, 429, 429]);
    assert.deepEqual([platform.counts().writes, platform.counts().throttled], [2, 2]);
});

void test("the VM list lags and its version grows (guards against tests that rely on an up-to-date list)", async () => {
    const vm: Vm = { name: "e1", kind: "engine", address: "127.0.0.1", port: 1, dataCentre: "a" };
    await using platform = await createPlatform({ vms: [vm], vmLagMs: 60_000 });
    const readVmState = async () => {
        const { body } = await sendRequest<{ version: number; vms: Vm[]; }>(platform, "GET", "/v1/vms");
        return [body.version, body.vms[0]?.state];
    };
    assert.equal((await sendRequest(platform, "PATCH", "/control/vms/e1", { state: "leaving" })).status, 200);
    assert.deepEqual(await readVmState(), [1, "live"]);
    await sendRequest(platform, "POST", "/control/lag", { ms: 0 });
    assert.deepEqual(await readVmState(), [2, "leaving"]);
    assert.equal((await sendRequest(platform, "PATCH", "/control/vms/e2", {})).status, 404);
});

void test("objects are stored byte for byte until they are deleted", async () => {
    await using platform = await createPlatform();
    const url = `${platform.url}/objects/bucket/a/b%20c`;
    const bytes = Buffer.from([0, 255, 10]);
    await fetch(url, { method: "PUT", body: bytes });
    assert.deepEqual(Buffer.from(await (await fetch(url)).arrayBuffer()), bytes);
    await fetch(url, { method: "DELETE" });
    assert.equal((await fetch(url)).status, 404);
});
