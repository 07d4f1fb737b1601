import assert from "node:assert/strict";
import { test } from "node:test";
import { collect, createCall, neverAborted, setAllMembers, startPeers } from "./support.ts";

test("calls in both directions return all their events in order (guards against lost, duplicated or interleaved events)", async () => {
    await using a = await startPeers("a");
    await using b = await startPeers("b");
    setAllMembers({ a, b });
    const answers = await Promise.all([
        ...[0, 1, 5000].map(count => collect(a.call("b", createCall(count), neverAborted))),
        collect(b.call("a", createCall(3), neverAborted)),
    ]);
    assert.deepEqual(answers.map(events => events.length), [1, 2, 5001, 4]);
    for (const events of answers) {
        events.slice(0, -1).forEach((event, index) =>
            assert.deepEqual(event, { type: "text", offset: 4 * index, text: "text" })
        );
        assert.equal(events.at(-1)?.type, "done");
    }
    assert.deepEqual(await a.query("b", "echo", { x: [1, "y"] }, 1000), { x: [1, "y"] });
});
