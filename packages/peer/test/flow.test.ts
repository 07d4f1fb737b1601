import { type AnswerEvent, RefusalError, refuse } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CancelledError } from "../src/index.ts";
import { collect, completion, createCall, generateTexts, neverAborted, setAllMembers, sleep, startPeers,
    waitUntil } from "./support.ts";

test("a slow reader pauses only its own stream (guards against unbounded buffering and against blocking other streams)", async () => {
    let pulled = 0;
    await using a = await startPeers("a");
    await using b = await startPeers("b", {
        handleCall: async function*(_from, call) {
            for await (const event of generateTexts(call.offset)) {
                pulled += call.request === "slow" ? 1 : 0;
                yield event;
            }
        },
    });
    setAllMembers({ a, b });
    const slow = a.call("b", createCall(20_000, "slow"), neverAborted)[Symbol.asyncIterator]();
    await slow.next();
    const startedAt = performance.now();
    assert.equal((await collect(a.call("b", createCall(50_000, "fast"), neverAborted))).length, 50_001);
    const fastMs = performance.now() - startedAt;
    assert.ok(fastMs < 5000, `the fast stream took ${fastMs} ms`);
    // The window of 64 KB holds events of 72 bytes each; one more event may wait for credit.
    assert.ok(pulled <= 65_536 / 72 + 2, `${pulled} events were pulled for a reader that took one`);
    let received = 1;
    for (let next = await slow.next(); next.done !== true; next = await slow.next()) {
        assert.equal(next.value.type === "text" ? next.value.offset : 80_000, 4 * received);
        received += 1;
    }
    assert.equal(received, 20_001);
});

test("a large text is split into several messages (guards against a single event that exceeds the credit)", async () => {
    // The surrogate pair of the emoji crosses the boundary of the first piece.
    const body = "x".repeat(8191) + "\u{1f600}" + "y".repeat(500_000);
    await using a = await startPeers("a");
    await using b = await startPeers("b", {
        handleCall: async function*() {
            yield { type: "text", offset: 7, text: body };
            yield { type: "done", completion };
        },
    });
    setAllMembers({ a, b });
    const events = await collect(a.call("b", createCall(1), neverAborted));
    const texts = events.filter(event => event.type === "text");
    assert.equal(texts.map(event => event.text).join(""), body);
    let offset = 7;
    for (const event of texts) {
        assert.equal(event.offset, offset);
        offset += event.text.length;
    }
});

test("aborting a call or ending its iteration cancels it at the serving daemon (guards against engines that work on abandoned calls)", async () => {
    const reasons: unknown[] = [];
    await using a = await startPeers("a");
    await using b = await startPeers("b", {
        handleCall: async function*(_from, _call, signal) {
            signal.addEventListener("abort", () => reasons.push(signal.reason));
            for (let index = 0; !signal.aborted; index += 1) {
                yield { type: "text", offset: index, text: "x" };
                await sleep(1);
            }
        },
    });
    setAllMembers({ a, b });
    const abort = new AbortController();
    const aborted = a.call("b", createCall(1), abort.signal)[Symbol.asyncIterator]();
    await aborted.next();
    setTimeout(() => abort.abort(new Error("the caller left")), 20);
    const readUntilAbort = async () => {
        for (let next = await aborted.next(); next.done !== true; next = await aborted.next()) {
            // Discards the events.
        }
    };
    await assert.rejects(readUntilAbort(), /the caller left/);
    const events = a.call("b", createCall(1), neverAborted)[Symbol.asyncIterator]();
    await events.next();
    await events.return?.();
    await waitUntil(() => reasons.length === 2);
    assert.ok(reasons.every(reason => reason instanceof CancelledError));
    assert.equal(a.links()[0]?.up, true);
});

test("each stream has exactly one final event, also if its handler fails (guards against calls that never end and errors that close the link)", async () => {
    const answers: Record<string, () => AsyncGenerator<AnswerEvent>> = {
        refusal: async function*() {
            throw new RefusalError(refuse("budget_spent", "notRun"));
        },
        error: async function*() {
            yield { type: "text", offset: 0, text: "x" };
            throw new Error("a fault");
        },
        endless: async function*() {
            yield { type: "text", offset: 0, text: "x" };
        },
        late: async function*() {
            yield { type: "done", completion };
            yield { type: "text", offset: 0, text: "x" };
        },
    };
    await using a = await startPeers("a");
    await using b = await startPeers("b", { handleCall: (_from, call) => answers[call.request]!() });
    setAllMembers({ a, b });
    const finalEvents = async (request: string) => {
        const events = await collect(a.call("b", createCall(1, request), neverAborted));
        return events.map(event =>
            event.type === "refused" ? `${event.refusal.code} ${event.refusal.run}` : event.type
        );
    };
    assert.deepEqual(await finalEvents("refusal"), ["4291 notRun"]);
    assert.deepEqual(await finalEvents("error"), ["text", "5001 unknown"]);
    assert.deepEqual(await finalEvents("endless"), ["text", "5001 unknown"]);
    assert.deepEqual(await finalEvents("late"), ["done"]);
    assert.deepEqual(await finalEvents("no such answer"), ["5001 unknown"]);
});

test("drain lets served calls finish and refuses new ones (guards against I9, a shutdown that aborts a request)", async () => {
    let finish = () => {};
    await using a = await startPeers("a");
    await using b = await startPeers("b", {
        handleCall: async function*(_from, call) {
            if (call.request === "held") {
                yield { type: "text", offset: 0, text: "x" };
                await new Promise<void>(resolve => {
                    finish = resolve;
                });
            }
            yield { type: "done", completion };
        },
    });
    setAllMembers({ a, b });
    const heldCall = a.call("b", createCall(1, "held"), neverAborted)[Symbol.asyncIterator]();
    await heldCall.next();
    let drained = false;
    const draining = b.drain().then(() => {
        drained = true;
    });
    const [refused] = await collect(a.call("b", createCall(1, "new"), neverAborted));
    assert.ok(refused?.type === "refused" && refused.refusal.name === "leaving" && refused.refusal.run === "notRun");
    assert.equal(drained, false);
    finish();
    assert.deepEqual(await heldCall.next(), { done: false, value: { type: "done", completion } });
    await draining;
    assert.equal((await heldCall.next()).done, true);
});
