import { refuse } from "@tamarackgauge/core";
import type { Refusal, ToolTarget } from "@tamarackgauge/core";
import { ServiceError } from "@tamarackgauge/upstream";
import type { ServiceAnswer } from "@tamarackgauge/upstream";
import type { Finisher, Record } from "./finish.ts";
import type { Live, Partition } from "./partition.ts";
import type { Running } from "./running.ts";
import type { Services } from "./services.ts";
import type { Starter } from "./starter.ts";

/** Runs a call of a plain service to its end. */
export type ToolRunner = (partition: Partition, live: Live, running: Running, target: ToolTarget) => Promise<void>;

/** Options of the runner; the timeout is in milliseconds. */
export interface ToolRunnerOptions {
    readonly services: Services;
    readonly finisher: Finisher;
    readonly starter: Starter;
    readonly record: Record;
    readonly toolTimeout: number;
}

/** Tries of a call that may be repeated. */
const mostTries = 2;
const retryAfter = 1_000;

/** Creates the runner. */
export function createToolRunner(options: ToolRunnerOptions): ToolRunner {
    const { services, finisher, starter, record, toolTimeout } = options;

    return async (partition, live, running, target) => {
        const refusal = await starter.takeSlot(live) ?? await run(partition, live, running, target);
        if (refusal !== undefined) {
            record(running.call, refusal.run === "unknown" ? "outcomeUnknown" : "callRefused", running.cause, {
                ...refusal,
            });
            starter.dropSlot(live);
            running.answer.finish({ type: "refused", refusal });
        }
    };

    async function run(partition: Partition, live: Live, running: Running, target: ToolTarget) {
        if (!services.has(target.service)) {
            return refuse("upstream_missing", "notRun", target.service, retryAfter);
        }
        return running.call.atMostOnce
            ? runOnce(partition, live, running, target)
            : runRepeatable(partition, live, running, target);
    }

    async function runOnce(partition: Partition, live: Live, running: Running, target: ToolTarget) {
        const refusal = await starter.commitIntent(partition, live, running);
        if (refusal !== undefined) {
            return refusal;
        }
        try {
            await dispatch(partition, live, running, target);
            return undefined;
        }
        catch (error) {
            if (!(error instanceof ServiceError)) {
                throw error;
            }
            return error.sent
                ? recordUnknown(partition, live, error)
                : withdraw(partition, live, running, error);
        }
    }

    function withdraw(partition: Partition, live: Live, running: Running, error: ServiceError): Refusal {
        starter.withdrawIntent(partition, live, running);
        return refuse("upstream_unreachable", "notRun", error.message, retryAfter);
    }

    /** The call may have run: from now on this is its outcome, also for whoever asks again. */
    function recordUnknown(partition: Partition, live: Live, error: ServiceError): Refusal {
        finisher.closeIntent(partition, live);
        return refuse("outcome_unknown", "unknown", error.message);
    }

    async function runRepeatable(partition: Partition, live: Live, running: Running, target: ToolTarget) {
        let sent = false;
        for (let attempt = 1;; attempt += 1) {
            try {
                await dispatch(partition, live, running, target);
                return undefined;
            }
            catch (error) {
                if (!(error instanceof ServiceError)) {
                    throw error;
                }
                sent ||= error.sent;
                if (attempt >= mostTries || running.signal.aborted) {
                    const name = sent ? "upstream_failed" : "upstream_unreachable";
                    return refuse(name, sent ? "unknown" : "notRun", error.message, retryAfter);
                }
                running.cause = record(running.call, "callRetried", running.cause, { error: error.message });
            }
        }
    }

    async function dispatch(partition: Partition, live: Live, running: Running, target: ToolTarget): Promise<void> {
        const { service, path, body } = target;
        const { request } = running.call;
        running.cause = record(running.call, "callDispatched", running.cause, { upstream: service });
        const idempotencyKey = `${live.program.key}/${escapeStep(request)}`;
        const { answer, upstream } = await services.call(
            service,
            { path, body, request: idempotencyKey, timeout: toolTimeout },
            running.signal,
        );
        running.cause = record(running.call, "callFinished", running.cause, { upstream, status: answer.status });
        running.answer.append(answer.body, 0);
        await finisher.finish(partition, live, running, recordedAnswer(answer, upstream));
    }
}

/** Programs and requests may contain slashes; without this, two calls could share one key. */
function escapeStep(request: string): string {
    return request.replaceAll("%", "%25").replaceAll("/", "%2F");
}

function recordedAnswer(answer: ServiceAnswer, upstream: string) {
    const { body, status } = answer;
    return { text: body, reason: "tool", status, promptTokens: 0, cachedTokens: 0, tokens: 0, upstream };
}
