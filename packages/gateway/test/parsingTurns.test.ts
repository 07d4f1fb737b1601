import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextRound } from "node:timers/promises";
import { createParsingTurns } from "../src/parsingTurns.ts";

test("a turn is over after 1 ms (guards against a connection that is parsed until all it has sent is used up)", () => {
    let time = 0;
    const isOver = createParsingTurns(() => time).begin();
    assert.equal(isOver(), false);
    time = 0.99;
    assert.equal(isOver(), false);
    time = 1;
    assert.equal(isOver(), true);
});

test("connections that wait go on one a round of the event loop, in their order, and one that has closed does not (guards against a crowd that goes on all at once)", async () => {
    const turns = createParsingTurns(() => 0);
    const resumed: string[] = [];
    const closed = () => void resumed.push("closed");
    turns.enqueue(() => {
        resumed.push("first");
        turns.enqueue(() => void resumed.push("first again"));
    });
    turns.enqueue(closed);
    turns.enqueue(() => void resumed.push("second"));
    turns.remove(closed);
    assert.deepEqual(resumed, []);
    for (const expected of [["first"], ["first", "second"], ["first", "second", "first again"]]) {
        await nextRound();
        assert.deepEqual(resumed, expected);
    }
});
