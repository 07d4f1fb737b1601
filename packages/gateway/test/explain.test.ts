import assert from "node:assert/strict";
import { test } from "node:test";
import { explainCall, explainRateLimits } from "../src/explain.ts";
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

test("explain names the rate limits that refused a call or held it (guards against a refusal whose reason was logged long before)", () => {
    const limit = (time: number, vm: string, upstream: string, fields: object) =>
        line(time, vm, "upstream.limited", { upstream, service: "models", ...fields });
    const lines = parseLogLines([
        limit(1_000, "a", "e1", { kind: "named", after: 4 }),
        limit(2_000, "a", "e1", { kind: "changed", before: 4, after: 1.5 }),
        limit(3_000, "a", "e2", { kind: "named", after: 2 }),
        limit(4_000, "a", "e2", { kind: "ended", before: 2 }),
        limit(5_000, "b", "e3", { kind: "named", after: 9 }),
        line(60_000, "a", "call.refused", { call: "c1", kind: "rateLimited", expectedWait: 412.6 }),
        limit(61_000, "a", "e1", { kind: "changed", before: 1.5, after: 3 }),
        line(62_000, "a", "call.answered", { call: "c2", permitMs: 120 }),
        line(62_000, "a", "call.answered", { call: "c3", permitMs: 0 }),
        line(62_000, "a", "call.refused", { call: "c4", kind: "storeAway" }),
    ].join("\n"));
    assert.deepEqual(explainRateLimits(lines, "c1"), [
        "a refused the call, as the upstreams' rate limits were reached: the next request was expected to be taken 413 ms later",
        "e1 of models takes 1.5 requests a second from all gateways together, known since 1970-01-01T00:00:02.000Z",
    ]);
    assert.deepEqual(explainRateLimits(lines, "c2"), [
        "a held the call for 120 ms, until an upstream with a rate limit took it",
        "e1 of models takes 3 requests a second from all gateways together, known since 1970-01-01T00:01:01.000Z",
    ]);
    assert.deepEqual([...explainRateLimits(lines, "c3"), ...explainRateLimits(lines, "c4")], []);
});
