import type { GatewayUpstream } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { assertAllServed, assertServedOrRefused, assertUsed, assertWithinLimits, type CallKind, type LimitedFleet,
    press, startLimitedFleet } from "./limitedFleet.ts";

const loadMs = 9_000;
/** Longer than the time after which a limit holds. */
const learnedMs = 3_100;
const engineCalls: readonly CallKind[] = ["turn", "plan"];
const toolCalls: readonly CallKind[] = ["look", "pay"];

function limitAll(upstreams: readonly GatewayUpstream[], requestsPerSecond: number | undefined): void {
    upstreams.forEach(upstream => upstream.limit(requestsPerSecond));
}

/** Presses calls on upstreams that all have the same limit while something happens, and checks the rule. */
async function pressLimited(parts: LimitedFleet, upstreams: readonly GatewayUpstream[], requestsPerSecond: number,
    during: () => Promise<void> = async () => undefined) {
    limitAll(upstreams, requestsPerSecond);
    const kinds = upstreams.includes(parts.fleet.engine) ? engineCalls : toolCalls;
    const startedAt = performance.now();
    const [outcomes] = await Promise.all([press(parts, kinds, loadMs), during()]);
    assertWithinLimits(upstreams);
    upstreams.forEach(upstream => assertUsed(upstream, requestsPerSecond, startedAt, startedAt + loadMs));
    return outcomes;
}

describe("rate limits of upstreams", { concurrency: 4 }, () => {
    for (const requestsPerSecond of [1, 1.5, 4]) {
        test(`one of two engines takes ${requestsPerSecond} a second (guards against an engine in need that gets more than it takes)`, async () => {
            await using parts = await startLimitedFleet();
            const [limited] = parts.engines;
            limited!.limit(requestsPerSecond);
            const outcomes = await press(parts, engineCalls, loadMs);
            assert.ok(limited!.namedLimits.length > 0);
            assertWithinLimits(parts.engines);
            assertAllServed(outcomes);
        });
    }

    for (const requestsPerSecond of [1, 1.5, 4]) {
        test(`all engines take ${requestsPerSecond} a second (guards against calls that are held until their time is over, and against engines left idle)`, async () => {
            await using parts = await startLimitedFleet();
            assertServedOrRefused(await pressLimited(parts, parts.engines, requestsPerSecond));
        });
    }

    test("all tools take 4 a second (guards against a limit that only engines have)", async () => {
        await using parts = await startLimitedFleet();
        assertServedOrRefused(await pressLimited(parts, parts.tools, 4));
    });

    test("a limited engine refuses what it gets (guards against further attempts and refusals that are not counted)", async () => {
        await using parts = await startLimitedFleet();
        const [refusing, sound] = parts.engines;
        refusing!.limit(1.5);
        refusing!.behave(...Array.from({ length: 2_000 }, () => "refuse" as const));
        const outcomes = await press(parts, engineCalls, loadMs);
        assertWithinLimits(parts.engines);
        assert.ok(sound!.executed.length > 0);
        assertAllServed(outcomes);
    });

    test("all engines are limited and refuse what they get (guards against attempts at one engine after the other)", async () => {
        await using parts = await startLimitedFleet();
        parts.engines.forEach(engine => engine.behave(...Array.from({ length: 2_000 }, () => "refuse" as const)));
        assertServedOrRefused(await pressLimited(parts, parts.engines, 2));
    });

    test("streams of limited engines break off and go on (guards against resumed streams that are not counted)", async () => {
        await using parts = await startLimitedFleet();
        parts.engines.forEach(engine => {
            engine.limit(4);
            engine.behave(...Array.from({ length: 2_000 }, (_, index) => index % 2 === 0 ? "break" as const : "serve"));
        });
        const startedAt = performance.now();
        await press(parts, ["plan"], loadMs);
        assertWithinLimits(parts.engines);
        parts.engines.forEach(engine => assertUsed(engine, 4, startedAt, startedAt + loadMs));
    });

    test("a limit changes, ends and comes back (guards against an upstream that is sent too little or too much after a change)", async () => {
        await using parts = await startLimitedFleet();
        let endedAt = 0;
        const outcomes = await Promise.all([press(parts, toolCalls, 16_000), (async () => {
            limitAll(parts.tools, 8);
            await sleep(5_000);
            limitAll(parts.tools, 2);
            await sleep(4_000);
            endedAt = performance.now();
            limitAll(parts.tools, undefined);
            await sleep(2_500);
            limitAll(parts.tools, 3);
        })()]);
        assertWithinLimits(parts.tools);
        assertServedOrRefused(outcomes[0]);
        parts.tools.forEach(tool => assert.equal(tool.namedLimits.length, 4, tool.id));
        // A second after the end all calls are served again.
        const free = outcomes[0].filter(({ sentAt }) => sentAt > endedAt + 1_000 && sentAt < endedAt + 2_400);
        assert.ok(free.length > 20);
        assertAllServed(free);
    });

    test("all tools take nothing for a while (guards against an upstream that never gets a call again)", async () => {
        await using parts = await startLimitedFleet();
        let endedAt = 0;
        const [outcomes] = await Promise.all([press(parts, toolCalls, 14_000), (async () => {
            limitAll(parts.tools, 0);
            await sleep(7_000);
            endedAt = performance.now();
            limitAll(parts.tools, undefined);
        })()]);
        assertWithinLimits(parts.tools);
        assertServedOrRefused(outcomes);
        const later = outcomes.filter(({ sentAt }) => sentAt > endedAt + 5_000);
        assert.ok(later.length > 20);
        assertAllServed(later);
    });

    test("a limited engine starts anew (guards against a new incarnation that is held back)", async () => {
        await using parts = await startLimitedFleet();
        const [limited, spare] = parts.engines;
        let restartedAt = 0;
        const [outcomes] = await Promise.all([press(parts, engineCalls, loadMs), (async () => {
            limitAll(parts.engines, 1.5);
            await sleep(5_000);
            assertWithinLimits(parts.engines);
            limited!.limit(undefined);
            parts.fleet.registerUpstream(limited!, { born: 2 });
            restartedAt = performance.now();
        })()]);
        assertWithinLimits([spare!]);
        const later = outcomes.filter(({ sentAt }) => sentAt > restartedAt + 1_500);
        assert.ok(later.length > 20);
        assertAllServed(later);
    });

    test("gateways start anew while engines are limited (guards against a gateway that sends before it has learned)", async () => {
        await using parts = await startLimitedFleet();
        await pressLimited(parts, parts.engines, 2, async () => {
            for (const index of [0, 1, 2]) {
                await sleep(index === 0 ? learnedMs : 1_000);
                await parts.restart(index);
            }
        });
    });

    test("the store is away while tools are limited (guards against a limit that needs the store)", async () => {
        await using parts = await startLimitedFleet();
        const outcomes = await pressLimited(parts, parts.tools, 2, async () => {
            await sleep(1_000);
            parts.gateways.forEach(({ storeEndpoint }) => storeEndpoint.setFault({ mode: "reset" }));
            await sleep(6_000);
            parts.gateways.forEach(({ storeEndpoint }) => storeEndpoint.setFault(undefined));
        });
        assertServedOrRefused(outcomes);
    });

    for (const fault of ["cut", "silent"] as const) {
        test(`the gateways' links are ${fault} (guards against gateways that each take the whole limit)`, async () => {
            await using parts = await startLimitedFleet();
            const outcomes = await pressLimited(parts, parts.tools, 2, async () => {
                await sleep(2_000);
                parts.links.forEach(link => {
                    if (fault === "silent") {
                        link.silence("all");
                        return;
                    }
                    link.refuse(true);
                    link.cut();
                });
            });
            assertServedOrRefused(outcomes);
        });
    }
});
