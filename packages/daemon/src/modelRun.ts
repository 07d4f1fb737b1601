import { enginesOf, historyOf, RefusalError, refuse } from "@tamarackgauge/core";
import type { Answer, Call, ModelTarget, Refusal } from "@tamarackgauge/core";
import type { EngineResult } from "@tamarackgauge/upstream";
import type { Budgets, Reservation } from "./budgets.ts";
import type { Dispatcher, ModelCall } from "./dispatcher.ts";
import type { Finisher, RecordCallEvent } from "./finish.ts";
import type { Partition, ProgramState } from "./partition.ts";
import type { RunningCall } from "./running.ts";
import type { Starter } from "./starter.ts";

/** Runs a model call until it ends and writes the answer to the call's broadcast. */
export type ModelRunner = (partition: Partition, state: ProgramState, running: RunningCall,
    target: ModelTarget) => Promise<void>;

/** Options of the model runner. */
export interface ModelRunnerOptions {
    readonly budgets: Budgets;
    readonly dispatcher: Dispatcher;
    readonly finisher: Finisher;
    readonly starter: Starter;
    readonly record: RecordCallEvent;
    /** Estimates the number of tokens of a text. */
    readonly tokensOf: (text: string) => number;
}

/** Creates the model runner. */
export function createModelRunner(options: ModelRunnerOptions): ModelRunner {
    const { budgets, dispatcher, finisher, starter, record, tokensOf } = options;

    return async (partition, state, running, target) => {
        const refusal = await starter.takeSlot(state) ?? await runWithBudget(partition, state, running, target);
        if (refusal !== undefined) {
            record(running.call, "callRefused", running.cause, { ...refusal });
            starter.releaseUnusedSlot(state);
            running.answer.finish({ type: "refused", refusal });
        }
    };

    async function runWithBudget(partition: Partition, state: ProgramState, running: RunningCall, target: ModelTarget) {
        const { call } = running;
        const remainingTokens = target.maxTokens - (call.partialTokens ?? 0);
        if (remainingTokens <= 0) {
            // The previous owner failed after the last token but before it recorded the end. Dispatching the call again
            // would generate at least one token more than allowed.
            await finisher.finish(partition, state, running, completePartialAnswer(state, running));
            return undefined;
        }
        const reservation = await budgets.reserve(call.plan, remainingTokens);
        if ("code" in reservation) {
            return reservation;
        }
        const intentRefusal = call.atMostOnce ? await commitIntent(partition, state, running, reservation) : undefined;
        if (intentRefusal !== undefined) {
            return intentRefusal;
        }
        return streamAnswer(partition, state, running, target, reservation);
    }

    async function commitIntent(partition: Partition, state: ProgramState, running: RunningCall,
        reservation: Reservation) {
        const refusal = await starter.commitIntent(partition, state, running);
        if (refusal !== undefined) {
            reservation.settle(0);
        }
        return refusal;
    }

    async function streamAnswer(
        partition: Partition,
        state: ProgramState,
        running: RunningCall,
        target: ModelTarget,
        initialReservation: Reservation,
    ): Promise<Refusal | undefined> {
        const { call, answer, signal } = running;
        let reservation = initialReservation;
        // After a stream breaks the engine may generate more tokens unseen, so the whole reservation is charged.
        let chargedTokens = 0;
        let mayHaveRun = call.partial !== undefined;
        try {
            for await (const event of dispatcher.run(modelCallOf(state, running, target), signal)) {
                switch (event.type) {
                    case "dispatched":
                        chargedTokens = reservation.tokens;
                        running.cause = record(call, "callDispatched", running.cause, {
                            upstream: event.engine,
                            priority: event.priority,
                            attempt: event.attempt,
                        });
                        break;
                    case "text":
                        if (answer.text() === "") {
                            running.cause = record(call, "firstToken", running.cause);
                        }
                        answer.append(event.text, event.tokens);
                        break;
                    case "failed": {
                        running.cause = record(call, "callRetried", running.cause, { error: event.reason });
                        mayHaveRun ||= event.mayHaveRun;
                        reservation.settle(event.mayHaveRun ? chargedTokens : 0);
                        chargedTokens = 0;
                        if (call.atMostOnce) {
                            break;
                        }
                        const nextReservation = await budgets.reserve(call.plan,
                            Math.max(1, target.maxTokens - answer.tokens()));
                        if ("code" in nextReservation) {
                            return mayHaveRun ? { ...nextReservation, run: "unknown" } : nextReservation;
                        }
                        reservation = nextReservation;
                        break;
                    }
                    case "done":
                        chargedTokens = event.result.tokens;
                        reservation.settle(chargedTokens);
                        running.cause = record(call, "callFinished", running.cause, {
                            upstream: event.engine,
                            tokens: event.result.tokens,
                            promptTokens: event.result.promptTokens,
                            cachedTokens: event.result.cachedTokens,
                        });
                        await finisher.finish(partition, state, running, answerOf(running, event.engine, event.result));
                }
            }
            return undefined;
        }
        catch (error) {
            return refusalAfterError(error, running, partition, state);
        }
        finally {
            reservation.settle(chargedTokens);
        }
    }

    function refusalAfterError(error: unknown, running: RunningCall, partition: Partition, state: ProgramState) {
        if (running.answer.finished()) {
            // The call was stopped, and its readers have already received the reason.
            return undefined;
        }
        if (!(error instanceof RefusalError)) {
            throw error;
        }
        if (!running.call.atMostOnce) {
            return error.refusal;
        }
        if (error.refusal.run === "unknown") {
            finisher.recordUnknownOutcome(partition, state);
            return refuse("outcome_unknown", "unknown", error.refusal.message);
        }
        starter.withdrawIntent(partition, state, running);
        return error.refusal;
    }

    function modelCallOf(state: ProgramState, running: RunningCall, target: ModelTarget): ModelCall {
        const { call } = running;
        const { program } = state;
        const messages = [...historyOf(program), ...target.messages];
        const lastTurn = program.turns.findLast(turn => turn.messages.length > 0)?.answer;
        const newTokens = target.messages.reduce((sum, message) => sum + tokensOf(JSON.stringify(message)), 0);
        const processedTokens = lastTurn === undefined ? 0 : lastTurn.promptTokens + lastTurn.tokens;
        return {
            job: {
                id: `${program.key}/${call.request}`,
                plan: call.plan,
                program: program.key,
                root: program.parent ?? program.key,
                model: target.model,
                promptTokens: processedTokens + newTokens,
                newTokens,
                maxTokens: Math.max(1, target.maxTokens - (call.partialTokens ?? 0)),
                firstCall: !state.opened && call.partial === undefined,
                repeatable: !call.atMostOnce,
            },
            messages,
            partial: call.partial ?? "",
            parameters: target.parameters ?? {},
        };
    }
}

function answerOf(running: RunningCall, engine: string, result: EngineResult): Answer {
    return {
        text: running.answer.text(),
        reason: result.reason,
        status: 200,
        promptTokens: result.promptTokens,
        cachedTokens: result.cachedTokens,
        tokens: (running.call.partialTokens ?? 0) + result.tokens,
        upstream: engine,
        ...result.toolCalls === undefined ? {} : { toolCalls: [...result.toolCalls] },
    };
}

/**
 * The answer of a call whose previous owner delivered all its tokens. The engine that generated them is unknown; the
 * program's most recent engine is named instead.
 */
function completePartialAnswer(state: ProgramState, running: RunningCall): Answer {
    const { partialTokens: tokens = 0 } = running.call;
    const upstream = enginesOf(state.program).at(-1) ?? "";
    const text = running.answer.text();
    return { text, reason: "length", status: 200, promptTokens: 0, cachedTokens: 0, tokens, upstream };
}

/** Estimates the number of tokens of a text, at four characters per token. */
export function estimateTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

const charactersPerToken = 4;

/** The key of the program that a call belongs to. */
export function programKey(call: Call): string {
    return `${call.plan}/${call.program}`;
}
