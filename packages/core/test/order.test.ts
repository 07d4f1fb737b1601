import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { agedLevel, AttainedService, levelForTokens, type WaitingJob, WaitingQueue } from "../src/policy/order.ts";
import { job } from "./support.ts";

function waitingJob(id: string, level: number, since = 0, plan = "p", opening = false): WaitingJob {
    return { job: job(id, { plan, firstCall: opening }), level, queuedAt: since };
}

function serveAll(queue: WaitingQueue, now: number, tokens = 100): string[] {
    const order: string[] = [];
    queue.offer(now, "all", offered => {
        order.push(offered.job.id);
        queue.charge(offered.job.plan, tokens);
        return "placed";
    });
    return order;
}

test("level bounds are powers of two within 0 to 7 (guards against wrong bounds and levels out of range)", () => {
    assert.deepEqual([0, 1_023, 1_024, 2_047, 2_048, 4_096, 65_535, 65_536, 1e9].map(levelForTokens), [0, 0, 1, 1, 2, 3,
        6, 7, 7]);
});

test("sub-agents share the service of their root (guards against restarts at level 0 and leaked trees)", () => {
    const service = new AttainedService();
    service.addProgram("root", "root");
    service.addProgram("child", "root");
    service.charge("root", 5_000);
    service.endProgram("root");
    assert.equal(service.level("root"), 3);
    service.endProgram("child");
    assert.equal(service.level("root"), 0);
});

test("a call moves one level up per 10 s of waiting (guards against starvation)", () => {
    assert.deepEqual([0, 9_999, 10_000, 25_000, 90_000].map(now => agedLevel(waitingJob("a", 3), now)), [3, 3, 2, 1,
        0]);
    const queue = new WaitingQueue(() => 1);
    queue.add(waitingJob("old", 2, 0));
    queue.add(waitingJob("new", 1, 20_000));
    assert.deepEqual(serveAll(queue, 20_000), ["old", "new"]);
});

test("active programs come before new ones, short ones before long ones (guards against a wrong order)", () => {
    const queue = new WaitingQueue(() => 1);
    queue.add(waitingJob("long", 5));
    queue.add(waitingJob("opening", 0, 0, "p", true));
    queue.add(waitingJob("underWay", 0, 1));
    assert.deepEqual(serveAll(queue, 1), ["underWay", "opening", "long"]);
});

test("plans share service by weight (guards against a plan that exceeds its share or saves it up while idle)", () => {
    const queue = new WaitingQueue(plan => plan === "big" ? 2 : 1);
    queue.charge("other", 1_000_000);
    for (let index = 0; index < 30; index += 1) {
        queue.add(waitingJob(`b${index}`, 0, 0, "big"));
        queue.add(waitingJob(`s${index}`, 0, 0, "small"));
    }
    const first = serveAll(queue, 0).slice(0, 30);
    assert.equal(first.filter(id => id.startsWith("b")).length, 20);
    queue.add(waitingJob("late", 0, 0, "idle"));
    queue.add(waitingJob("s", 0, 0, "small"));
    queue.add(waitingJob("late2", 0, 0, "idle"));
    assert.equal(new Set(serveAll(queue, 0)).size, 3);
});

test("each queued job is served once (guards against jobs that are lost, served twice or served after removal)", () => {
    const entry = fc.record({ level: fc.nat(7), plan: fc.constantFrom("a", "b", "c"), opening: fc.boolean(),
        fate: fc.constantFrom("placed", "blocked", "removed") });
    fc.assert(
        fc.property(fc.array(entry, { maxLength: 60 }), entries => {
            const queue = new WaitingQueue(() => 1);
            const all = entries.map(({ level, plan, opening }, index) =>
                waitingJob(`${index}`, level, 0, plan, opening)
            );
            all.forEach(one => queue.add(one));
            all.forEach((one, index) => entries[index]!.fate === "removed" && queue.remove(one));
            const served: string[] = [];
            const offered = (take: (id: number) => boolean) =>
                queue.offer(0, "all", ({ job: { id } }) => {
                    if (!take(Number(id))) {
                        return "blocked";
                    }
                    served.push(id);
                    return "placed";
                });
            offered(id => entries[id]!.fate === "placed");
            offered(() => true);
            const expected = all.filter((_, index) => entries[index]!.fate !== "removed").map(one => one.job.id);
            assert.deepEqual(served.sort(), expected.sort());
        }),
        { seed: 11, numRuns: 200 },
    );
});
