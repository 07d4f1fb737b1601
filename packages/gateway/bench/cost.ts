import { setTimeout as sleep } from "node:timers/promises";
import { type Build, type CostFleet, type CostFleetSize, createCostFleet, makeCalls,
    type MeasuredGateway } from "./costFleet.ts";

/** What is measured, in the order of the columns. Processor time in ms. */
export interface Costs {
    /** From the start of the process until it is ready and has settled. */
    readonly start: number;
    readonly idleSecond: number;
    /** A second with the calls and turns of one gateway, the idle cost included. */
    readonly ordinarySecond: number;
    /** The same with 20 times as many plain calls, and with 20 times as many turns. */
    readonly secondOfPlainCalls: number;
    readonly secondOfTurns: number;
    /** The last two divided by the number of calls, after the cost of the idle time has been subtracted. */
    readonly plainCall: number;
    readonly turn: number;
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
    const ordinary = await measurePhase(gateway, async () => {
        const counts = await Promise.all([
            makeCalls(gateway, "plain", plainPerSecond, callsMs, `plain-${index}`),
            makeCalls(gateway, "turn", turnsPerSecond, callsMs, `turn-${index}`),
        ]);
        return counts[0] + counts[1];
    });
    await sleep(aftermathMs);
    const busy = async (kind: "plain" | "turn", perSecond: number) => {
        const phase = await measurePhase(gateway, async () => {
            const count = await makeCalls(gateway, kind, perSecond, callsMs, `busy-${kind}-${index}`);
            await sleep(kind === "turn" ? aftermathMs : 0);
            return count;
        });
        return { cpu: (phase.cpu - perIdleMs.cpu * phase.ms) / phase.count,
            stores: (phase.stores - perIdleMs.stores * phase.ms) / phase.count, second: phase.cpu / phase.ms * 1_000 };
    };
    const plain = await busy("plain", plainPerSecond * busyFactor);
    const turn = await busy("turn", turnsPerSecond * busyFactor);
    return { start, idleSecond: perIdleMs.cpu * 1_000, ordinarySecond: ordinary.cpu / ordinary.ms * 1_000,
        secondOfPlainCalls: plain.second, secondOfTurns: turn.second, plainCall: plain.cpu, turn: turn.cpu,
        storeCallsPerTurn: turn.stores, storeCallsPerIdleSecond: perIdleMs.stores * 1_000 };
}

async function measurePhase(gateway: MeasuredGateway, run: () => Promise<number>) {
    const startedAt = performance.now();
    const cpuBefore = await gateway.cpuMs();
    const storesBefore = gateway.storeCalls();
    const count = await run();
    return { count, cpu: await gateway.cpuMs() - cpuBefore, stores: gateway.storeCalls() - storesBefore,
        ms: performance.now() - startedAt };
}
