import assert from "node:assert/strict";
import { test } from "node:test";
import { assignPartition, createNode, createPausePoint, modelCall, throwLostReply, toolCall,
    writesStep } from "./node.ts";
import type { Rows, TableHooks } from "./node.ts";

const services = { call: async () => ({ answer: { status: 200, body: "done" }, upstream: "tool" }) };

test("a turn that the store has not confirmed is not replayed as stored (guards against reporting a turn as stored that a crash loses)", async () => {
    const pausePoint = createPausePoint();
    const hooks: TableHooks = {
        before: transaction =>
            transaction.puts.some(({ key }) => key.startsWith("journal/")) ? pausePoint.pause() : undefined,
    };
    await using node = await createNode({ rows: new Map(), name: "only", hooks, services });
    assignPartition(node, "only");
    const call = toolCall("turn", { atMostOnce: false });
    assert.equal((await node.call(call)).durability, "caller");
    assert.equal((await node.call(call)).durability, "caller");
    pausePoint.release();
    await node.committer.flush();
    assert.equal((await node.call(call)).durability, "stored");
});

test("an owner writes nothing after its hand-over (guards against overwriting the next owner's journal)", async () => {
    const rows: Rows = new Map();
    const releases: (() => void)[] = [];
    const executed: string[] = [];
    const services = { call: async (_service: string, { request }: { readonly request: string; }) => {
        executed.push(request);
        return { answer: { status: 200, body: "done" }, upstream: "tool" };
    } };
    await using first = await createNode({ rows, name: "first", services, onRelease: done => releases.push(done) });
    await using second = await createNode({ rows, name: "second", services, onRelease: () => undefined });
    assignPartition(first, "first");
    await first.call(toolCall("ended", { program: "ended", end: true }));
    assert.deepEqual(await first.owner.drain([0], AbortSignal.timeout(5_000)), [0]);
    assignPartition(second, "second");
    const stored = await second.call(toolCall("turn"));
    assert.equal(stored.durability, "stored");
    // The old owner has not seen the new map yet.
    releases.forEach(done => done());
    await first.committer.flush();
    await using third = await createNode({ rows, name: "third", services });
    assignPartition(third, "third");
    assert.equal((await third.call(toolCall("turn"))).durability, "stored");
    assert.equal((await third.call(toolCall("later", { sequence: 1 }))).durability, "stored",
        "the turn at the second owner is in the journal");
    assert.deepEqual(executed, ["plan/ended/ended", "plan/p/turn", "plan/p/later"]);
});

test("the age of a lease counts from the first attempt of a renewal whose reply was lost (guards against two valid owners)", async () => {
    let lost = 0;
    const pausedRenewal = createPausePoint();
    const hooks: TableHooks = {
        before: transaction => lost === 1 && !writesStep(transaction, "turn") ? pausedRenewal.pause() : undefined,
        after: async transaction => {
            if (lost === 0 && writesStep(transaction, "turn")) {
                lost += 1;
                node.advanceClock(2_800);
                throwLostReply();
            }
        },
    };
    await using node = await createNode({ rows: new Map(), name: "only", hooks, services });
    assignPartition(node, "only");
    await node.call(toolCall("turn", { atMostOnce: false }));
    await pausedRenewal.reached;
    const age = node.committer.leaseAge();
    pausedRenewal.release();
    // The lease row was written 2.8 s ago; with a TTL of 3 s another daemon may be about to take over.
    assert.ok(age >= 2_800, `${age} ms`);
});

test("a program whose name was used by an ended program starts with an empty history (guards against mixing two histories)", async () => {
    const rows: Rows = new Map();
    const engines = {
        engine: async function*({ messages }: { readonly messages: readonly unknown[]; }) {
            yield { type: "text" as const, text: `${messages.length}`, tokens: 1 };
            yield { type: "done" as const,
                result: { reason: "stop", promptTokens: 1, cachedTokens: 0, tokens: 1, toolCalls: undefined,
                    load: undefined } };
        },
    };
    await using first = await createNode({ rows, name: "first", engines });
    assignPartition(first, "first");
    await first.call(modelCall("old", { atMostOnce: false, end: true }));
    await first.committer.flush();
    // A segment that is kept for other programs still contains steps of the ended one.
    await first.committer.append(0, [{ type: "open", program: "plan/p", plan: "plan", at: 0 }]);
    await using second = await createNode({ rows, name: "second", engines });
    assignPartition(second, "second");
    assert.equal((await second.call(modelCall("new", { atMostOnce: false }))).text, "1");
});
