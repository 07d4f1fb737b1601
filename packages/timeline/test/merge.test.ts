import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTimeline, type Excerpt, type MergedEvent, mergeTimelines, type TimelineEvent } from "../src/index.ts";

const seed = 20_261_204;

/** A step of a process: a local event, or a message to another process. */
interface Action {
    readonly process: number;
    readonly to: number;
    readonly delayMs: number;
    /** Whether the receiver names the sender's event as the cause; otherwise only the Lamport stamp is sent. */
    readonly namesCause: boolean;
}

interface SimulatedRun {
    readonly excerpts: Excerpt[];
    /** Pairs of event ids: the first happened before the second. */
    readonly happenedBefore: [string, string][];
    /** True time of each event, on a perfect clock. */
    readonly trueTimes: Map<string, number>;
}

/** Simulates the actions of processes whose wall clocks have the given errors. */
function simulate(clockErrorsMs: readonly number[], actions: readonly Action[], capacity = 1000): SimulatedRun {
    let now = 1_000_000;
    const timelines = clockErrorsMs.map((error, index) =>
        createTimeline({ process: `d${index}`, incarnation: 1, capacity, clock: { wall: () =>
            now + error, monotonic: () => now - 900_000 + index * 7777 } })
    );
    const happenedBefore: SimulatedRun["happenedBefore"] = [];
    const trueTimes: SimulatedRun["trueTimes"] = new Map();
    const lastEventIds: (string | undefined)[] = clockErrorsMs.map(() => undefined);
    const record = (process: number, cause?: string) => {
        const id = timelines[process]!.record({ part: "test", event: "callReceived", cause });
        trueTimes.set(id, now);
        if (lastEventIds[process] !== undefined) {
            happenedBefore.push([lastEventIds[process], id]);
        }
        lastEventIds[process] = id;
        return id;
    };
    for (const { process, to, delayMs, namesCause } of actions) {
        now += 1;
        const sent = record(process);
        if (to !== process) {
            const stamp = timelines[process]!.stamp();
            now += delayMs;
            timelines[to]!.observe(stamp);
            happenedBefore.push([sent, record(to, namesCause ? sent : undefined)]);
        }
    }
    return { excerpts: timelines.map(timeline => timeline.read()), happenedBefore, trueTimes };
}

function mergeEvents(excerpts: readonly Excerpt[]): MergedEvent[] {
    return mergeTimelines(excerpts).entries.filter(entry => entry.kind === "event");
}

const actions = fc.array(
    fc.record({ process: fc.nat(3), to: fc.nat(3), delayMs: fc.integer({ min: 1, max: 40 }),
        namesCause: fc.boolean() }),
    { maxLength: 60 },
);
const clockErrors = fc.array(fc.integer({ min: -5000, max: 5000 }), { minLength: 4, maxLength: 4 });

test("causes come first although clocks are seconds apart (guards against effects shown before their causes)", () => {
    fc.assert(
        fc.property(clockErrors, actions, (clockErrorsMs, steps) => {
            const { excerpts, happenedBefore } = simulate(clockErrorsMs, steps);
            const events = mergeEvents(excerpts);
            const position = new Map(events.map((event, index) => [event.id, index]));
            assert.ok(happenedBefore.every(([a, b]) => position.get(a)! < position.get(b)!));
            assert.ok(events.every(event => event.link === undefined));
            const byId = new Map(events.map(event => [event.id, event]));
            assert.ok(events.every(({ cause, time }) => cause === undefined || byId.get(cause)!.time <= time));
        }),
        { seed, numRuns: 500 },
    );
});

test("the order of the excerpts does not change the result (guards against readers who see different timelines)", () => {
    fc.assert(
        fc.property(clockErrors, actions, (clockErrorsMs, steps) => {
            const { excerpts } = simulate(clockErrorsMs, steps);
            const once = mergeTimelines(excerpts);
            assert.deepEqual(mergeTimelines([...excerpts].reverse()), once);
            assert.deepEqual(mergeTimelines([...excerpts, ...excerpts]), once);
        }),
        { seed, numRuns: 200 },
    );
});

test("clock offsets are estimated within half a round trip (guards against durations that are clock errors)", () => {
    fc.assert(
        fc.property(clockErrors, fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 30 }),
            (clockErrorsMs, requestDelayMs, responseDelayMs) => {
                const calls = [1, 2, 3].flatMap(peer => [
                    { process: 0, to: peer, delayMs: requestDelayMs, namesCause: true },
                    { process: peer, to: 0, delayMs: responseDelayMs, namesCause: true },
                ]);
                const { excerpts, trueTimes } = simulate(clockErrorsMs, calls);
                const events = mergeEvents(excerpts);
                const shift = events[0]!.time - trueTimes.get(events[0]!.id)!;
                const bound = (requestDelayMs + responseDelayMs) / 2;
                assert.ok(events.every(({ id, time }) => Math.abs(time - trueTimes.get(id)! - shift) <= bound + 1));
                const { processes } = mergeTimelines(excerpts);
                assert.ok(processes.every(line => line.uncertainty! <= bound));
            }),
        { seed, numRuns: 300 },
    );
});

test("messages in one direction only can move the receiver later (guards against answers before their requests)", () => {
    const { excerpts } = simulate([4000, 0], [{ process: 0, to: 1, delayMs: 2, namesCause: true }]);
    const [sent, received] = mergeEvents(excerpts);
    assert.ok(sent!.time <= received!.time);
    assert.equal(mergeTimelines(excerpts).processes[1]!.correction, 3998);
});

test("no effect precedes its cause when a clock runs fast (guards against negative durations)", () => {
    let now = 0;
    const [a, b] = [1, 1.01].map((rate, index) =>
        createTimeline({ process: `d${index}`, incarnation: 1, clock: { wall: () =>
            now * rate, monotonic: () => now * rate } })
    );
    for (; now < 60_000; now += 1000) {
        const forwarded = a!.record({ part: "test", event: "callForwarded" });
        now += 1;
        const accepted = b!.record({ part: "test", event: "callAccepted", cause: forwarded });
        now += 1;
        a!.record({ part: "test", event: "answerSent", cause: accepted });
    }
    const times = mergeEvents([a!.read(), b!.read()]);
    const byId = new Map(times.map(event => [event.id, event]));
    assert.ok(times.every(({ cause, time }) => cause === undefined || byId.get(cause)!.time <= time));
});

test("a step of one wall clock does not distort times (guards against durations of hours after a clock was set)", () => {
    let wall = 0;
    let monotonic = 0;
    const timeline = createTimeline({ process: "d1", incarnation: 1,
        clock: { wall: () => wall, monotonic: () => monotonic } });
    for (let count = 0; count < 10; count += 1) {
        monotonic += 10;
        wall += count === 7 ? 3_600_000 : 10;
        timeline.record({ part: "test", event: "callReceived" });
    }
    const times = mergeEvents([timeline.read()]).map(event => event.time);
    assert.equal(times[9]! - times[0]!, 90);
});

test("overwritten events appear as gaps of the right size (guards against lost events that go unnoticed)", () => {
    fc.assert(
        fc.property(clockErrors, actions, fc.integer({ min: 1, max: 10 }), (clockErrorsMs, steps, capacity) => {
            const { excerpts, trueTimes } = simulate(clockErrorsMs, steps, capacity);
            const { entries, processes } = mergeTimelines(excerpts);
            const lost = entries.reduce((sum, e) => sum + (e.kind === "gap" ? e.to - e.from + 1 : 0), 0);
            assert.equal(entries.filter(entry => entry.kind === "event").length + lost, trueTimes.size);
            assert.equal(processes.reduce((sum, line) => sum + line.lost, 0), lost);
        }),
        { seed, numRuns: 200 },
    );
});

test("events omitted from a record of one program are not gaps (guards against false reports of lost events)", () => {
    const clock = { wall: () => 0, monotonic: () => 0 };
    const timeline = createTimeline({ process: "d1", incarnation: 1, clock, capacity: 4 });
    for (const program of ["p/a", "p/b", "p/a", "p/b", "p/b", "p/a"]) {
        timeline.record({ part: "owner", event: "callQueued", program });
    }
    const gapsOf = (after: number) =>
        mergeTimelines([timeline.read({ program: "a", after })]).entries
            .flatMap(entry => entry.kind === "gap" ? [[entry.from, entry.to]] : []);
    assert.deepEqual(gapsOf(0), [[1, 2]]);
    assert.deepEqual(gapsOf(2), []);
});

test("contradictory records and cycles are merged with every event once (guards against an endless merge)", () => {
    const name = fc.constantFrom("a", "b", "c");
    const number = fc.integer({ min: 1, max: 6 });
    const event = fc.record({ process: name, incarnation: fc.constant("1"), sequence: number, lamport: fc.nat(8),
        wall: fc.integer(), monotonic: fc.integer(), part: fc.constant("x"),
        event: fc.constant<TimelineEvent["event"]>("callQueued"),
        cause: fc.option(fc.tuple(name, number).map(([of, at]) => `${of}/1/${at}`), { nil: undefined }) });
    fc.assert(
        fc.property(fc.array(event, { maxLength: 30 }), list => {
            const excerpts = list.map(one => ({ process: one.process, incarnation: "1", after: 0, first: 1, next: 7,
                filtered: false, events: [one] })
            );
            const events = mergeEvents(excerpts);
            assert.equal(events.length, new Set(list.map(one => `${one.process}${one.sequence}`)).size);
            for (const process of ["a", "b", "c"]) {
                const numbers = events.filter(one => one.process === process).map(one => one.sequence);
                assert.deepEqual(numbers, [...numbers].sort((a, b) => a - b));
            }
            assert.deepEqual(mergeTimelines([...excerpts].reverse()), mergeTimelines(excerpts));
        }),
        { seed, numRuns: 1000 },
    );
});

test("the link where a cycle is broken is marked (guards against contradictory input that looks consistent)", () => {
    const at = (process: string, cause: string): TimelineEvent => ({ process, incarnation: "1", sequence: 1, lamport: 1,
        wall: 0, monotonic: 0, part: "x", event: "callQueued", cause });
    const events = [at("a", "b/1/1"), at("b", "a/1/1"), at("c", "z/1/9")];
    const excerpts = events.map(one => ({ process: one.process, incarnation: "1", after: 0, first: 1, next: 2,
        filtered: false, events: [one] })
    );
    const links = Object.fromEntries(mergeEvents(excerpts).map(one => [one.process, one.link]));
    assert.deepEqual(links, { a: "ignored", b: undefined, c: "missing" });
});
