import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouteTable, pickService, type ServiceRoute } from "../../src/gateway/index.ts";

const route = (name: string, host: string, prefix: string): ServiceRoute => ({
    name,
    host,
    prefix,
    execution: "repeatable",
    streamed: false,
    resumable: false,
    maxEventInterval: undefined,
    callerPatience: 2_000,
    retention: undefined,
    timeout: 1_000,
    targetLatency: 100,
    priority: 0,
    maxUpstreams: 1,
    shares: [{ service: "one", weight: 90 }, { service: "two", weight: 10 }],
    isPublic: false,
});

test("the longest matching prefix of the host is used (guards against a general route that hides a specific one)", () => {
    const table = createRouteTable([route("general", "a.example", "/x/"), route("special", "a.example", "/x/y/")]);
    assert.equal(table.find("a.example", "/x/y/z")?.name, "special");
    assert.equal(table.find("A.example:8080", "/x/z")?.name, "general");
    assert.equal(table.find("b.example", "/x/z"), undefined);
    assert.equal(table.find("a.example", "/xy/"), undefined);
});

test("a weighted route follows its weights and keeps a program at one service (guards against cache misses)", () => {
    const picked = Array.from({ length: 1_000 }, (_, index) => pickService(route("r", "h", "/"), index / 1_000));
    assert.equal(picked.filter(name => name === "two").length, 100);
    assert.equal(pickService(route("r", "h", "/"), 0.5), pickService(route("r", "h", "/"), 0.5));
});
