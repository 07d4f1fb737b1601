import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import type { Caller, CallResult, ProgramCall } from "./caller.ts";
import type { CallStep, Program } from "./program.ts";
import type { ProgramRecord, TurnRecord } from "./record.ts";

/** How a trace is played. Times are in ms of real time, but for the trace itself. */
export interface PlayOptions {
    readonly caller: Caller;
    readonly programs: readonly Program[];
    /** Makes the names of programs unique among runs against the same daemons. */
    readonly prefix: string;
    readonly scale: number;
    readonly patienceMs?: number;
    /** How often a refused call is sent again after the time that the refusal names. */
    readonly retries: number;
    /** Programs that still run this long after the last arrival are stopped. */
    readonly drainMs: number;
}

interface Running {
    readonly options: PlayOptions;
    readonly program: Program;
    readonly stopped: AbortSignal;
    readonly refusalMs: number[];
    readonly turns: TurnRecord[];
}

/** Plays a trace in real time and gives what became of each program, in the order of the trace. */
export async function play(options: PlayOptions): Promise<readonly ProgramRecord[]> {
    const stop = new AbortController();
    // Every program of the run listens for its end.
    setMaxListeners(0, stop.signal);
    const started = performance.now();
    const last = Math.max(0, ...options.programs.map(({ startMs }) => startMs / options.scale));
    const timer = setTimeout(() => stop.abort(), last + options.drainMs);
    const records = await Promise.all(options.programs.map(async program => {
        await sleep(program.startMs / options.scale);
        return playProgram({ options, program, stopped: stop.signal, refusalMs: [], turns: [] }, started);
    }));
    clearTimeout(timer);
    return records;
}

async function playProgram(running: Running, started: number): Promise<ProgramRecord> {
    const { program, refusalMs, turns, stopped } = running;
    const startMs = performance.now() - started;
    const result = await playSteps(running, program.steps, `${running.options.prefix}.${program.name}`);
    const outcome = result === undefined ?
        "completed"
        : stopped.aborted && result.outcome !== "refused" ?
        "unfinished"
        : result.outcome === "done"
        ? "failed"
        : result.outcome;
    return {
        name: program.name,
        kind: program.kind,
        long: program.long,
        startMs,
        endMs: performance.now() - started,
        outcome,
        ...result?.code === undefined ? {} : { code: result.code },
        refusalMs,
        turns,
    };
}

/** Plays steps one after the other. Gives the result that ended the program early, if any. */
async function playSteps(
    running: Running,
    steps: Program["steps"],
    name: string,
    parent?: string,
): Promise<CallResult | undefined> {
    const { options, stopped, program } = running;
    let sequence = 0;
    for (const [index, step] of steps.entries()) {
        const end = index === steps.length - 1;
        const result = step.type === "agent"
            ? await playSteps(running, step.steps, `${name}.a`, name)
            : await playCall(running, step, { program: name, parent, sequence: sequence++, end });
        if (result !== undefined) {
            // A caller that gives up says so, or the program would hold its slot until the idle timeout.
            await options.caller.end(program.plan, name);
            return result;
        }
        if (step.type !== "agent" && step.pauseMs > 0 && !end) {
            await sleep(step.pauseMs / options.scale, undefined, { signal: stopped }).catch(() => undefined);
        }
    }
    return undefined;
}

/** Makes one call, and again after a refusal as often as allowed. Gives its result unless it is done. */
async function playCall(
    running: Running,
    step: CallStep,
    place: Pick<ProgramCall, "program" | "parent" | "sequence" | "end">,
): Promise<CallResult | undefined> {
    const { options, program, stopped } = running;
    const call = { ...place, plan: program.plan, step, stopped,
        ...options.patienceMs === undefined ? {} : { patienceMs: options.patienceMs } };
    for (let attempt = 0;; attempt += 1) {
        const result = await options.caller.call(call);
        if (result.outcome === "done") {
            if (step.type === "model") {
                const { firstTokenMs, wholeMs, tokens } = result;
                running.turns.push({ firstTokenMs, wholeMs, tokens });
            }
            return undefined;
        }
        if (result.outcome === "refused") {
            running.refusalMs.push(result.wholeMs);
        }
        if (result.outcome !== "refused" || result.retryAfterMs === undefined || attempt >= options.retries) {
            return result;
        }
        await sleep(result.retryAfterMs, undefined, { signal: stopped }).catch(() => undefined);
    }
}
