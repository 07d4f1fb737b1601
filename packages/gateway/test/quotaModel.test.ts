import { createRandom } from "@tamarackgauge/core";
import { quotaLimits } from "@tamarackgauge/core/gateway";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ModelFaults, modelSettings, mostInWindow, runModel } from "./quotaModel.ts";

const warmUpMs = 15_000;
const durationMs = 45_000;
/** They leave little room, so that a share handed out twice shows. */
const strictSettings = { window: 5_000, overage: 0.02, slack: 2 };
const at = fc.integer({ min: 0, max: durationMs });
const hits = fc.array(
    fc.record({ at, gateway: fc.integer({ min: 0, max: 2 }), ms: fc.integer({ min: 50, max: 25_000 }) }),
    { maxLength: 2, size: "small" },
);
const faults: fc.Arbitrary<ModelFaults> = fc.record({
    kills: hits,
    freezes: hits,
    partitions: fc.array(
        fc.record({ at, every: fc.integer({ min: 2, max: 3 }), ms: fc.integer({ min: 50, max: 25_000 }) }),
        {
            maxLength: 2,
        },
    ),
    blinds: hits,
    changes: fc.array(
        fc.record({ at, place: fc.integer({ min: 0, max: 2 }),
            kind: fc.constantFrom("join" as const, "leave" as const) }),
        { maxLength: 3 },
    ),
    lostShare: fc.constantFrom(0, 0, 0, 0.2),
    lateShare: fc.constantFrom(0, 0, 0.2),
    maxLateMs: fc.constantFrom(100, 1_000, 5_000),
});

test("whatever fails, no window holds more requests than the rule allows (guards against gateways that hand out the same share twice)", async () => {
    await fc.assert(
        fc.asyncProperty(
            faults,
            fc.integer(),
            fc.integer({ min: 1, max: 12 }),
            fc.constantFrom(0.5, 8, 40, 72),
            fc.constantFrom(0, 5, 40),
            fc.constantFrom(200, 400),
            fc.constantFrom(modelSettings, strictSettings),
            async (faults, seed, gateways, ratePerSecond, burst, useDelayMs, settings) => {
                const quota = { ratePerSecond, burst };
                const peak = 20 + 4 * ratePerSecond + 2 * burst;
                // Quiet times let shares fill up; loud ones use all that there is.
                const { sent } = await runModel({ gateways, quota, durationMs, faults, useDelayMs, settings,
                    random: createRandom(seed), callRate: time => time % 12_000 < 3_000 ? 0 : peak });
                const { most, allowed } = mostInWindow(sent, quota, settings);
                assert.ok(most <= allowed, `${most} requests in a window, ${allowed} allowed`);
            },
        ),
        { numRuns: 20 },
    );
});

for (const gateways of [11, 83, 195, 300]) {
    for (const quota of [{ ratePerSecond: 72, burst: 40 }, { ratePerSecond: 4, burst: 8 }]) {
        test(`${gateways} gateways use nearly all of ${quota.ratePerSecond} a second (guards against credits that are lost)`, async () => {
            const { shared } = quotaLimits(quota, modelSettings);
            const allowed = quota.ratePerSecond * 5 + quota.burst;
            // Below half of the rate, the deputy is not asked; then far more is asked for than there is.
            const { sent } = await runModel({ gateways, quota, durationMs: warmUpMs + 5_000, useDelayMs: 10,
                random: createRandom(gateways), callRate: time => quota.ratePerSecond * (time < warmUpMs ? 0.3 : 5) });
            const used = sent.filter(time => time >= warmUpMs).length;
            assert.ok(used >= 0.98 * allowed, `${used} of ${allowed} were sent; the bucket holds ${shared.capacity}`);
            const { most, allowed: limit } = mostInWindow(sent, quota);
            assert.ok(most <= limit, `${most} requests in a window, ${limit} allowed`);
        });
    }
}
