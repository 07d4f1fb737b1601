import assert from "node:assert/strict";
import { test } from "node:test";
import { callOf, collect, introduce, never, start } from "./support.ts";

test("a call returns all its events in order, in both directions; guards against lost, doubled or mixed events", async () => {
    await using a = await start("a");
    await using b = await start("b");
    introduce({ a, b });
    const answers = await Promise.all([
        ...[0, 1, 5000].map(count => collect(a.call("b", callOf(count), never))),
        collect(b.call("a", callOf(3), never)),
    ]);
    assert.deepEqual(answers.map(events => events.length), [1, 2, 5001, 4]);
    for (const events of answers) {
        events.slice(0, -1).forEach((event, index) =>
            assert.deepEqual(event, { type: "text", offset: 4 * index, text: "text" })
        );
        assert.equal(events.at(-1)?.type, "done");
    }
    assert.deepEqual(await a.ask("b", "echo", { x: [1, "y"] }, 1000), { x: [1, "y"] });
});
