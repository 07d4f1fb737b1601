import { systemClock } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPauseDetector } from "../src/pause.ts";

test("a pause counts as recent for some seconds (guards against a heartbeat from before the pause that confirms a revoked key)", () => {
    let now = 0;
    using detector = createPauseDetector({ ...systemClock, monotonic: () => now });
    assert.equal(detector.resumedRecently(), false);
    now += 6_000;
    const results = Array.from({ length: 40 }, () => {
        const resumedRecently = detector.resumedRecently();
        now += 100;
        return resumedRecently;
    });
    // A daemon with many unread messages after a pause reads old heartbeats for seconds.
    assert.ok(results.slice(0, 20).every(isLate => isLate));
    assert.equal(results.at(-1), false);
});
