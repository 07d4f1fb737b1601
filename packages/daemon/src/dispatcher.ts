import { RefusalError, refuse } from "@tamarackgauge/core";
import type { Assignment, Clock, Job, JobResult, Message, Policy } from "@tamarackgauge/core";
import { EngineError } from "@tamarackgauge/upstream";
import type { EngineClient, EngineResult } from "@tamarackgauge/upstream";
import createDebug from "debug";

const log = createDebug("tamarackgauge:dispatch");

/** A model call to dispatch to an engine. */
export interface ModelCall {
    readonly job: Omit<Job, "excluded">;
    readonly messages: readonly Message[];
    /** Text that a previous owner already delivered; the engine continues from it. */
    readonly partial: string;
    readonly parameters: Readonly<Record<string, unknown>>;
}

/** An event of a dispatched call. */
export type DispatchEvent =
    | { readonly type: "dispatched"; readonly engine: string; readonly priority: number; readonly attempt: number; }
    | { readonly type: "text"; readonly text: string; readonly tokens: number; }
    | { readonly type: "failed"; readonly engine: string; readonly reason: string; readonly mayHaveRun: boolean; }
    | { readonly type: "done"; readonly engine: string; readonly result: EngineResult; };

/** Runs model calls on the engines that the policy assigns. */
export interface Dispatcher {
    /** Runs a call and retries it on another engine after a failure. Throws a `RefusalError`. */
    run(call: ModelCall, signal: AbortSignal): AsyncGenerator<DispatchEvent>;
    /** Schedules another request for assignments, after the input of the policy has changed. */
    scheduleDispatch(): void;
    inFlight(): Readonly<Record<string, number>>;
    /** Number of calls that wait for an engine, by model. */
    waiting(): Readonly<Record<string, number>>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the dispatcher. */
export interface DispatcherOptions {
    readonly policy: Policy;
    readonly clock: Clock;
    readonly clientOf: (engine: string) => EngineClient | undefined;
    /** Called with the engine and the program key when a call is dispatched. */
    readonly onDispatch?: (engine: string, program: string) => void;
}

interface PendingCall {
    readonly model: string;
    readonly start: (assignment: Assignment) => void;
}

/** Maximum number of engines that one call is sent to. */
const maxAttempts = 3;
const firstTokenTimeoutMs = 10_000;
/** Added to the timeout of the first token for each token of the prompt, since long prompts take longer to process. */
const prefillMsPerToken = 0.2;
const tokenTimeoutMs = 5_000;
const retryAfterMs = 1_000;

/** Creates the dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { policy, clock, clientOf } = options;
    const pendingCalls = new Map<string, PendingCall>();
    const inFlightCounts = new Map<string, number>();
    let isScheduled = false;
    let checkTimer: NodeJS.Timeout | undefined;
    let jobSerial = 0;

    /** Coalesces all changes of one event loop iteration into a single request to the policy. */
    function scheduleDispatch(): void {
        if (!isScheduled) {
            isScheduled = true;
            setImmediate(dispatchPending);
        }
    }

    function dispatchPending(): void {
        isScheduled = false;
        const now = clock.monotonic();
        for (const assignment of policy.nextAssignments(now)) {
            const start = pendingCalls.get(assignment.job.id)?.start;
            pendingCalls.delete(assignment.job.id);
            if (start === undefined) {
                policy.finish(assignment.job.id, emptyResult("cancelled"), now);
            }
            else {
                start(assignment);
            }
        }
        clearTimeout(checkTimer);
        const nextCheckAt = policy.nextCheckAt(now);
        if (nextCheckAt !== undefined) {
            checkTimer = setTimeout(dispatchPending, Math.max(1, nextCheckAt - now));
        }
    }

    /** With `mayHaveRun`, an earlier attempt may have run, so a refusal is returned with run status `unknown`. */
    async function waitForAssignment(job: Job, mayHaveRun: boolean, signal: AbortSignal): Promise<Assignment> {
        const refusal = policy.submit(job, clock.monotonic());
        if (refusal !== undefined) {
            throw new RefusalError(mayHaveRun ? { ...refusal, run: "unknown" } : refusal);
        }
        return new Promise((resolve, reject) => {
            const onAbort = () => {
                pendingCalls.delete(job.id);
                policy.withdraw(job.id, clock.monotonic());
                scheduleDispatch();
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
            pendingCalls.set(job.id, { model: job.model, start });
            scheduleDispatch();
        });
    }

    async function* run(modelCall: ModelCall, signal: AbortSignal): AsyncGenerator<DispatchEvent> {
        const excluded: string[] = [];
        let partial = modelCall.partial;
        let remainingTokens = modelCall.job.maxTokens;
        let mayHaveRun = partial !== "";
        for (let attempt = 1;; attempt += 1) {
            jobSerial += 1;
            const job: Job = { ...modelCall.job, id: `${modelCall.job.id}/${jobSerial}`, maxTokens: remainingTokens,
                excluded: [...excluded] };
            const assignment = await waitForAssignment(job, mayHaveRun, signal);
            yield { type: "dispatched", engine: assignment.engine, priority: assignment.priority, attempt };
            try {
                for await (const event of runAttempt(assignment, modelCall, partial, signal)) {
                    if (event.type === "text") {
                        partial += event.text;
                        remainingTokens -= event.tokens;
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
                log("Engine %s failed a call: %s.", assignment.engine, failure.message);
                mayHaveRun ||= failure.mayHaveRun;
                excluded.push(assignment.engine);
                yield { type: "failed", engine: assignment.engine, reason: failure.message,
                    mayHaveRun: failure.mayHaveRun };
                // 404: the engine has unloaded the model, but this daemon has not read its new state yet.
                const isRetryable = failure.status === 429 || failure.status === 404;
                const isRejected = failure.status !== undefined && failure.status < 500 && !isRetryable;
                if (isRejected || attempt >= maxAttempts || !modelCall.job.repeatable || remainingTokens <= 0) {
                    const name = mayHaveRun || isRejected ? "upstream_failed" : "upstream_unreachable";
                    const detail = isRejected ? failure.message : undefined;
                    throw new RefusalError(refuse(name, mayHaveRun ? "unknown" : "notRun", detail, retryAfterMs));
                }
            }
        }
    }

    async function* runAttempt(assignment: Assignment, modelCall: ModelCall, partial: string, signal: AbortSignal) {
        const { job, engine } = assignment;
        const client = clientOf(engine);
        let result = emptyResult("cancelled");
        let isFirstToken = true;
        inFlightCounts.set(engine, (inFlightCounts.get(engine) ?? 0) + 1);
        options.onDispatch?.(engine, job.program);
        try {
            if (client === undefined) {
                throw new EngineError(`${engine} is not listed any more`, undefined, false);
            }
            const call = {
                model: job.model,
                messages: modelCall.messages,
                partial,
                maxTokens: job.maxTokens,
                priority: assignment.priority,
                cacheKey: job.program,
                parameters: modelCall.parameters,
                firstTokenTimeout: firstTokenTimeoutMs + job.promptTokens * prefillMsPerToken,
                tokenTimeout: tokenTimeoutMs,
            };
            for await (const event of client.stream(call, signal)) {
                const now = clock.monotonic();
                if (event.type === "done") {
                    result = { outcome: "done", ...tokenCounts(event.result) };
                    if (event.result.load !== undefined) {
                        policy.recordLoad(engine, event.result.load, now);
                    }
                    yield { type: "done", engine, result: event.result } as const;
                    continue;
                }
                if (isFirstToken) {
                    isFirstToken = false;
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
            inFlightCounts.set(engine, (inFlightCounts.get(engine) ?? 1) - 1);
            policy.finish(job.id, result, clock.monotonic());
            scheduleDispatch();
        }
    }

    return {
        run,
        scheduleDispatch,
        waiting: () => {
            const models: Record<string, number> = {};
            for (const { model } of pendingCalls.values()) {
                models[model] = (models[model] ?? 0) + 1;
            }
            return models;
        },
        inFlight: () => Object.fromEntries([...inFlightCounts].filter(([, count]) => count > 0)),
        [Symbol.asyncDispose]: async () => {
            clearTimeout(checkTimer);
        },
    };
}

function tokenCounts(result: EngineResult): Omit<JobResult, "outcome"> {
    return { promptTokens: result.promptTokens, cachedTokens: result.cachedTokens, tokens: result.tokens };
}

function emptyResult(outcome: JobResult["outcome"]): JobResult {
    return { outcome, promptTokens: 0, cachedTokens: 0, tokens: 0 };
}
