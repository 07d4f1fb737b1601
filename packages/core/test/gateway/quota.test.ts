import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LocalQuota, maxInWindow, QuotaAuthority, QuotaBucket, quotaLimits } from "../../src/gateway/index.ts";

const settings = { window: 5_000, overage: 0.1, slack: 20 };
const limits = quotaLimits({ ratePerSecond: 10, burst: 20 }, settings);

test("what is handed out in a window and the time by which credits are delayed stays within the rule (guards against limits that do not add up)", () => {
    fc.assert(
        fc.property(fc.double({ min: 0, max: 500, noNaN: true }), fc.integer({ min: 0, max: 1_000 }),
            (ratePerSecond, burst) => {
                const quota = { ratePerSecond, burst };
                const { shared, reserve } = quotaLimits(quota, settings);
                const seconds = 5.25;
                const most = shared.capacity + shared.ratePerSecond * seconds +
                    3 * (reserve.capacity + reserve.ratePerSecond * seconds);
                assert.ok(most <= maxInWindow(quota, settings) + 1e-6);
                assert.ok(shared.capacity + shared.ratePerSecond * 5 >= 0.98 * (ratePerSecond * 5 + burst));
            }),
    );
});

test("credits that come back replace no refill (guards against a window that holds returned credits twice)", () => {
    const bucket = new QuotaBucket(0);
    bucket.reshape({ ratePerSecond: 10, capacity: 10 }, 0);
    assert.equal(bucket.take(10, 1_000), 10);
    assert.equal(Math.round(bucket.available(1_500)), 5);
    bucket.takeBack(10, 1_000, 1_500);
    assert.equal(Math.round(bucket.available(1_500)), 5, "the bucket was full when they were issued");
    assert.equal(bucket.take(5, 1_500), 5);
    bucket.takeBack(3, 1_500, 1_900);
    bucket.takeBack(3, 1_500, 1_900);
    assert.equal(Math.round(bucket.available(1_900)), 9, "4 by refill, 5 at most by returns");
    bucket.takeBack(5, 1_500, 2_600);
    assert.equal(Math.round(bucket.available(2_600)), 10);
});

/** Credits that a gateway can hand out at once. */
const creditsOf = (authority: QuotaAuthority, now: number) => authority.issue(1_000, now).granted;
const createAuthority = (role: "home" | "deputy") => {
    const authority = new QuotaAuthority(limits, 0);
    authority.update(limits, role, 60_000);
    return authority;
};

test("a home and a deputy out of touch hand out half each, and the home all while it has a promise (guards against a team that is refused below its quota)", () => {
    const alone = [createAuthority("home"), createAuthority("deputy")].map(each => creditsOf(each, 60_000));
    const inTouch = [createAuthority("home"), createAuthority("deputy")] as const;
    inTouch[0].acceptPromise("deputy", inTouch[1].promise(60_000)!, 60_000, 60_001);
    const shared = inTouch.map(each => creditsOf(each, 60_001));
    assert.equal(alone[0], alone[1]);
    assert.ok(Math.abs(alone[0]! + alone[1]! - shared[0]! - shared[1]!) <= 1);
    assert.ok(shared[0]! > alone[0]! && inTouch[1].abstains(60_500) && !inTouch[0].hasPromise(60_601));
});

test("a changed limit applies at once (guards against a lowered limit that is exceeded for long, and against a raised one that is not used)", () => {
    const authority = createAuthority("home");
    authority.update(quotaLimits({ ratePerSecond: 1, burst: 0 }, settings), "home", 60_000);
    assert.ok(creditsOf(authority, 60_000) <= 10);
    authority.update(quotaLimits({ ratePerSecond: 100, burst: 0 }, settings), "home", 60_000);
    assert.ok(creditsOf(authority, 60_200) >= 5);
});

test("after a change of its role a gateway hands out its share anew (guards against a full share beside that of the gateway before)", () => {
    const authority = createAuthority("deputy");
    authority.update(limits, "home", 60_000);
    assert.ok(creditsOf(authority, 60_000) <= Math.ceil(limits.reserve.capacity));
});

test("a gateway remembers a denial, and asks in advance only for a busy team that is not short of credits (guards against messages that are not needed)", () => {
    const local = new LocalQuota<undefined>();
    for (let now = 0; now < 5_000; now += 50) {
        local.recordCall(now);
    }
    assert.ok(local.advance(5_000) >= 3 && local.advance(5_000) <= 6);
    local.recordDenial(100, 400, 5_000);
    assert.equal(local.denialWait(5_050), 350);
    assert.equal(local.denialWait(5_100), undefined);
    assert.equal(local.advance(5_100), 0);
    local.hold({ askedAt: 5_000, issue: undefined });
    assert.equal(local.take(5_300), undefined);
    assert.equal(local.removeExpired(5_300).length, 1);
});
