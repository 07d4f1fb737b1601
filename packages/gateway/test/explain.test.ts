import assert from "node:assert/strict";
import { test } from "node:test";
import { explainCall } from "../src/explain.ts";
import { parseLogLines } from "../src/logLine.ts";

const line = (time: number, vm: string, event: string, fields: object) =>
    JSON.stringify({ level: 30, time, vm, event, ...fields });

test("explain selects the lines of the call, its program and its gateway, ordered by time (guards against a manual search of the logs)", () => {
    const text = [
        line(9_000, "b", "store.watch.failed", { table: "op" }),
        line(5_000, "a", "store.watch.failed", { table: "op" }),
        line(9_500, "a", "call.refused", { call: "c1", program: "p", ms: 20 }),
        line(9_400, "a", "store.watch.failed", { table: "op" }),
        line(9_300, "b", "send.failed", { call: "c0", program: "p" }),
        line(9_300, "a", "call.refused", { call: "other", program: "q" }),
        "not a log line",
        `  3.5 front-a ${line(9_450, "a", "send.failed", { call: "c1", program: "p" })}`,
    ].join("\n");
    const events = explainCall(parseLogLines(text), "c1").map(({ vm, event }) => `${vm} ${event}`);
    assert.deepEqual(events, ["b send.failed", "a store.watch.failed", "a send.failed", "a call.refused"]);
    assert.deepEqual(explainCall(parseLogLines(text), "none"), []);
});
