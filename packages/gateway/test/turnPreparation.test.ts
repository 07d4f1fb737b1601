import type { RowStoreFault } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { test } from "node:test";
import { call, createFleet, type Fleet, type TestGateway, turnCall, waitUntil, waitUntilReady } from "./harness.ts";

const deadlineMs = 1_000;
/** An answer counts as given at the limit up to this much later, and never before it. */
const marginMs = 400;
/** Budget of one turn, which another one holds as long as tokens are reserved for it. */
const budget = 60;

/** A turn with a budget that holds only one turn, and a deadline. */
function shortTurn(id: string, previous?: string) {
    const turn = turnCall(id, "p", previous, previous === undefined ? budget : 1_000);
    return { ...turn, headers: { ...turn.headers, "x-deadline-ms": String(deadlineMs) } };
}

/** Makes a call that cannot be prepared, and checks that it is refused at its limit. */
async function checkRefusedAtLimit(gateway: TestGateway, turn: ReturnType<typeof shortTurn>): Promise<void> {
    const startedAt = performance.now();
    const { status } = await call(gateway, turn);
    const elapsed = performance.now() - startedAt;
    assert.equal(status, 503);
    assert.ok(elapsed < deadlineMs + marginMs, `the answer came after ${Math.round(elapsed)} ms`);
}

async function checkBudgetIsFree({ engine }: Fleet, gateway: TestGateway): Promise<void> {
    await waitUntil(async () =>
        (await call(gateway, turnCall(`t${performance.now()}`, "p", undefined, budget))).status
            === 200, "the tokens are available");
    assert.equal(engine.executed.filter(({ headers }) => headers["x-program-id"] === "p").length, 1);
}

const faults: readonly RowStoreFault[] = [{ mode: "silent" }, { mode: "slow", ms: 1_400, call: "change" }, {
    mode: "lateWrite",
    ms: 2_000,
    call: "change",
}];

for (const fault of faults) {
    test(`a turn is refused at its time limit while writes of its budget are ${fault.mode}, and its tokens are given back (guards against turns that are held past their limit)`, async () => {
        await using fleet = await createFleet();
        const gateway = await fleet.startGateway();
        await waitUntilReady(gateway);
        gateway.storeEndpoint.setFault(fault);
        await checkRefusedAtLimit(gateway, shortTurn("t1"));
        gateway.storeEndpoint.setFault(undefined);
        await checkBudgetIsFree(fleet, gateway);
    });
}

test("a turn is refused at its time limit while its history cannot be read (guards against turns that are held past their limit)", async () => {
    await using fleet = await createFleet();
    const [one, two] = [await fleet.startGateway(), await fleet.startGateway()];
    await Promise.all([waitUntilReady(one), waitUntilReady(two)]);
    assert.equal((await call(one, turnCall("t1", "q"))).status, 200);
    two.storeEndpoint.setFault({ mode: "silent", call: "read" });
    await checkRefusedAtLimit(two, shortTurn("t2", "t1"));
    assert.equal(fleet.engine.executed.length, 1);
});
