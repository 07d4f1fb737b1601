import type { Pool } from "./experiment.ts";
import type { CallStep, Program } from "./program.ts";

/** All model turns and tool calls of a program, those of its sub-agents included, in order. */
export function callsOf(program: Program): readonly CallStep[] {
    return program.steps.flatMap(step => step.type === "agent" ? step.steps : [step]);
}

/**
 * The least engine time of steps on a pool in ms: every prefix is cached, the batch is always full, and so each
 * generated token bears its own time and a share of the step.
 */
export function minEngineTimeMs(steps: readonly CallStep[], pool: Pool): number {
    const promptTokenMs = 1_000 / pool.prefillRate;
    const outputTokenMs = pool.sequenceMs + pool.stepMs / pool.batch;
    return steps.reduce((sum, step) =>
        step.type === "model" && step.model === pool.model
            ? sum + step.promptTokens * promptTokenMs + step.outputTokens * outputTokenMs
            : sum, 0);
}

/** Latest end of a program whose caller waits at most the patience for each first token; ms after its start. */
function maxDurationMs(program: Program, pool: Pool, patienceMs: number): number {
    const maxStepMs = pool.stepMs + pool.batch * pool.sequenceMs + pool.prefillChunk * 1_000 / pool.prefillRate;
    return callsOf(program).reduce(
        (sum, step) => sum + step.pauseMs + (step.type === "model" ? patienceMs + step.outputTokens * maxStepMs : 0),
        0,
    );
}

/**
 * Most programs that the engines could complete within patience. All engines count as one that is as fast as all
 * together, and all programs as there from the first arrival on; Moore-Hodgson then gives the largest set that meets
 * its deadlines. Real engines cannot reach it: programs arrive later, and batches are not always full.
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
