import { refuse } from "@tamarackgauge/core";
import type { Refusal, ToolTarget } from "@tamarackgauge/core";
import { ServiceError } from "@tamarackgauge/upstream";
import type { ServiceAnswer } from "@tamarackgauge/upstream";
import type { Finisher, RecordCallEvent } from "./finish.ts";
import type { Partition, ProgramState } from "./partition.ts";
import type { RunningCall } from "./running.ts";
import type { Services } from "./services.ts";
import type { Starter } from "./starter.ts";

/** Runs a call to a plain service until it ends. */
export type ToolRunner = (partition: Partition, state: ProgramState, running: RunningCall,
    target: ToolTarget) => Promise<void>;

/** Options of the tool runner; the timeout is in milliseconds. */
export interface ToolRunnerOptions {
    readonly services: Services;
    readonly finisher: Finisher;
    readonly starter: Starter;
    readonly record: RecordCallEvent;
    readonly toolTimeout: number;
}

/** Maximum number of attempts for a repeatable call. */
const maxAttempts = 2;
const retryAfterMs = 1_000;

/** Creates the tool runner. */
export function createToolRunner(options: ToolRunnerOptions): ToolRunner {
    const { services, finisher, starter, record, toolTimeout } = options;

    return async (partition, state, running, target) => {
        const refusal = await starter.takeSlot(state) ?? await run(partition, state, running, target);
        if (refusal !== undefined) {
            record(running.call, refusal.run === "unknown" ? "outcomeUnknown" : "callRefused", running.cause, {
                ...refusal,
            });
            starter.releaseUnusedSlot(state);
            running.answer.finish({ type: "refused", refusal });
        }
    };

    async function run(partition: Partition, state: ProgramState, running: RunningCall, target: ToolTarget) {
        if (!services.has(target.service)) {
            return refuse("upstream_missing", "notRun", target.service, retryAfterMs);
        }
        return running.call.atMostOnce
            ? runOnce(partition, state, running, target)
            : runRepeatable(partition, state, running, target);
    }

    async function runOnce(partition: Partition, state: ProgramState, running: RunningCall, target: ToolTarget) {
        const refusal = await starter.commitIntent(partition, state, running);
        if (refusal !== undefined) {
            return refusal;
        }
        try {
            await dispatch(partition, state, running, target);
            return undefined;
        }
        catch (error) {
            if (!(error instanceof ServiceError)) {
                throw error;
            }
            return error.sent
                ? refuseUnknownOutcome(partition, state, error)
                : withdraw(partition, state, running, error);
        }
    }

    function withdraw(partition: Partition, state: ProgramState, running: RunningCall, error: ServiceError): Refusal {
        starter.withdrawIntent(partition, state, running);
        return refuse("upstream_unreachable", "notRun", error.message, retryAfterMs);
    }

    /** Records that the call may have run. Every later request for this call gets the same outcome. */
    function refuseUnknownOutcome(partition: Partition, state: ProgramState, error: ServiceError): Refusal {
        finisher.recordUnknownOutcome(partition, state);
        return refuse("outcome_unknown", "unknown", error.message);
    }

    async function runRepeatable(partition: Partition, state: ProgramState, running: RunningCall, target: ToolTarget) {
        let wasSent = false;
        for (let attempt = 1;; attempt += 1) {
            try {
                await dispatch(partition, state, running, target);
                return undefined;
            }
            catch (error) {
                if (!(error instanceof ServiceError)) {
                    throw error;
                }
                wasSent ||= error.sent;
                if (attempt >= maxAttempts || running.signal.aborted) {
                    const name = wasSent ? "upstream_failed" : "upstream_unreachable";
                    return refuse(name, wasSent ? "unknown" : "notRun", error.message, retryAfterMs);
                }
                running.cause = record(running.call, "callRetried", running.cause, { error: error.message });
            }
        }
    }

    async function dispatch(partition: Partition, state: ProgramState, running: RunningCall,
        target: ToolTarget): Promise<void> {
        const { service, path, body } = target;
        const { request } = running.call;
        running.cause = record(running.call, "callDispatched", running.cause, { upstream: service });
        const idempotencyKey = `${state.program.key}/${escapeRequest(request)}`;
        const { answer, upstream } = await services.call(
            service,
            { path, body, request: idempotencyKey, timeout: toolTimeout },
            running.signal,
        );
        running.cause = record(running.call, "callFinished", running.cause, { upstream, status: answer.status });
        running.answer.append(answer.body, 0);
        await finisher.finish(partition, state, running, answerOf(answer, upstream));
    }
}

/** Escapes slashes, so that two calls whose programs or requests contain slashes do not get the same key. */
function escapeRequest(request: string): string {
    return request.replaceAll("%", "%25").replaceAll("/", "%2F");
}

function answerOf(answer: ServiceAnswer, upstream: string) {
    const { body, status } = answer;
    return { text: body, reason: "tool", status, promptTokens: 0, cachedTokens: 0, tokens: 0, upstream };
}
