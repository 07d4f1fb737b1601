import assert from "node:assert/strict";
import { test } from "node:test";
import { maxPermitDelay, MembershipHistory, PermitSchedule, rankIssuers } from "../../src/gateway/index.ts";

const windowMs = 4_000;
const settlingMs = 20_000;

/** What an upstream tolerates in a window, as the users' rule states it. */
const tolerated = (requestsPerSecond: number) => 1.5 * (windowMs / 1_000) * requestsPerSecond + 5;

function mostInWindow(times: readonly number[]): number {
    return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + windowMs).length));
}

/** Times at which callers that press without pause send, each asked again every millisecond. */
function pressOn(schedule: PermitSchedule, requestsPerSecond: number, burst: number, until: number): readonly number[] {
    const times: number[] = [];
    for (let now = 0; now < until; now += 1) {
        const decision = schedule.take({ requestsPerSecond, burst, maxDelay: 0 }, now);
        if (decision.kind === "granted") {
            times.push(now);
        }
    }
    return times;
}

for (const limit of [0.5, 1, 1.5, 4, 30]) {
    test(`permits for ${limit} a second are neither exceeded nor lost under pressure (guards against an upstream in need that gets more)`, () => {
        const times = pressOn(new PermitSchedule(), limit, 2, 20_000);
        assert.ok(mostInWindow(times) <= Math.ceil(4 * limit) + 2);
        assert.ok(times.length >= Math.floor(20 * limit));
    });

    test(`two issuers of ${limit} a second, one of them unsettled, stay within what is tolerated (guards against gateways that disagree on the issuer)`, () => {
        const settled = pressOn(new PermitSchedule(), limit, 2, 20_000);
        const unsettled = pressOn(new PermitSchedule(), limit * 0.4, 1, 20_000);
        assert.ok(mostInWindow([...settled, ...unsettled].sort((left, right) => left - right)) <= tolerated(limit));
    });
}

test("a permit in the future is granted to a call that can wait for it, and to no other (guards against new programs before those under way)", () => {
    const schedule = new PermitSchedule();
    const take = (maxDelay: number) => schedule.take({ requestsPerSecond: 2, burst: 1, maxDelay }, 0);
    assert.deepEqual(take(0), { kind: "granted", delay: 0 });
    assert.deepEqual(take(0), { kind: "denied", delay: 500 });
    assert.deepEqual(take(600), { kind: "granted", delay: 500 });
    assert.deepEqual(take(600), { kind: "denied", delay: 1_000 });
});

test("an upstream that takes nothing is asked now and then (guards against a limit whose end is never learned)", () => {
    const times = pressOn(new PermitSchedule(), 0, 1, 20_000);
    assert.ok(times.length >= 4 && mostInWindow(times) <= tolerated(0));
});

test("only a gateway that every recent list makes the issuer grants the whole limit (guards against two issuers of the whole limit)", () => {
    const names = ["a", "b", "c", "d"];
    const [first] = rankIssuers("u", names);
    const history = new MembershipHistory(first!, settlingMs);
    const shareAt = (now: number) => history.shareOf("u", now).rateShare;
    assert.ok(shareAt(0) < 1, "no list is known");
    history.record(names, 0);
    assert.ok(shareAt(10_000) < 1, "others may know an older list");
    history.record(names, 15_000);
    assert.equal(shareAt(20_000), 1);
    history.record(names.filter(name => name !== first), 21_000);
    assert.ok(shareAt(21_000) < 1, "another one is the issuer");
    history.record(names, 36_000);
    assert.ok(shareAt(36_000) < 1, "others may still ask the one before");
    history.record(names, 51_000);
    assert.equal(shareAt(57_000), 1);
    assert.ok(shareAt(72_000) < 1, "the list has not been read for long");
});

test("a later turn waits longer than a first one, and a call no longer than it can be answered (guards against refusals of programs near their end)", () => {
    const stream = { streamed: true, callerPatience: 2_000, priority: 0 };
    const wait = (precedingTurns: number) =>
        maxPermitDelay({ route: stream, precedingTurns, highLatency: 400, timeLeft: 3_000 });
    assert.ok(wait(0) < wait(2) && wait(2) < wait(3));
    const tool = (timeLeft: number) =>
        maxPermitDelay({ route: { ...stream, streamed: false }, precedingTurns: 0, highLatency: 400, timeLeft });
    assert.equal(tool(300), 0);
    assert.equal(tool(600), 200);
    assert.equal(tool(2_000), 1_000);
});
