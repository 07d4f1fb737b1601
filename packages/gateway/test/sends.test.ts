import { createByteBudget, RecentPrograms, ServiceEstimate, UpstreamState } from "@tamarackgauge/core/gateway";
import { decodeDeclaration, decodeRequest } from "@tamarackgauge/platform";
import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultLimits } from "../src/limits.ts";
import { createMetrics } from "../src/metrics.ts";
import type { ReceivedCall } from "../src/sendPlan.ts";
import { startSends } from "../src/sends.ts";
import type { UpstreamClient } from "../src/upstreamClient.ts";
import type { Upstream } from "../src/upstreams.ts";
import { declaration as wireDeclaration } from "./harness.ts";

const declaration = decodeDeclaration(Buffer.from(JSON.stringify(wireDeclaration)));

function createUpstream(id: string, send: UpstreamClient["send"]): Upstream {
    const entry = { id, service: "tools", address: "127.0.0.1", port: 1, dataCentre: "a", slots: 12, draining: false,
        startedAt: 1 };
    return { state: new UpstreamState(entry, 0, new ServiceEstimate()),
        client: { send, retire: () => undefined, [Symbol.asyncDispose]: async () => undefined } };
}

function receivedCall(): ReceivedCall {
    return { method: "GET", path: "/pay/x", rawHeaders: [], head: decodeRequest({ "x-request-id": "1" })!,
        team: undefined, scope: undefined, route: declaration.routes.find(({ name }) => name === "pay")!,
        body: undefined, byteAccount: createByteBudget(1_000_000).openAccount(), arrivedAt: 0,
        deadlineAt: performance.now() + 1_000 };
}

test("an error when an attempt starts leads to another upstream, also for a call that runs once (guards against calls closed without an answer)", async () => {
    const broken = createUpstream("broken", () => {
        throw new TypeError("Invalid URL");
    });
    const sound = createUpstream("sound", (_, observer) => {
        queueMicrotask(() => {
            observer.head({ status: 200, callId: "1", notRun: false, misdirected: false, spoiled: false, signed: true,
                encoded: false, load: undefined, leaving: false, rateLimit: { kind: "unlimited" },
                closesConnection: false }, {});
            observer.end();
        });
        return { wasSent: () => true, cancel: () => undefined, pause: () => undefined, resume: () => undefined };
    });
    const candidates = [broken, sound].map(upstream => ({ upstream, maxPermitDelay: 0 }));
    const log = { info: () => undefined, warn: () => undefined };
    const { result } = startSends({
        upstreams: { choose: () => candidates.shift(), permitDelay: () => undefined, find: () => undefined,
            retire: () => undefined, limited: () => new Map(), tokensPerEvent: () => 1, replace: () => undefined,
            estimate: () => new ServiceEstimate(), count: () => 2, summary: () => ({}),
            [Symbol.asyncDispose]: async () => undefined },
        rateLimits: { acquire: async () => true, observe: () => undefined },
        dispatch: { isInForce: () => false, place: async () => undefined },
        recentPrograms: new RecentPrograms(),
        declaration: () => declaration,
        limits: defaultLimits,
        dataCentre: "a",
        metrics: createMetrics({ limitedUpstreams: () => new Map() }),
        log,
        now: () => performance.now(),
    }, { call: receivedCall(), priority: undefined, precedingTurns: 0, isAdmitted: true, overload: () => undefined,
        preferred: undefined, sink: undefined });
    const end = await result;
    assert.equal(end.kind === "answer" && end.upstream, "sound");
    assert.equal(broken.state.inFlight, 0);
});
