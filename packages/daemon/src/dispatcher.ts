import { RefusalError, refuse } from "@tamarackgauge/core";
import type { Assignment, Clock, Job, JobResult, Message, Policy } from "@tamarackgauge/core";
import { EngineError } from "@tamarackgauge/upstream";
import type { EngineClient, EngineResult } from "@tamarackgauge/upstream";
import createDebug from "debug";

const log = createDebug("tamarackgauge:dispatch");

/** A model call to be run on some engine. */
export interface ModelRun {
    readonly job: Omit<Job, "excluded">;
    readonly messages: readonly Message[];
    /** Text delivered before by another owner; the engine continues from it. */
    readonly partial: string;
    readonly parameters: Readonly<Record<string, unknown>>;
}

/** What a run yields. */
export type RunEvent =
    | { readonly type: "dispatched"; readonly engine: string; readonly priority: number; readonly attempt: number; }
    | { readonly type: "text"; readonly text: string; readonly tokens: number; }
    | { readonly type: "failed"; readonly engine: string; readonly reason: string; readonly reached: boolean; }
    | { readonly type: "done"; readonly engine: string; readonly result: EngineResult; };

/** Runs model calls as the policy decides. */
export interface Dispatcher {
    /** Runs a call, on another engine after a failure. Throws a `RefusalError`. */
    run(run: ModelRun, signal: AbortSignal): AsyncGenerator<RunEvent>;
    /** Lets the policy decide again, after it was told something. */
    poke(): void;
    inFlight(): Readonly<Record<string, number>>;
    /** Calls that wait for an engine, by model. */
    waiting(): Readonly<Record<string, number>>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the dispatcher. */
export interface DispatcherOptions {
    readonly policy: Policy;
    readonly clock: Clock;
    readonly clientOf: (engine: string) => EngineClient | undefined;
    /** Called with the engine and the key of the program when a call starts on an engine. */
    readonly onDispatch?: (engine: string, program: string) => void;
}

interface Waiting {
    readonly model: string;
    readonly start: (assignment: Assignment) => void;
}

/** Engines tried for one call. */
const mostAttempts = 3;
const firstTokenTimeout = 10_000;
/** Long prompts take longer to compute: milliseconds allowed for each token of the prompt. */
const prefillAllowance = 0.2;
const tokenTimeout = 5_000;
const retryAfter = 1_000;

/** Creates the dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { policy, clock, clientOf } = options;
    const waiting = new Map<string, Waiting>();
    const counts = new Map<string, number>();
    let scheduled = false;
    let timer: NodeJS.Timeout | undefined;
    let serial = 0;

    /** Asks the policy once for all that happened in this turn of the event loop. */
    function poke(): void {
        if (!scheduled) {
            scheduled = true;
            setImmediate(pump);
        }
    }

    function pump(): void {
        scheduled = false;
        const now = clock.monotonic();
        for (const assignment of policy.nextAssignments(now)) {
            const start = waiting.get(assignment.job.id)?.start;
            waiting.delete(assignment.job.id);
            if (start === undefined) {
                policy.finish(assignment.job.id, emptyResult("cancelled"), now);
            }
            else {
                start(assignment);
            }
        }
        clearTimeout(timer);
        const wakeAt = policy.nextCheckAt(now);
        if (wakeAt !== undefined) {
            timer = setTimeout(pump, Math.max(1, wakeAt - now));
        }
    }

    /** `reached`: an earlier try may have run, so that no refusal can promise the contrary. */
    async function assign(job: Job, reached: boolean, signal: AbortSignal): Promise<Assignment> {
        const refusal = policy.submit(job, clock.monotonic());
        if (refusal !== undefined) {
            throw new RefusalError(reached ? { ...refusal, run: "unknown" } : refusal);
        }
        return new Promise((resolve, reject) => {
            const onAbort = () => {
                waiting.delete(job.id);
                policy.withdraw(job.id, clock.monotonic());
                poke();
                reject(signal.reason as Error);
            };
            if (signal.aborted) {
                onAbort();
                return;
            }
            signal.addEventListener("abort", onAbort, { once: true });
            const start = (assignment: Assignment) => {
                signal.removeEventListener("abort", onAbort);
                resolve(assignment);
            };
            waiting.set(job.id, { model: job.model, start });
            poke();
        });
    }

    async function* run(wanted: ModelRun, signal: AbortSignal): AsyncGenerator<RunEvent> {
        const excluded: string[] = [];
        let partial = wanted.partial;
        let left = wanted.job.maxTokens;
        let reached = partial !== "";
        for (let attempt = 1;; attempt += 1) {
            serial += 1;
            const job: Job = { ...wanted.job, id: `${wanted.job.id}/${serial}`, maxTokens: left,
                excluded: [...excluded] };
            const assignment = await assign(job, reached, signal);
            yield { type: "dispatched", engine: assignment.engine, priority: assignment.priority, attempt };
            try {
                for await (const event of attemptOn(assignment, wanted, partial, signal)) {
                    if (event.type === "text") {
                        partial += event.text;
                        left -= event.tokens;
                    }
                    yield event;
                }
                return;
            }
            catch (error) {
                const failure = error instanceof EngineError ? error : undefined;
                if (failure === undefined || signal.aborted) {
                    throw error;
                }
                log("%s failed a call: %s.", assignment.engine, failure.message);
                reached ||= failure.mayHaveRun;
                excluded.push(assignment.engine);
                yield { type: "failed", engine: assignment.engine, reason: failure.message,
                    reached: failure.mayHaveRun };
                // 404: the engine has given up the model, which this daemon has not read yet.
                const isRetried = failure.status === 429 || failure.status === 404;
                const rejected = failure.status !== undefined && failure.status < 500 && !isRetried;
                if (rejected || attempt >= mostAttempts || !wanted.job.repeatable || left <= 0) {
                    const name = reached || rejected ? "upstream_failed" : "upstream_unreachable";
                    const detail = rejected ? failure.message : undefined;
                    throw new RefusalError(refuse(name, reached ? "unknown" : "notRun", detail, retryAfter));
                }
            }
        }
    }

    async function* attemptOn(assignment: Assignment, wanted: ModelRun, partial: string, signal: AbortSignal) {
        const { job, engine } = assignment;
        const client = clientOf(engine);
        let result = emptyResult("cancelled");
        let first = true;
        counts.set(engine, (counts.get(engine) ?? 0) + 1);
        options.onDispatch?.(engine, job.program);
        try {
            if (client === undefined) {
                throw new EngineError(`${engine} is not listed any more`, undefined, false);
            }
            const call = {
                model: job.model,
                messages: wanted.messages,
                partial,
                maxTokens: job.maxTokens,
                priority: assignment.priority,
                cacheKey: job.program,
                parameters: wanted.parameters,
                firstTokenTimeout: firstTokenTimeout + job.promptTokens * prefillAllowance,
                tokenTimeout,
            };
            for await (const event of client.stream(call, signal)) {
                const now = clock.monotonic();
                if (event.type === "done") {
                    result = { outcome: "done", ...pick(event.result) };
                    if (event.result.load !== undefined) {
                        policy.recordLoad(engine, event.result.load, now);
                    }
                    yield { type: "done", engine, result: event.result } as const;
                    continue;
                }
                if (first) {
                    first = false;
                    policy.recordFirstToken(job.id, now);
                }
                policy.recordTokens(job.id, event.tokens, now);
                yield event;
            }
        }
        catch (error) {
            if (error instanceof EngineError && !signal.aborted) {
                result = emptyResult("failed");
            }
            throw error;
        }
        finally {
            counts.set(engine, (counts.get(engine) ?? 1) - 1);
            policy.finish(job.id, result, clock.monotonic());
            poke();
        }
    }

    return {
        run,
        poke,
        waiting: () => {
            const models: Record<string, number> = {};
            for (const { model } of waiting.values()) {
                models[model] = (models[model] ?? 0) + 1;
            }
            return models;
        },
        inFlight: () => Object.fromEntries([...counts].filter(([, count]) => count > 0)),
        [Symbol.asyncDispose]: async () => {
            clearTimeout(timer);
        },
    };
}

function pick(result: EngineResult): Omit<JobResult, "outcome"> {
    return { promptTokens: result.promptTokens, cachedTokens: result.cachedTokens, tokens: result.tokens };
}

function emptyResult(outcome: JobResult["outcome"]): JobResult {
    return { outcome, promptTokens: 0, cachedTokens: 0, tokens: 0 };
}
