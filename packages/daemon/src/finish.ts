import { attainedTokens, createSeal } from "@tamarackgauge/core";
import type { Answer, Call, Clock, Completion, Durability, Policy, Program, ProgramStep,
    Turn } from "@tamarackgauge/core";
import type { Timeline } from "@tamarackgauge/timeline";
import { createBroadcast } from "./broadcast.ts";
import type { Broadcast } from "./broadcast.ts";
import type { Partition, ProgramState } from "./partition.ts";
import type { RunningCall } from "./running.ts";
import { withTimeout } from "./wait.ts";

/** Applies steps of a program in memory and appends them to the journal; resolves when they are stored. */
export type Save = (partition: Partition, state: ProgramState, steps: readonly ProgramStep[]) => Promise<void>;

/** Records a timeline event of a call and returns the id of the event. */
export type RecordCallEvent = (
    call: Call,
    event: Parameters<Timeline["record"]>[0]["event"],
    cause: string,
    fields?: { readonly [name: string]: string | number | boolean; },
) => string;

/** Completes calls: records the turn and sends the completion to the readers. */
export interface Finisher {
    /** The `open` step of a program, or nothing if it is already in the journal; marks the program as opened. */
    openSteps(state: ProgramState): readonly ProgramStep[];
    /** Records the turn of a running call, waits for the store for a limited time, then completes the answer. */
    finish(partition: Partition, state: ProgramState, running: RunningCall, answer: Answer): Promise<void>;
    /** If the program has an intent without an outcome, records permanently that the outcome is unknown. */
    recordUnknownOutcome(partition: Partition, state: ProgramState): void;
    /** Returns the recorded answer of a finished call. */
    replayAnswer(state: ProgramState, turn: Turn): { readonly answer: Broadcast; }["answer"];
    /** Restores the attained service and the last engine of a recovered program in the policy. */
    restorePolicy(program: Program): void;
}

/** Options of the finisher. */
export interface FinisherOptions {
    readonly policy: Policy;
    readonly timeline: Timeline;
    readonly clock: Clock;
    readonly sealKey: string;
    readonly save: Save;
    readonly closeProgram: (partition: Partition, state: ProgramState, call?: Call) => void;
}

/** The final event of an answer waits this long for the store, then reports the durability `caller`. */
const commitTimeoutMs = 1_000;

/** Creates the finisher. */
export function createFinisher(options: FinisherOptions): Finisher {
    const { policy, timeline, clock, save } = options;

    function openSteps(state: ProgramState): readonly ProgramStep[] {
        if (state.opened) {
            return [];
        }
        state.opened = true;
        const { key, plan, parent } = state.program;
        return [{ type: "open", program: key, plan, at: clock.wall(), ...parent === undefined ? {} : { parent } }];
    }

    async function finish(partition: Partition, state: ProgramState, running: RunningCall,
        answer: Answer): Promise<void> {
        const { call, sequence } = running;
        const messages = call.target.kind === "model" ? [...call.target.messages] : [];
        const { request, digest } = call;
        const turn: ProgramStep = {
            type: "turn",
            program: state.program.key,
            request,
            sequence,
            digest,
            messages,
            answer,
        };
        const stored = save(partition, state, [...openSteps(state), turn]).then(() => {
            state.storedUpTo = Math.max(state.storedUpTo, sequence + 1);
        });
        const seal = sealOf(state);
        if (call.end) {
            options.closeProgram(partition, state, call);
        }
        // Rejects if ownership was lost, since the turn can no longer be stored.
        const durability = await withTimeout(stored.then((): Durability => "stored"), commitTimeoutMs) ?? "caller";
        const cause = timeline.record({
            part: "owner",
            event: "turnCommitted",
            program: state.program.key,
            request,
            cause: running.cause,
            fields: { durability },
        });
        const trace = { cause, stamp: timeline.stamp() };
        const completion = { ...completionOf(answer, sequence, durability), seal, trace };
        running.answer.finish({ type: "done", completion });
    }

    function recordUnknownOutcome(partition: Partition, state: ProgramState): void {
        const { intent, key } = state.program;
        if (intent !== undefined) {
            save(partition, state, [{ type: "turn", program: key, ...intent, messages: [] }]).catch(() => undefined);
        }
    }

    function sealOf(state: ProgramState): string {
        const { key, nextSequence: sequence } = state.program;
        return createSeal(options.sealKey, key, { sequence, digest: state.digest });
    }

    function replayAnswer(state: ProgramState, turn: Turn): Broadcast {
        const broadcast = createBroadcast();
        const { answer } = turn;
        if (answer !== undefined) {
            broadcast.append(answer.text, answer.tokens);
            const durability = turn.sequence < state.storedUpTo ? "stored" : "caller";
            const completion = completionOf(answer, turn.sequence, durability);
            const isLatest = turn.sequence + 1 === state.program.nextSequence;
            broadcast.finish({ type: "done",
                completion: isLatest ? { ...completion, seal: sealOf(state) } : completion });
        }
        return broadcast;
    }

    function restorePolicy(program: Program): void {
        const engine = program.turns.findLast(turn => turn.messages.length > 0)?.answer?.upstream;
        const root = program.parent ?? program.key;
        policy.restoreProgram(program.key, root, attainedTokens(program), engine, clock.monotonic());
    }

    return { openSteps, finish, recordUnknownOutcome, replayAnswer, restorePolicy };
}

function completionOf(answer: Answer, sequence: number, durability: Durability): Completion {
    const { reason, status, promptTokens, cachedTokens, tokens, upstream, toolCalls } = answer;
    return {
        reason,
        status,
        promptTokens,
        cachedTokens,
        tokens,
        durability,
        sequence,
        upstream,
        ...toolCalls === undefined ? {} : { toolCalls },
    };
}
