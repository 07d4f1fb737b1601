import type { Pool } from "./experiment.ts";
import type { CallStep, Program } from "./program.ts";

/** All model turns and tool calls of a program in order, including those of its sub-agents. */
export function callsOf(program: Program): readonly CallStep[] {
    return program.steps.flatMap(step => step.type === "agent" ? step.steps : [step]);
}

/**
 * The minimum engine time of steps on a pool in ms. Assumes that every prefix is cached and every batch is full, so
 * that each generated token costs its sequence time and an equal share of the step time.
 */
export function minEngineTimeMs(steps: readonly CallStep[], pool: Pool): number {
    const promptTokenMs = 1_000 / pool.prefillRate;
    const outputTokenMs = pool.sequenceMs + pool.stepMs / pool.batch;
    return steps.reduce((sum, step) =>
        step.type === "model" && step.model === pool.model
            ? sum + step.promptTokens * promptTokenMs + step.outputTokens * outputTokenMs
            : sum, 0);
}

/** Maximum duration in ms of a program whose caller waits for each first token no longer than the patience. */
function maxDurationMs(program: Program, pool: Pool, patienceMs: number): number {
    const maxStepMs = pool.stepMs + pool.batch * pool.sequenceMs + pool.prefillChunk * 1_000 / pool.prefillRate;
    return callsOf(program).reduce(
        (sum, step) => sum + step.pauseMs + (step.type === "model" ? patienceMs + step.outputTokens * maxStepMs : 0),
        0,
    );
}

/**
 * Upper bound of the number of programs that the engines could complete within the callers' patience. Treats all
 * engines as one with their combined speed and all programs as available from the first arrival on; the Moore-Hodgson
 * algorithm then finds the largest set of programs that meet their deadlines. Real engines cannot reach this bound,
 * because programs arrive later and batches are not always full.
 */
export function maxCompletablePrograms(programs: readonly Program[], pool: Pool, patienceMs: number): number {
    const firstArrivalMs = Math.min(...programs.map(({ startMs }) => startMs));
    const jobs = programs.map(program => ({
        engineMs: minEngineTimeMs(callsOf(program), pool) / pool.engines,
        deadlineMs: program.startMs - firstArrivalMs + maxDurationMs(program, pool, patienceMs),
    })).sort((left, right) => left.deadlineMs - right.deadlineMs);
    const chosenMs: number[] = [];
    let totalMs = 0;
    for (const { engineMs, deadlineMs } of jobs) {
        chosenMs.push(engineMs);
        totalMs += engineMs;
        if (totalMs > deadlineMs) {
            const largestMs = Math.max(...chosenMs);
            chosenMs.splice(chosenMs.indexOf(largestMs), 1);
            totalMs -= largestMs;
        }
    }
    return chosenMs.length;
}
