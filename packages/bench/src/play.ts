import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import type { Caller, CallResult, ProgramCall } from "./caller.ts";
import type { CallStep, Program } from "./program.ts";
import type { ProgramRecord, TurnRecord } from "./record.ts";

/** Options of playing a trace. Times are in real milliseconds, except those of the trace, which are in model time. */
export interface PlayOptions {
    readonly caller: Caller;
    readonly programs: readonly Program[];
    /** Prefix of program names, which keeps them unique across runs against the same daemons. */
    readonly prefix: string;
    readonly scale: number;
    readonly patienceMs?: number;
    /** How often a refused call is retried, each time after the delay that the refusal names. */
    readonly maxRetries: number;
    /** Programs that are still running this long after the last arrival are stopped. */
    readonly drainMs: number;
}

interface ProgramRun {
    readonly options: PlayOptions;
    readonly program: Program;
    readonly stopSignal: AbortSignal;
    readonly refusalMs: number[];
    readonly turns: TurnRecord[];
}

/** Plays a trace in real time and returns the record of each program, in the order of the trace. */
export async function play(options: PlayOptions): Promise<readonly ProgramRecord[]> {
    const stopController = new AbortController();
    // Every running call adds a listener to this signal.
    setMaxListeners(0, stopController.signal);
    const startedAt = performance.now();
    const lastArrivalMs = Math.max(0, ...options.programs.map(({ startMs }) => startMs / options.scale));
    const stopTimer = setTimeout(() => stopController.abort(), lastArrivalMs + options.drainMs);
    const records = await Promise.all(options.programs.map(async program => {
        await sleep(program.startMs / options.scale);
        return playProgram({ options, program, stopSignal: stopController.signal, refusalMs: [], turns: [] },
            startedAt);
    }));
    clearTimeout(stopTimer);
    return records;
}

async function playProgram(run: ProgramRun, runStartedAt: number): Promise<ProgramRecord> {
    const { program, refusalMs, turns, stopSignal } = run;
    const startMs = performance.now() - runStartedAt;
    const result = await playSteps(run, program.steps, `${run.options.prefix}.${program.name}`);
    const outcome = result === undefined ?
        "completed"
        : stopSignal.aborted && result.outcome !== "refused" ?
        "unfinished"
        : result.outcome === "done"
        ? "failed"
        : result.outcome;
    return {
        name: program.name,
        kind: program.kind,
        long: program.long,
        startMs,
        endMs: performance.now() - runStartedAt,
        outcome,
        ...result?.code === undefined ? {} : { code: result.code },
        refusalMs,
        turns,
    };
}

/** Plays steps one after another. Returns the result that ended the program early, if any. */
async function playSteps(
    run: ProgramRun,
    steps: Program["steps"],
    programName: string,
    parent?: string,
): Promise<CallResult | undefined> {
    const { options, stopSignal, program } = run;
    let sequence = 0;
    for (const [index, step] of steps.entries()) {
        const isLast = index === steps.length - 1;
        const result = step.type === "agent"
            ? await playSteps(run, step.steps, `${programName}.a`, programName)
            : await playCall(run, step, { program: programName, parent, sequence: sequence++, end: isLast });
        if (result !== undefined) {
            // Ends the abandoned program explicitly; otherwise it would hold its slot until the idle timeout.
            await options.caller.endProgram(program.plan, programName);
            return result;
        }
        if (step.type !== "agent" && step.pauseMs > 0 && !isLast) {
            await sleep(step.pauseMs / options.scale, undefined, { signal: stopSignal }).catch(() => undefined);
        }
    }
    return undefined;
}

/** Makes one call and retries it after refusals. Returns undefined if it succeeded, otherwise the last result. */
async function playCall(
    run: ProgramRun,
    step: CallStep,
    position: Pick<ProgramCall, "program" | "parent" | "sequence" | "end">,
): Promise<CallResult | undefined> {
    const { options, program, stopSignal } = run;
    const call = { ...position, plan: program.plan, step, stopSignal,
        ...options.patienceMs === undefined ? {} : { patienceMs: options.patienceMs } };
    for (let attempt = 0;; attempt += 1) {
        const result = await options.caller.call(call);
        if (result.outcome === "done") {
            if (step.type === "model") {
                const { firstTokenMs, wholeMs, tokens } = result;
                run.turns.push({ firstTokenMs, wholeMs, tokens });
            }
            return undefined;
        }
        if (result.outcome === "refused") {
            run.refusalMs.push(result.wholeMs);
        }
        if (result.outcome !== "refused" || result.retryAfterMs === undefined || attempt >= options.maxRetries) {
            return result;
        }
        await sleep(result.retryAfterMs, undefined, { signal: stopSignal }).catch(() => undefined);
    }
}
