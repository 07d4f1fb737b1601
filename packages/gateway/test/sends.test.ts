import { createByteBudget, RecentPrograms, type RefusalCause, retryDelay, ServiceEstimate,
    UpstreamState } from "@tamarackgauge/core/gateway";
import { decodeDeclaration, decodeRequest } from "@tamarackgauge/platform";
import assert from "node:assert/strict";
import { test } from "node:test";
import { freeCallCredit } from "../src/callCredit.ts";
import type { Dispatch } from "../src/dispatch.ts";
import { defaultLimits } from "../src/limits.ts";
import { createMetrics } from "../src/metrics.ts";
import type { ReceivedCall } from "../src/sendPlan.ts";
import { type SendParts, startSends } from "../src/sends.ts";
import type { UpstreamClient } from "../src/upstreamClient.ts";
import { createDirectPaths } from "../src/upstreamPaths.ts";
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
        body: undefined, byteAccount: createByteBudget(1_000_000, () => performance.now()).openAccount(), arrivedAt: 0,
        deadlineAt: performance.now() + 1_000 };
}

const log = { info: () => undefined, warn: () => undefined };
const answersWith = (status: number, notRun: boolean): UpstreamClient["send"] => (_, observer) => {
    queueMicrotask(() => {
        observer.head({ status, callId: "1", notRun, misdirected: false, spoiled: false, signed: true, encoded: false,
            load: undefined, leaving: false, rateLimit: { kind: "unlimited" }, closesConnection: false }, {});
        observer.end();
    });
    return { wasSent: () => true, cancel: () => undefined, pause: () => undefined, resume: () => undefined };
};
const answersAtOnce = answersWith(200, false);

function sendParts(upstreams: readonly Upstream[], changes: Partial<SendParts> = {}): SendParts {
    const candidates = upstreams.map(upstream => ({ upstream, maxPermitDelay: 0 }));
    return {
        upstreams: { choose: () => candidates.shift(), permitDelay: () => undefined, takesRequestWithin: () => true,
            find: id => upstreams.find(({ state }) => state.entry.id === id), retire: () => undefined,
            limited: () => new Map(), tokensPerEvent: () => 1, replace: () => undefined,
            estimate: () => new ServiceEstimate(), count: () => 2, summary: () => ({}), paths: createDirectPaths(),
            targets: () => [], findTarget: () => undefined, [Symbol.asyncDispose]: async () => undefined },
        rateLimits: { acquire: async () => true, observe: () => undefined },
        dispatch: { isInForce: () => false, place: async () => undefined },
        recentPrograms: new RecentPrograms(),
        declaration: () => declaration,
        limits: defaultLimits,
        dataCentre: "a",
        metrics: createMetrics({ limitedUpstreams: () => new Map() }),
        log,
        now: () => performance.now(),
        ...changes,
    };
}

const plan = () => ({ call: receivedCall(), credit: freeCallCredit, priority: undefined, precedingTurns: 0,
    isAdmitted: true, overload: () => undefined, preferred: undefined, sink: undefined });

test("an error when an attempt starts leads to another upstream, also for a call that runs once (guards against calls closed without an answer)", async () => {
    const broken = createUpstream("broken", () => {
        throw new TypeError("Invalid URL");
    });
    const end = await startSends(sendParts([broken, createUpstream("sound", answersAtOnce)]), plan()).result;
    assert.equal(end.kind === "answer" && end.upstream, "sound");
    assert.equal(broken.state.inFlight, 0);
});

test("a place at an upstream that grants no permit is released, and another one is asked for (guards against places that stay taken)", async () => {
    const upstreams = ["limited", "sound"].map(id => createUpstream(id, answersAtOnce));
    const releases: string[] = [];
    const dispatch: Dispatch = { isInForce: () => true, async place({ excluded }) {
        const upstream = excluded.includes("limited") ? "sound" : "limited";
        return { kind: "placed", upstream, incarnation: undefined,
            release: outcome => void releases.push(`${upstream} ${outcome}`) };
    } };
    const rateLimits = { acquire: async ({ entry }: UpstreamState) => entry.id === "sound", observe: () => undefined };
    const end = await startSends(sendParts(upstreams, { dispatch, rateLimits }), plan()).result;
    assert.equal(end.kind === "answer" && end.upstream, "sound");
    assert.deepEqual(releases, ["limited limited", "sound answered"]);
});

test("a call that the dispatcher refuses is not sent, and its caller is told when to return (guards against engines that are overloaded nevertheless)", async () => {
    const cause: RefusalCause = { kind: "noPlace", refusal: "wait", retryAfter: 1_234, expectedWait: 500, ahead: 3 };
    const dispatch: Dispatch = { isInForce: () => true, place: async () => ({ kind: "refused", cause }) };
    const end = await startSends(sendParts([createUpstream("full", () => assert.fail("sent"))], { dispatch }), plan())
        .result;
    assert.ok(end.kind === "failed" && end.failure === "notRun");
    assert.equal(retryDelay(end.cause, () => 0), 1_234);
});

test("a call that was sent before is sent again although the dispatcher refuses it (guards against answers that break off)", async () => {
    const upstreams = [createUpstream("full", answersWith(503, true)), createUpstream("sound", answersAtOnce)];
    const cause: RefusalCause = { kind: "noPlace", refusal: "expired", retryAfter: 100, expectedWait: 500, ahead: 3 };
    const dispatch: Dispatch = { isInForce: () => true, async place({ wasSent }) {
        return wasSent === true
            ? { kind: "refused", cause }
            : { kind: "placed", upstream: "full", incarnation: undefined, release: () => undefined };
    } };
    const parts = sendParts(upstreams, { dispatch });
    parts.upstreams.choose("tools", {} as Parameters<typeof parts.upstreams.choose>[1]);
    const end = await startSends(parts, plan()).result;
    assert.equal(end.kind === "answer" && end.upstream, "sound");
});

test("a call that ends by its caller's time limit tells nothing of its upstream (guards against engines suspended for short time limits)", async () => {
    const upstream = createUpstream("slow",
        (_, observer) => ({ wasSent: () => true, cancel: () => observer.fail("unknown", "closed"),
            pause: () => undefined, resume: () => undefined }));
    const outcomes: string[] = [];
    const dispatch: Dispatch = { isInForce: () => true,
        place: async () => ({ kind: "placed", upstream: "slow", incarnation: undefined,
            release: outcome => void outcomes.push(outcome) }) };
    const sends = startSends(sendParts([upstream], { dispatch }), plan());
    await new Promise(resolve => setImmediate(resolve));
    sends.cancel("late");
    await sends.result;
    assert.deepEqual(outcomes, ["unused"]);
});
