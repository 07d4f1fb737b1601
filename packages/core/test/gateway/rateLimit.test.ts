import assert from "node:assert/strict";
import { test } from "node:test";
import { RateLimit, type RateLimitStatement } from "../../src/gateway/index.ts";

const limitOf = (requestsPerSecond: number): RateLimitStatement => ({ kind: "limited", requestsPerSecond });
const unlimited: RateLimitStatement = { kind: "unlimited" };

test("only an answer that is newer than the limit ends it (guards against a limit that an overtaken answer ends)", () => {
    const rateLimit = new RateLimit();
    assert.equal(rateLimit.record(unlimited, { sentAt: 0, receivedAt: 10 }), undefined);
    assert.deepEqual(rateLimit.record(limitOf(2), { sentAt: 900, receivedAt: 1_000 }), { kind: "named", after: 2 });
    assert.equal(rateLimit.record(unlimited, { sentAt: 950, receivedAt: 1_100 }), undefined);
    assert.equal(rateLimit.record({ kind: "unreadable" }, { sentAt: 1_500, receivedAt: 1_600 }), undefined);
    assert.equal(rateLimit.requestsPerSecond(), 2);
    assert.deepEqual(rateLimit.record(unlimited, { sentAt: 950, receivedAt: 1_101 }), { kind: "ended", before: 2 });
    assert.equal(rateLimit.requestsPerSecond(), undefined);
    rateLimit.record(limitOf(2), { sentAt: 1_900, receivedAt: 2_000 });
    assert.deepEqual(rateLimit.record(unlimited, { sentAt: 2_001, receivedAt: 2_002 }), { kind: "ended", before: 2 });
});

test("a limit holds from when it was first named until it ends, whatever its value (guards against a period that starts anew with each answer)", () => {
    const rateLimit = new RateLimit();
    const name = (requestsPerSecond: number, now: number) =>
        rateLimit.record(limitOf(requestsPerSecond), { sentAt: now - 1, receivedAt: now });
    name(2, 1_000);
    name(0, 2_000);
    assert.deepEqual([rateLimit.requestsPerSecond(), rateLimit.since(), rateLimit.namedAt()], [0, 1_000, 2_000]);
    rateLimit.record(unlimited, { sentAt: 3_000, receivedAt: 3_000 });
    assert.deepEqual([rateLimit.since(), rateLimit.namedAt()], [undefined, undefined]);
    name(2, 4_000);
    assert.equal(rateLimit.since(), 4_000);
});

test("small changes are reported once they add up to more than a tenth (guards against a line for each answer, and a drift without one)", () => {
    const rateLimit = new RateLimit();
    const changes = [10, 10, 10.5, 11, 11.2, 11.2, 0, 0, 3].map(
        (limit, now) => rateLimit.record(limitOf(limit), { sentAt: now, receivedAt: now }),
    );
    assert.deepEqual(changes.filter(change => change !== undefined), [{ kind: "named", after: 10 }, { kind: "changed",
        before: 10, after: 11.2 }, { kind: "changed", before: 11.2, after: 0 }, { kind: "changed", before: 0,
        after: 3 }]);
});
