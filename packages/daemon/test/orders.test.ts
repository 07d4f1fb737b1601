import { systemClock } from "@tamarackgauge/core";
import { createEngine } from "@tamarackgauge/standin";
import { createEngineClient } from "@tamarackgauge/upstream";
import type { EngineControl } from "@tamarackgauge/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createOrderReconciler } from "../src/orders.ts";

/** The order reconciler of one daemon for one engine, with a lease that the test controls. */
function createTestReconciler(control: EngineControl, plannedModels: readonly string[]) {
    const lease = { fence: 1, owns: true, age: 0, reportedModels: [] as (readonly string[] | undefined)[] };
    const orders = createOrderReconciler({
        clock: systemClock,
        engines: () => [{ name: "e1", models: undefined, leaving: false }],
        clientOf: () => control,
        authority: () => ({
            fence: lease.fence,
            owns: () => lease.owns,
            leaseAge: () => lease.age,
            renewLease: () => Promise.reject(new Error("the lease was taken over")),
        }),
        onStaleFence: () => undefined,
        plannedModels: () => new Set(plannedModels),
        callCounts: () => ({ waiting: new Map(), running: new Map() }),
        onRoutableModels: models => lease.reportedModels.push(models.get("e1")),
        // The tests call `reconcile` themselves.
        interval: 3_600_000,
    });
    return { lease, orders };
}

/**
 * Pauses a lease holder between its lease check and its order until another daemon has taken over. Returns the engine's
 * models after the late order and after the next pass of the new holder.
 */
async function pauseBeforeOrder(fenced: boolean) {
    await using engine = await createEngine({ models: ["old"], fenced, loadMs: 10 });
    await using client = createEngineClient(engine.url);
    let resume = () => {};
    let arrived = () => {};
    const resumed = new Promise<void>(resolve => resume = resolve);
    const atOrder = new Promise<void>(resolve => arrived = resolve);
    const paused: EngineControl = {
        ...client,
        order: async order => {
            arrived();
            await resumed;
            return client.order(order);
        },
    };
    const first = createTestReconciler(paused, ["new"]);
    await using firstOrders = first.orders;
    const second = createTestReconciler(client, ["old"]);
    await using secondOrders = second.orders;
    second.lease.owns = false;
    second.lease.fence = 2;
    await secondOrders.reconcile();
    const interruptedPass = firstOrders.reconcile();
    await atOrder;
    second.lease.owns = true;
    await secondOrders.reconcile();
    first.lease.age = 3_000;
    resume();
    await interruptedPass;
    const afterOrder = engine.orders().models;
    await secondOrders.reconcile();
    await new Promise(resolve => setTimeout(resolve, 50));
    return { afterOrder, later: engine.orders().models, refusedOrders: engine.counts().ordersRefused };
}

test("a fenced engine refuses the order of a lease holder that was taken over (guards against I11, an order that takes effect late)", async () => {
    const { afterOrder, later, refusedOrders } = await pauseBeforeOrder(true);
    assert.equal(refusedOrders, 1);
    assert.deepEqual(afterOrder, ["old"]);
    assert.deepEqual(later, ["old"]);
});

test("one pass reverts a late order at an engine that ignores the fencing token (guards against I11, a wrong order that persists)", async () => {
    const { afterOrder, later } = await pauseBeforeOrder(false);
    assert.deepEqual(afterOrder, [], "the order took effect: the engine lost its model");
    assert.deepEqual(later, ["old"]);
});

test("no order is sent without a lease confirmed within 1 s (guards against orders of a daemon that has lost its lease)", async () => {
    await using engine = await createEngine({ models: ["old"] });
    await using client = createEngineClient(engine.url);
    const { lease, orders: reconciler } = createTestReconciler(client, ["new"]);
    await using orders = reconciler;
    lease.age = 1_000;
    await orders.reconcile();
    assert.deepEqual(engine.orders(), { fence: 0, models: ["old"], loading: [], role: "both" });
    lease.age = 999;
    await orders.reconcile();
    assert.deepEqual(engine.orders(), { fence: 1, models: [], loading: ["new"], role: "both" });
    assert.deepEqual(lease.reportedModels.at(-1), [], "calls for the model to be unloaded stop before the order");
});
