import { setTimeout as sleep } from "node:timers/promises";
import { type Build, type CostFleet, type CostFleetSize, createCostFleet, makeCalls,
    type MeasuredGateway } from "./costFleet.ts";

/** What is measured, in the order of the columns. Processor time in ms. */
export interface Costs {
    /** From the start of the process until it is ready and has settled. */
    readonly start: number;
    readonly idleSecond: number;
    /** A plain call at the rate of one gateway, and at 20 times that. The cost of the idle time is subtracted. */
    readonly plainCall: number;
    readonly plainCallBusy: number;
    readonly turn: number;
    readonly turnBusy: number;
    /** Numbers of store calls, without those of an idle gateway. */
    readonly storeCallsPerTurn: number;
    readonly storeCallsPerIdleSecond: number;
}

/** Lengths of the phases. */
export interface CostTimes {
    readonly idleMs: number;
    readonly callsMs: number;
}

const settlingMs = 700;
/** Time after which the gateway has given back the tokens that the last turns did not need. */
const aftermathMs = 4_000;
const plainPerSecond = 3;
const turnsPerSecond = 1;
const busyFactor = 20;

/** Measures builds side by side, so that what else the machine does affects all alike. Returns the costs of each. */
export async function measureCosts(builds: readonly Build[], size: CostFleetSize,
    times: CostTimes): Promise<readonly Costs[]> {
    await using fleet = await createCostFleet(size);
    const started = [];
    for (const build of builds) {
        started.push(await startAndMeasure(fleet, build));
    }
    const costs = await Promise.all(started.map(({ gateway, start }, index) => measure(gateway, start, times, index)));
    await Promise.all(started.map(({ gateway }) => gateway.stop()));
    await Promise.all(started.map(({ gateway }) => gateway[Symbol.asyncDispose]()));
    return costs;
}

async function startAndMeasure(fleet: CostFleet, build: Build) {
    const gateway = await fleet.start(build);
    await sleep(settlingMs);
    return { gateway, start: await gateway.cpuMs() };
}

async function measure(gateway: MeasuredGateway, start: number, { idleMs, callsMs }: CostTimes,
    index: number): Promise<Costs> {
    // The first calls compile code.
    await makeCalls(gateway, "plain", plainPerSecond * busyFactor, 1_000, `warm-plain-${index}`);
    await makeCalls(gateway, "turn", turnsPerSecond * busyFactor, 1_000, `warm-turn-${index}`);
    await sleep(aftermathMs);
    const idle = await measurePhase(gateway, async () => {
        await sleep(idleMs);
        return 1;
    });
    const perIdleMs = { cpu: idle.cpu / idle.ms, stores: idle.stores / idle.ms };
    const perCall = async (kind: "plain" | "turn", perSecond: number) => {
        const phase = await measurePhase(gateway,
            () => makeCalls(gateway, kind, perSecond, callsMs, `${kind}-${index}-${perSecond}`));
        return { cpu: (phase.cpu - perIdleMs.cpu * phase.ms) / phase.count,
            stores: (phase.stores - perIdleMs.stores * phase.ms) / phase.count };
    };
    const plain = await perCall("plain", plainPerSecond);
    const plainBusy = await perCall("plain", plainPerSecond * busyFactor);
    const turn = await perCall("turn", turnsPerSecond);
    const turnBusy = await perCall("turn", turnsPerSecond * busyFactor);
    return { start, idleSecond: perIdleMs.cpu * 1_000, plainCall: plain.cpu, plainCallBusy: plainBusy.cpu,
        turn: turn.cpu, turnBusy: turnBusy.cpu, storeCallsPerTurn: turnBusy.stores,
        storeCallsPerIdleSecond: perIdleMs.stores * 1_000 };
}

async function measurePhase(gateway: MeasuredGateway, run: () => Promise<number>) {
    const startedAt = performance.now();
    const cpuBefore = await gateway.cpuMs();
    const storesBefore = gateway.storeCalls();
    const count = await run();
    return { count, cpu: await gateway.cpuMs() - cpuBefore, stores: gateway.storeCalls() - storesBefore,
        ms: performance.now() - startedAt };
}
