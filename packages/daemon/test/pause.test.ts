import { systemClock } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPauseDetector } from "../src/pause.ts";

test("what is read in the seconds after a pause may be old (guards against a heartbeat from before it that confirms a revoked key)", () => {
    let now = 0;
    using pauses = createPauseDetector({ ...systemClock, monotonic: () => now });
    assert.equal(pauses.resumedRecently(), false);
    now += 6_000;
    const lately = Array.from({ length: 40 }, () => {
        const isLate = pauses.resumedRecently();
        now += 100;
        return isLate;
    });
    // A daemon that has much to read after a pause reads old heartbeats for seconds.
    assert.ok(lately.slice(0, 20).every(isLate => isLate));
    assert.equal(lately.at(-1), false);
});
