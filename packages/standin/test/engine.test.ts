import { createRandom } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDelayed } from "../src/engine/delayed.ts";
import { createEventLog } from "../src/engine/events.ts";
import { createEngine } from "../src/index.ts";
import { chat, chatBody, sendRequest, waitUntil } from "./client.ts";

void test("another engine continues a partial answer with the same text (guards against garbled retries)", async () => {
    await using first = await createEngine({ scale: 50 });
    await using second = await createEngine({ scale: 50 });
    const body = chatBody("plan/a", "hello [tokens=40] [tool=ship]");
    const complete = await chat(first, body);
    assert.match(complete.text, /^(\w{3} ){40}\[call ship [0-9a-f]{8}\]$/);
    for (const cut of [0, 1, 77, 160, 165, complete.text.length]) {
        const partial = { role: "assistant", content: complete.text.slice(0, cut) };
        const messages = [...body.messages as object[], partial];
        const rest = await chat(second, { ...body, messages, continue_final_message: true });
        assert.equal(rest.text, complete.text.slice(cut));
        assert.equal(rest.end.reason, "stop");
    }
    assert.equal(second.counts().foreignPartials, 0);
});

void test("programs with the same messages get different answers (guards against mixed-up histories)", async () => {
    await using engine = await createEngine({ scale: 50 });
    const [a, b] = await Promise.all([chat(engine, chatBody("p/a", "same")), chat(engine, chatBody("p/b", "same"))]);
    assert.notEqual(a.text, b.text);
});

void test("max_tokens ends an answer early, and only the generated tokens are counted", async () => {
    await using engine = await createEngine({ scale: 50 });
    const { text, end } = await chat(engine, chatBody("plan/a", "[tokens=100]", { max_tokens: 7 }));
    assert.deepEqual([text.length, end.reason, end.usage.completion_tokens], [28, "length", 7]);
    assert.deepEqual(engine.counts().tokensByPlan, { plan: 7 });
});

void test("the second turn reuses the cached prefix of the first until the program is released", async () => {
    await using engine = await createEngine({ scale: 50 });
    const { text } = await chat(engine, chatBody("p/a", "x".repeat(400)));
    const turn = chatBody("p/a", "", {
        messages: [
            { role: "user", content: "x".repeat(400) },
            { role: "assistant", content: text },
            { role: "user", content: "y".repeat(40) },
        ],
    });
    const { usage } = (await chat(engine, turn)).end;
    assert.equal(usage.prompt_tokens - usage.prompt_tokens_details.cached_tokens, Math.ceil(45 / 4));
    await sendRequest(engine, "DELETE", "/v1/cache/p%2Fa");
    assert.deepEqual(engine.cacheEntries(), []);
    assert.equal((await chat(engine, turn)).end.usage.prompt_tokens_details.cached_tokens, 0);
    assert.equal(engine.counts().recomputedTokens, 0);
    assert.ok(engine.counts().recomputedHistoryTokens > 100);
});

void test("a full cache evicts the least recently used program and counts the tokens that it recomputes", async () => {
    await using engine = await createEngine({ scale: 50, cacheTokens: 300 });
    const body = (name: string) => chatBody(`p/${name}`, "x".repeat(400) + "[tokens=4]");
    await chat(engine, body("a"));
    await chat(engine, body("b"));
    await chat(engine, body("c"));
    assert.deepEqual(engine.cacheEntries().map(entry => entry.key), ["p/b", "p/c"]);
    await chat(engine, body("a"));
    assert.ok(engine.counts().recomputedTokens >= 100);
});

void test("waiting calls run in order of priority, then of arrival", async () => {
    await using engine = await createEngine({ scale: 20, batch: 1 });
    const order: string[] = [];
    const run = (name: string, priority: number, tokens = 4) =>
        chat(engine, chatBody(name, `[tokens=${tokens}]`, { priority })).then(() => order.push(name));
    // Long enough for the other calls to arrive while it runs.
    const first = run("first", 5, 1000);
    await waitUntil(() => engine.load().running === 1);
    const calls = [first];
    for (const [name, priority] of [["low", 7], ["early", 3], ["late", 3]] as const) {
        calls.push(run(name, priority));
        await waitUntil(() => engine.load().waiting === calls.length - 1);
    }
    await Promise.all(calls);
    assert.deepEqual(order, ["first", "early", "late", "low"]);
});

void test("a call of higher priority preempts a running call, whose answer is still complete", async () => {
    await using engine = await createEngine({ scale: 20, batch: 1, preempt: true });
    const order: string[] = [];
    const long = chat(engine, chatBody("long", "[tokens=2000]", { priority: 9 })).then(answer => {
        order.push("long");
        return answer;
    });
    await waitUntil(() => engine.counts().generatedTokens > 10);
    await chat(engine, chatBody("short", "[tokens=4]", { priority: 0 })).then(() => order.push("short"));
    assert.equal((await long).text.length, 8000);
    assert.deepEqual(order, ["short", "long"]);
});

void test("a closed connection stops generation (guards against tokens generated for disconnected clients)", async () => {
    await using engine = await createEngine({ scale: 10 });
    const abort = new AbortController();
    const call = chat(engine, chatBody("p/a", "[tokens=5000]"), () => abort.abort(), abort.signal);
    await assert.rejects(call);
    await waitUntil(() => engine.load().running === 0);
    const { cancelled, generatedTokens } = engine.counts();
    assert.equal(cancelled, 1);
    assert.ok(generatedTokens < 1000);
    assert.equal(engine.cacheEntries()[0]?.pinned, false);
});

void test("a load report shows the load of one lag earlier", () => {
    const report = createDelayed("idle", 100);
    report.set("busy", 10);
    report.set("full", 50);
    const seen = [50, 109, 110, 149, 150].map(now => report.get(now));
    assert.deepEqual(seen, ["idle", "idle", "busy", "busy", "full"]);
});

void test("cache events are delayed and have gaps in their numbers, the same gaps for the same seed", () => {
    const createLog = () => {
        const events = createEventLog(100, 0.5, createRandom(1));
        for (let index = 0; index < 20; index++) {
            events.add({ kind: "stored", program: "p/a", tokens: 1 }, index);
        }
        return events;
    };
    const numbers = createLog().after(0, 200).map(event => event.sequence);
    assert.ok(numbers.length > 2 && numbers.length < 18, `got ${numbers.join()}`);
    assert.deepEqual(createLog().after(0, 200).map(event => event.sequence), numbers);
    assert.deepEqual(createLog().after(0, 99), []);
    assert.deepEqual(createLog().after(numbers[1]!, 200).length, numbers.length - 2);
});

void test("the load report and the cache events are served", async () => {
    await using engine = await createEngine({ scale: 50 });
    const call = await sendRequest(engine, "POST", "/v1/chat/completions", chatBody("p/a", "[tokens=1]"));
    assert.equal((call.body.usage as { completion_tokens: number; }).completion_tokens, 1);
    const { body } = await sendRequest(engine, "GET", "/v1/events?after=0");
    assert.deepEqual(body, { events: [{ sequence: 1, kind: "stored", program: "p/a", tokens: 8 }] });
    const report = { running: 0, waiting: 0, cachedTokens: 8, cacheCapacity: 400_000 };
    assert.deepEqual((await sendRequest(engine, "GET", "/v1/load")).body, report);
});

void test("a fenced engine refuses an order with an old token; an unfenced engine executes it", async () => {
    for (const fenced of [true, false]) {
        await using engine = await createEngine({ fenced, models: ["a"], loadMs: 0 });
        await sendRequest(engine, "POST", "/v1/orders", { fence: 7, action: "load", model: "b" });
        await waitUntil(() => engine.orders().models?.includes("b") === true);
        const old = await sendRequest(engine, "POST", "/v1/orders", { fence: 6, action: "unload", model: "a" });
        assert.equal(old.status, fenced ? 409 : 200);
        assert.deepEqual(engine.orders().models, fenced ? ["a", "b"] : ["b"]);
        const call = await sendRequest(engine, "POST", "/v1/chat/completions", { ...chatBody("p/a", "[tokens=1]"),
            model: "a" });
        assert.equal(call.status, fenced ? 200 : 404);
    }
});

void test("a prefix moves to another engine", async () => {
    await using first = await createEngine({ scale: 50 });
    await using second = await createEngine({ scale: 50 });
    const body = chatBody("p/a", "x".repeat(400));
    await chat(first, body);
    const exported = await sendRequest(first, "POST", "/v1/cache/export", { key: "p/a" });
    assert.equal((await sendRequest(second, "POST", "/v1/cache/import", exported.body)).status, 200);
    const { usage } = (await chat(second, body)).end;
    assert.equal(usage.prompt_tokens_details.cached_tokens, usage.prompt_tokens);
});

void test("a slowed engine takes longer by the factor", async () => {
    await using engine = await createEngine({ scale: 10, stepMs: 10, sequenceMs: 0 });
    await sendRequest(engine, "POST", "/control/slow", { factor: 5, ms: 60_000 });
    const start = performance.now();
    await chat(engine, chatBody("p/a", "[tokens=60]"));
    assert.ok(performance.now() - start >= 300);
});

void test("a hung engine generates nothing and resumes where it stopped", async () => {
    await using engine = await createEngine({ scale: 10 });
    const call = chat(engine, chatBody("p/b", "[tokens=400]"));
    await waitUntil(() => engine.counts().generatedTokens > 0);
    await sendRequest(engine, "POST", "/control/hang", {});
    const before = engine.counts().generatedTokens;
    assert.ok(before < 400);
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.equal(engine.counts().generatedTokens, before);
    await sendRequest(engine, "POST", "/control/hang", { on: false });
    assert.equal((await call).text.length, 1600);
});
