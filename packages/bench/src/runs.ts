import { loadavg } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Caller } from "./caller.ts";
import type { Experiment } from "./experiment.ts";
import { crestPhases, generateTrace, steadyPhases } from "./generate.ts";
import { play } from "./play.ts";
import type { Program } from "./program.ts";
import type { ProgramRecord, RunRecord } from "./record.ts";
import { readDaemonCpu, resetCounts, slowEngines, sumCounts, type Target } from "./target.ts";
import { maxCompletablePrograms } from "./work.ts";

/** Names of the runs of an experiment, in the order in which they are made. */
export const runNames = ["load20", "load80", "alone", "slowed", "crest"] as const;

export type RunName = (typeof runNames)[number];

export interface RunOptions {
    readonly experiment: Experiment;
    readonly seed: number;
    readonly target: Target;
    readonly caller: Caller;
    readonly drainMs: number;
}

/** Pause between two runs, so that the engines are idle and caches are released. */
const pauseBetweenRunsMs = 300;

/** Generates a run's trace. Loads are shares of the first pool's capacity with full batches and every prefix cached. */
export function generateRunTrace(experiment: Experiment, name: RunName, seed: number): readonly Program[] {
    switch (name) {
        case "load20":
            return generateTrace(experiment, seed, steadyPhases(experiment, 0.2));
        case "load80":
        case "slowed":
            return generateTrace(experiment, seed, steadyPhases(experiment, 0.8));
        case "alone":
            return generateRunTrace(experiment, "load80", seed).filter(({ long }) => !long);
        case "crest":
            return generateTrace(experiment, seed, crestPhases(experiment));
    }
}

/** Plays one run and reads the counters of the engines. */
export async function executeRun(name: RunName, options: RunOptions): Promise<RunRecord> {
    const { experiment, seed, target, caller, drainMs } = options;
    const { scale, retries, patienceMs, pools } = experiment;
    const programs = generateRunTrace(experiment, name, seed);
    const isCrest = name === "crest";
    await resetCounts(target);
    const slowdown = name === "slowed" ? slowEnginesLater(options) : undefined;
    const measured = await measureRun(target,
        () =>
            play({ caller, programs, prefix: `s${seed}.${name}`, scale, drainMs, maxRetries: retries,
                ...isCrest ? { patienceMs: patienceMs / scale } : {} }));
    await slowdown;
    const engines = await sumCounts(target, pools[0].model);
    await sleep(pauseBetweenRunsMs);
    return { name, engines, ...measured,
        ...isCrest ? { bound: maxCompletablePrograms(programs, pools[0], patienceMs) } : {} };
}

async function slowEnginesLater({ experiment, target }: RunOptions): Promise<void> {
    const { slow, scale, pools } = experiment;
    await sleep(slow.fromMs / scale);
    await slowEngines(target, pools[0].model, { ...slow, ms: slow.lengthMs / scale });
}

async function measureRun(target: Target, run: () => Promise<readonly ProgramRecord[]>) {
    const eventLoopDelay = monitorEventLoopDelay({ resolution: 1 });
    const daemonCpuBefore = readDaemonCpu(target);
    const callerCpuBefore = process.cpuUsage();
    const startedAt = performance.now();
    eventLoopDelay.enable();
    const programs = [...await run()];
    eventLoopDelay.disable();
    const wallMs = performance.now() - startedAt;
    const { user, system } = process.cpuUsage(callerCpuBefore);
    const daemonCpuAfter = readDaemonCpu(target);
    return {
        programs,
        wallMs,
        loadAverage: loadavg()[0] ?? 0,
        loopDelayMs: eventLoopDelay.percentile(99) / 1e6,
        callerCpu: (user + system) / 1_000 / wallMs,
        ...daemonCpuBefore === undefined || daemonCpuAfter === undefined
            ? {}
            : { daemonCpuMs: daemonCpuAfter - daemonCpuBefore },
    };
}
