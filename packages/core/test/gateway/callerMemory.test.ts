import assert from "node:assert/strict";
import { test } from "node:test";
import { callCost, callerBytesWithin, callerCapacityOf, callerMemoryUse, chooseClosings, chooseClosingsForCall,
    type ConnectionUse, hasRoomForCall } from "../../src/gateway/index.ts";

interface NamedConnection extends ConnectionUse {
    readonly name: string;
}

const megabyte = 1_000_000;
const now = 10_000;
const timeouts = { head: 3_000, idle: 15_000 };

function connection(name: string, changes: Partial<ConnectionUse>): NamedConnection {
    return { name, headBytes: 0, waitingSince: now, calls: 0, ...changes };
}

/** Several connections alike. */
function connections(count: number, changes: Partial<ConnectionUse>): NamedConnection[] {
    return Array.from({ length: count }, (_, index) => connection(`other ${index}`, changes));
}

function closingsOf(open: readonly NamedConnection[], callCosts: number, maxBytes: number, maxConnections = Infinity) {
    const capacity = { bytes: maxBytes, connections: maxConnections };
    return chooseClosings(open, callCosts, capacity, timeouts, now).map(
        closing => [closing.connection.name, closing.cause],
    );
}

test("unfinished heads beyond their share are closed, oldest first, and none with a call under way (guards against heads in no budget)", () => {
    const open = [
        connection("new", { headBytes: 50_000, waitingSince: now - 10 }),
        connection("old", { headBytes: 60_000, waitingSince: now - 30 }),
        connection("busy", { headBytes: 60_000, waitingSince: now - 40, calls: 1 }),
    ];
    assert.deepEqual(closingsOf(open, 0, 16 * 170_000), []);
    assert.deepEqual(closingsOf(open, 0, 16 * 160_000), [["old", "headMemory"]]);
});

test("idle connections beyond the limit are closed, longest idle first (guards against connections in no budget)", () => {
    const open = [connection("new", { waitingSince: now - 1 }), connection("old", { waitingSince: now - 9_000 }),
        ...connections(200, { calls: 1 })];
    const use = callerMemoryUse(open.length, 0, 0).connections;
    assert.deepEqual(closingsOf(open, 0, use), []);
    assert.deepEqual(closingsOf(open, 0, use - 1), [["old", "idleMemory"], ["new", "idleMemory"]]);
});

test("unfinished heads beyond their share displace neither calls nor idle connections (guards against sound calls refused for the heads of others)", () => {
    const open = [connection("idle", { waitingSince: now - 5_000 }),
        connection("head", { headBytes: 10 * megabyte, waitingSince: now - 10 })];
    assert.deepEqual(closingsOf(open, 0, 16 * megabyte), [["head", "headMemory"]]);
    assert.equal(hasRoomForCall(callerMemoryUse(2, 10 * megabyte, 0), megabyte, 16 * megabyte), true);
});

test("a connection just opened is not closed to make room for a call (guards against callers that displace one another)", () => {
    const open = [connection("new", { waitingSince: now - 10 }), connection("old", { waitingSince: now - 1_000 })];
    const closings = chooseClosingsForCall(open, 0, megabyte, megabyte, now);
    assert.deepEqual(closings.map(closing => closing.connection.name), ["old"]);
});

test("connections and heads are closed at their time limits, not before (guards against limits that are looked at too rarely)", () => {
    const open = [
        connection("late head", { headBytes: 1, waitingSince: now - 3_001 }),
        connection("head", { headBytes: 1, waitingSince: now - 3_000 }),
        connection("unused", { waitingSince: now - 15_001 }),
        connection("idle", { waitingSince: now - 15_000 }),
    ];
    assert.deepEqual(closingsOf(open, 0, 16 * megabyte), [["late head", "headTimeout"], ["unused", "idleTimeout"]]);
});

test("connections beyond the descriptors for callers are closed, those without a call that have waited for longest first (guards against a process that callers leave no descriptor for upstreams)", () => {
    const open = [connection("new", { waitingSince: now - 1 }), connection("old", { waitingSince: now - 9_000 }),
        connection("head", { headBytes: 10, waitingSince: now - 2_000 }), ...connections(20, { calls: 1 })];
    assert.deepEqual(closingsOf(open, 0, 16 * megabyte, 23), []);
    assert.deepEqual(closingsOf(open, 0, 16 * megabyte, 22), [["old", "descriptors"], ["head", "descriptors"], ["new",
        "descriptors"]]);
});

test("a VM with 2,212 descriptors leaves a third of them to the store, upstreams and peers, and takes 1,300 connections of callers (guards against limits that callers meet in calm)", () => {
    const { connections: most, acceptedConnections } = callerCapacityOf(186 * megabyte, 2_212);
    assert.ok(most >= 1_300);
    assert.ok(acceptedConnections > most && 2_212 - acceptedConnections >= 600);
});

for (const [memoryMb, calls] of [[178, 800], [220, 1_000], [350, 1_200]] as const) {
    test(`a VM of ${memoryMb} MB takes ${calls} calls at once with heads of 2 KB, each on its own connection (guards against sound calls that are refused)`, () => {
        const cost = callCost(2_048, 30);
        const use = callerMemoryUse(calls, 0, (calls - 1) * cost);
        assert.equal(hasRoomForCall(use, cost, callerBytesWithin(memoryMb * megabyte)), true);
    });
}
