import { systemClock } from "@tamarackgauge/core";
import type { CacheEvent } from "@tamarackgauge/core";
import type { EngineControl, NumberedCacheEvent } from "@tamarackgauge/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCacheEventPoller } from "../src/cacheEvents.ts";

/** A fake engine with numbered events and a cache, which records the requests to it. */
function fakeEngine(initial: readonly NumberedCacheEvent[] = []) {
    const events = [...initial];
    const cachedTokens = new Map<string, number>();
    const requests: string[] = [];
    const control: EngineControl = {
        orders: () => Promise.reject(new Error("unexpected request")),
        order: () => Promise.reject(new Error("unexpected request")),
        events: after => {
            requests.push(`events ${after}`);
            return Promise.resolve({ events: events.filter(({ sequence }) => sequence > after), bytes: 100 });
        },
        cache: () => {
            requests.push("cache");
            return Promise.resolve({ held: cachedTokens, bytes: 100 });
        },
    };
    return { control, events, cachedTokens, requests };
}

function startPoller(engines: Readonly<Record<string, EngineControl>>, livePrograms: ReadonlySet<string>) {
    const reportedEvents: [string, CacheEvent][] = [];
    let now = 0;
    const poller = createCacheEventPoller({
        clock: { ...systemClock, monotonic: () => now },
        clientOf: engine => engines[engine],
        isLive: program => livePrograms.has(program),
        onEvent: (engine, event) => reportedEvents.push([engine, event]),
        // The tests call `poll` themselves.
        interval: 3_600_000,
    });
    return { poller, reportedEvents, advance: (ms: number) => now += ms };
}

test("events of own programs reach the policy exactly once (guards against cache estimates from calls of other daemons)", async () => {
    const engine = fakeEngine([
        { sequence: 1, kind: "stored", program: "plan/a", tokens: 40 },
        { sequence: 2, kind: "stored", program: "plan/other", tokens: 70 },
    ]);
    const { poller, reportedEvents, advance } = startPoller({ e1: engine.control }, new Set(["plan/a"]));
    await using ownedPoller = poller;
    ownedPoller.recordDispatch("e1", "plan/a");
    await ownedPoller.poll();
    assert.deepEqual(reportedEvents, [["e1", { kind: "stored", program: "plan/a", tokens: 40 }]]);
    engine.events.push({ sequence: 3, kind: "evicted", program: "plan/a", tokens: 40 });
    advance(10_000);
    await ownedPoller.poll();
    assert.deepEqual(reportedEvents.slice(1), [["e1", { kind: "evicted", program: "plan/a", tokens: 40 }]]);
    assert.deepEqual(engine.requests, ["events 0", "events 2"]);
});

test("after a gap in the events the cache is read (guards against a missed eviction that is never corrected)", async () => {
    const engine = fakeEngine([{ sequence: 1, kind: "stored", program: "plan/a", tokens: 40 }]);
    const { poller, reportedEvents, advance } = startPoller({ e1: engine.control }, new Set(["plan/a", "plan/b"]));
    await using ownedPoller = poller;
    ownedPoller.recordDispatch("e1", "plan/a");
    ownedPoller.recordDispatch("e1", "plan/b");
    await ownedPoller.poll();
    // Events 2 and 3, the eviction of a and the storing of b, are lost.
    engine.events.push({ sequence: 4, kind: "stored", program: "plan/other", tokens: 5 });
    engine.cachedTokens.set("plan/b", 64).set("plan/other", 5);
    advance(10_000);
    await ownedPoller.poll();
    assert.deepEqual(reportedEvents.slice(1), [
        ["e1", { kind: "evicted", program: "plan/a", tokens: 0 }],
        ["e1", { kind: "stored", program: "plan/b", tokens: 64 }],
    ]);
    assert.deepEqual(engine.requests, ["events 0", "events 1", "cache"]);
});

test("only engines with recent calls are polled, within the traffic limit (guards against control traffic above 6 KB/s)", async () => {
    const names = Array.from({ length: 13 }, (_, index) => `e${index}`);
    const engines = new Map(names.map(name => [name, fakeEngine()]));
    const controls = Object.fromEntries([...engines].map(([name, { control }]) => [name, control]));
    const { poller, advance } = startPoller(controls, new Set(["plan/a"]));
    await using ownedPoller = poller;
    const requestCount = () => [...engines.values()].reduce((sum, engine) => sum + engine.requests.length, 0);
    await ownedPoller.poll();
    assert.equal(requestCount(), 0, "an engine without calls is not polled");
    for (let second = 0; second < 120; second += 2) {
        names.forEach(name => ownedPoller.recordDispatch(name, "plan/a"));
        await ownedPoller.poll();
        advance(2_000);
    }
    const bytes = requestCount() * 450 / 120;
    assert.ok(bytes > 500 && bytes <= 1_200, `${bytes} bytes a second for 13 busy engines`);
    const before = requestCount();
    for (let round = 0; round < 20; round += 1) {
        await ownedPoller.poll();
        advance(10_000);
    }
    assert.ok(requestCount() - before <= 3 * names.length, "polls of an engine stop soon after its last call");
});
