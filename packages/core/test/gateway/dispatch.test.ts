import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type DispatchCall, DispatchQueue, EngineAccount, incarnationOf,
    type UpstreamEntry } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";
import { type DispatchResult, simulateDispatch, type TurnRecord } from "./dispatchLoad.ts";

const memoryTokens = 285_628;
const entry: UpstreamEntry = { id: "0", service: "models", address: "10.0.0.1", port: 1, dataCentre: "a", slots: 4,
    draining: false, startedAt: 1 };

function dispatchCall(key: number, changes: Partial<DispatchCall> = {}): DispatchCall {
    return { key, parts: [{ id: "shared", tokens: 12_600 }], promptTokens: 13_400, maxTokens: 200, dataCentre: "a",
        tried: [], excluded: [], only: undefined, preferred: undefined, priority: 0, precedingTurns: 0, team: "",
        program: key, maxWait: 125, timeLeft: 2_500, ...changes };
}

/** A queue that has run for a while, with full engines. */
function fullQueue(entries: readonly UpstreamEntry[] = [entry]): DispatchQueue {
    const queue = new DispatchQueue({ cacheTokens: memoryTokens, crossDataCentreMs: 35, random: createRandom(1),
        startedAt: -60_000 });
    queue.setEngines(entries, -60_000);
    for (let key = 1; key <= 5; key += 1) {
        assert.equal(queue.place(dispatchCall(key, { precedingTurns: 1 }), 0)?.kind, "placed");
    }
    return queue;
}

function release(queue: DispatchQueue, key: number, now: number): void {
    queue.release({ key, upstream: "0", incarnation: incarnationOf(entry), outcome: "answered", load: undefined,
        timing: undefined }, now);
}

function shareRefused(turns: readonly TurnRecord[]): number {
    const firstTurns = turns.filter(({ turn, attempts }) => turn === 0 && attempts === 1);
    return firstTurns.filter(({ outcome }) => outcome === "refused").length / firstTurns.length;
}

function quantile(values: readonly number[], share: number): number {
    return values.toSorted((left, right) => left - right)[Math.floor(share * (values.length - 1))]!;
}

function onTimeShare({ programs }: DispatchResult, from: number, to: number): number {
    const started = programs.filter(({ startedAt }) => startedAt >= from && startedAt < to);
    return started.filter(({ stretch }) => stretch < 1.7).length / started.length;
}

const within = (from: number, to: number) => ({ arrivedAt }: TurnRecord) => arrivedAt >= from && arrivedAt < to;

for (const factor of [2, 5, 10]) {
    test(`service is normal 2 s after a burst of ${factor} times for 4 s (guards against bursts that go on as retries)`, () => {
        for (const seed of [1, 2, 3]) {
            const result = simulateDispatch({ rate: now => now >= 8_000 && now < 12_000 ? 25 * factor : 25,
                until: 24_000 }, seed);
            const later = result.turns.filter(within(14_000, 24_000));
            assert.ok(shareRefused(later) < 0.02, `refused ${shareRefused(later)} with seed ${seed}`);
            const firstEvents = later.map(({ timeToFirstEvent }) => timeToFirstEvent);
            assert.ok(quantile(firstEvents, 0.99) < 250, `first events after ${quantile(firstEvents, 0.99)} ms`);
            assert.ok(result.turns.every(({ turn, outcome }) => turn === 0 || outcome === "answered"),
                "programs under way go on");
            assert.ok(result.mostCalls <= 13);
        }
    });
}

test("a team with 7 times its usual traffic waits for itself (guards against neighbours that are delayed)", () => {
    for (const seed of [5, 6, 7]) {
        const turnsOf = (isSurge: boolean) => {
            const surge = (now: number) => isSurge && now >= 9_000 && now < 15_000 ? 35 : 5;
            return simulateDispatch({ rate: now => 25 + surge(now), until: 20_000, team: (now, random) =>
                random() * (25 + surge(now)) < surge(now) ? "surging" : `t${Math.floor(random() ** 2 * 10)}` }, seed)
                .turns.filter(within(9_000, 15_000));
        };
        const [usual, surging] = [false, true].map(isSurge =>
            turnsOf(isSurge).filter(({ team }) =>
                team !== "surging"
            )
        );
        const [usualWait, surgingWait] = [usual!, surging!].map(turns =>
            quantile(turns.filter(({ outcome }) => outcome === "answered").map(({ wait }) => wait), 0.95)
        );
        // The usual wait is 0, so the bound is a tenth of the time for which a first turn may wait.
        assert.ok(surgingWait! - usualWait! < 12.5, `neighbours wait for ${surgingWait} ms with seed ${seed}`);
        assert.ok(shareRefused(surging!) < 0.05, `neighbours refused ${shareRefused(surging!)} with seed ${seed}`);
    }
});

test("engines of half the speed get fewer calls, but some (guards against late turns and unused engines)", () => {
    const { callsByEngine, mostCalls, turns } = simulateDispatch({ rate: () => 40, until: 16_000,
        slowness: (engine, now) => engine < 6 && now > 2_000 ? 2 : 1 }, 3);
    const slow = callsByEngine.slice(0, 6);
    const sound = callsByEngine.slice(6);
    assert.ok(Math.max(...slow) < Math.min(...sound), callsByEngine.join());
    assert.ok(Math.min(...slow) > 0 && mostCalls <= 13);
    assert.ok(shareRefused(turns) < 0.05);
});

test("an engine that fails is left out and used again (guards against calls lost to it, and against an engine forgotten)", () => {
    const { turns, programs, abandoned } = simulateDispatch({ rate: () => 30, until: 20_000,
        isFailing: (engine, now) => engine === 0 && now > 5_000 && now < 9_000 }, 3);
    assert.equal(abandoned, 0);
    assert.ok(programs.every(({ retried }) => !retried));
    const recovered = turns.filter(within(11_000, 15_000)).filter(({ engine }) => engine === 0);
    assert.ok(recovered.length > 20, `${recovered.length} calls`);
});

test("a dispatcher that knows nothing yet spreads the load (guards against overload after a restart)", () => {
    const result = simulateDispatch({ rate: () => 35, until: 16_000, restartAt: 8_000 }, 3);
    assert.ok(onTimeShare(result, 8_000, 16_000) > 0.95);
    // Until the engines have reported their load, their earlier calls are unknown.
    assert.ok(result.mostCalls <= 12 + 6, `${result.mostCalls} calls`);
    assert.ok(shareRefused(result.turns.filter(within(10_000, 16_000))) < 0.02);
});

test("every engine gets work, none more than its slots and one, and nine tenths of its memory (guards against unused and crashing engines)", () => {
    for (const seed of [1, 2, 3]) {
        const tight = simulateDispatch({ rate: () => 45, until: 12_000, memoryTokens: 60_000, sharedPrompts: 10,
            dataCentres: ["a", "a", "b"] }, seed);
        assert.ok(tight.mostMemory <= 0.9, `${tight.mostMemory} of the memory`);
        assert.ok(tight.mostCalls <= 13 && Math.min(...tight.callsByEngine) > 100, tight.callsByEngine.join());
        const calm = simulateDispatch({ rate: () => 2, until: 60_000, sharedPrompts: 1 }, seed);
        assert.ok(Math.min(...calm.callsByEngine) > 0, calm.callsByEngine.join());
    }
});

test("the queue is ordered by priority, turns done, return and deadline (guards against programs under way that end late)", () => {
    const queue = fullQueue();
    const returning = dispatchCall(19, { maxWait: 0, program: 90 });
    const refusal = queue.place(returning, 0);
    assert.ok(refusal?.kind === "refused" && refusal.retryAfter >= 250);
    const now = refusal.retryAfter;
    const later = { maxWait: 5_000, timeLeft: 9_000 };
    const calls = [dispatchCall(10, { ...later, priority: 1, precedingTurns: 3 }), dispatchCall(11, later),
        dispatchCall(12, { ...later, program: 90 }), dispatchCall(13, { ...later, precedingTurns: 1 }),
        dispatchCall(14, { ...later, precedingTurns: 5 }), dispatchCall(15, { ...later, timeLeft: 8_000 })];
    calls.forEach(each => assert.equal(queue.place(each, now), undefined));
    // First turns need a free slot; later ones may take one place more.
    const order: number[] = [];
    let running = [1, 2, 3, 4, 5];
    while (running.length > 0 && order.length < calls.length) {
        release(queue, running.shift()!, now);
        const placed = queue.advance(now).map(({ key }) => key);
        order.push(...placed);
        running = [...running, ...placed];
    }
    assert.deepEqual(order, [14, 13, 12, 15, 11, 10]);
});

test("a call that has waited too long, has left or has ended takes no place (guards against places that are lost)", () => {
    const queue = fullQueue();
    assert.equal(queue.place(dispatchCall(10, { precedingTurns: 1, maxWait: 150 }), 0), undefined);
    assert.equal(queue.place(dispatchCall(11, { precedingTurns: 1, maxWait: 300 }), 0), undefined);
    queue.withdraw(11, 10);
    assert.deepEqual(queue.advance(160).map(({ key, decision }) => [key, decision.kind]), [[10, "refused"]]);
    queue.withdraw(1, 160);
    assert.equal(queue.place(dispatchCall(12, { precedingTurns: 1 }), 160)?.kind, "placed");
    assert.equal(queue.place(dispatchCall(13, { precedingTurns: 1 }), 2_500)?.kind, "placed", "time limits have ended");
});

test("an engine's reports show calls of other dispatchers (guards against two dispatchers that overload engines)", () => {
    const account = new EngineAccount(entry, memoryTokens, 0);
    account.recordLoad({ running: 4, waiting: 1, slots: 4, slowness: 1, age: 10 }, 1_000);
    assert.equal(account.estimatedCalls(1_000), 5);
    assert.equal(account.estimatedCalls(9_000), 0);
});

test("a call leaves its data centre only for a clear gain (guards against calls that go back and forth)", () => {
    const away = { ...entry, id: "1", dataCentre: "b" };
    const queue = new DispatchQueue({ cacheTokens: memoryTokens, crossDataCentreMs: 35, random: () => 0,
        startedAt: -60_000 });
    queue.setEngines([entry, away], 0);
    const small = { parts: [], promptTokens: 10, maxTokens: 10, precedingTurns: 1 };
    const upstreams = Array.from({ length: 6 }, (_, key) => {
        const decision = queue.place(dispatchCall(key, small), 0);
        return decision?.kind === "placed" ? decision.upstream : undefined;
    });
    assert.deepEqual(upstreams.slice(0, 2), ["0", "0"]);
    assert.ok(upstreams.includes("1"));
});

test("an engine without calls uses no memory, whatever parts its calls stated (guards against memory that is lost for good)", () => {
    const part = fc.record({ id: fc.constantFrom("a", "b", "c"), tokens: fc.nat(100) });
    fc.assert(fc.property(fc.array(fc.array(part, { maxLength: 5 }), { minLength: 1, maxLength: 6 }), calls => {
        const account = new EngineAccount(entry, memoryTokens, 0);
        calls.forEach((parts, key) =>
            account.add({ key, parts, promptTokens: 100, maxTokens: 10, uncachedTokens: 0, prefillMs: 0,
                expiresAt: 1_000 }, 0)
        );
        calls.slice(1).forEach((_, index) => account.remove(index + 1, 1));
        const least = Math.max(0, ...calls[0]!.map(({ tokens }) => tokens));
        assert.ok(account.tokens >= least, `${account.tokens} tokens`);
        account.remove(0, 2);
        assert.equal(account.tokens, 0);
    }), { numRuns: 200, seed: 1 });
});

test("a late report about an earlier start of an engine changes nothing (guards against engines that are left out for good)", () => {
    const restarted = { ...entry, startedAt: 2 };
    const queue = fullQueue();
    queue.setEngines([restarted], 10);
    const leaving = { upstream: "0", outcome: "leaving", load: undefined, timing: undefined } as const;
    queue.release({ ...leaving, key: 1, incarnation: incarnationOf(entry) }, 20);
    queue.release({ ...leaving, key: 99, incarnation: incarnationOf(restarted) }, 20);
    assert.equal(queue.place(dispatchCall(10), 30)?.kind, "placed");
});
