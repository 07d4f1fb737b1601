import { createRandom } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createEngine } from "../src/index.ts";
import { chat, chatBody, waitUntil } from "./client.ts";

void test("under cancellation, preemption and eviction finished answers are complete and no call or pin is left", async () => {
    await using reference = await createEngine({ scale: 1000, batch: 64 });
    await using engine = await createEngine({ scale: 50, batch: 4, cacheTokens: 400, preempt: true });
    const random = createRandom(7);
    const calls = Array.from({ length: 60 }, (_, index) => {
        const text = `${"x".repeat(Math.floor(random() * 400))}[tokens=${1 + Math.floor(random() * 100)}]`;
        const body = chatBody(`p${index % 3}/${index % 20}`, text, { priority: Math.floor(random() * 8) });
        return { body, cancelled: random() < 0.3, delayMs: random() * 200 };
    });
    await Promise.all(calls.map(async ({ body, cancelled, delayMs }) => {
        await new Promise(resolve => setTimeout(resolve, delayMs));
        if (cancelled) {
            await chat(engine, body, undefined, AbortSignal.timeout(20)).catch(() => {});
            return;
        }
        assert.equal((await chat(engine, body)).text, (await chat(reference, body)).text);
    }));
    await waitUntil(() => engine.load().running + engine.load().waiting === 0);
    assert.ok(engine.cacheEntries().every(entry => !entry.pinned));
    const { requests, finished, cancelled, peakRunning } = engine.counts();
    assert.equal(finished + cancelled, requests);
    assert.ok(peakRunning <= 4, `${peakRunning} calls ran at once`);
});

void test("exactly as many calls run as the batch takes (guards against a batch that is not filled or overfilled)", async () => {
    await using engine = await createEngine({ batch: 4 });
    const abort = new AbortController();
    const calls = Array.from({ length: 5 },
        (_, index) =>
            chat(engine, chatBody(`p/${index}`, "[tokens=100000]", {}), undefined, abort.signal).catch(() =>
                undefined
            ));
    await waitUntil(() => engine.load().running === 4 && engine.load().waiting === 1);
    abort.abort();
    await Promise.all(calls);
    await waitUntil(() => engine.load().running + engine.load().waiting === 0);
    assert.equal(engine.counts().peakRunning, 4);
});
