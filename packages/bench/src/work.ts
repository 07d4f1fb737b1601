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
export function engineTime(steps: readonly CallStep[], pool: Pool): number {
    const prompt = 1_000 / pool.prefillRate;
    const output = pool.sequenceMs + pool.stepMs / pool.batch;
    return steps.reduce((sum, step) =>
        step.type === "model" && step.model === pool.model
            ? sum + step.promptTokens * prompt + step.outputTokens * output
            : sum, 0);
}

/** Latest end of a program whose caller waits at most the patience for each first token; ms after its start. */
function slackOf(program: Program, pool: Pool, patienceMs: number): number {
    const slowestStep = pool.stepMs + pool.batch * pool.sequenceMs + pool.prefillChunk * 1_000 / pool.prefillRate;
    return callsOf(program).reduce(
        (sum, step) => sum + step.pauseMs + (step.type === "model" ? patienceMs + step.outputTokens * slowestStep : 0),
        0,
    );
}

/**
 * Most programs that the engines could complete within patience. All engines count as one that is as fast as all
 * together, and all programs as there from the first arrival on; Moore-Hodgson then gives the largest set that meets
 * its deadlines. Real engines cannot reach it: programs arrive later, and batches are not always full.
 */
export function mostCompleted(programs: readonly Program[], pool: Pool, patienceMs: number): number {
    const from = Math.min(...programs.map(({ startMs }) => startMs));
    const jobs = programs.map(program => ({
        work: engineTime(callsOf(program), pool) / pool.engines,
        deadline: program.startMs - from + slackOf(program, pool, patienceMs),
    })).sort((left, right) => left.deadline - right.deadline);
    const chosen: number[] = [];
    let total = 0;
    for (const { work, deadline } of jobs) {
        chosen.push(work);
        total += work;
        if (total > deadline) {
            const largest = Math.max(...chosen);
            chosen.splice(chosen.indexOf(largest), 1);
            total -= largest;
        }
    }
    return chosen.length;
}
