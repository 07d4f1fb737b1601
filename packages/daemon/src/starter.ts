import { refuse } from "@tamarackgauge/core";
import type { Clock, Refusal } from "@tamarackgauge/core";
import type { Budgets } from "./budgets.ts";
import type { Finisher, RecordCallEvent, Save } from "./finish.ts";
import type { Partition, ProgramState } from "./partition.ts";
import { movedRefusal } from "./running.ts";
import type { RunningCall } from "./running.ts";
import { sleep, withTimeout } from "./wait.ts";

/** Prepares calls for dispatch: program slots and intents. */
export interface Starter {
    /** Takes one of the plan's slots for concurrent programs, unless the program has a slot or needs none. */
    takeSlot(state: ProgramState): Promise<Refusal | undefined>;
    /** Frees the slot of a program that has no step in the journal. */
    releaseUnusedSlot(state: ProgramState): void;
    /** Stores the intent of an at-most-once call; if it returns a refusal, the call must not be dispatched. */
    commitIntent(partition: Partition, state: ProgramState, running: RunningCall): Promise<Refusal | undefined>;
    /** Records that the call was not dispatched, so that it can run later. */
    withdrawIntent(partition: Partition, state: ProgramState, running: RunningCall): void;
}

/** Options of the starter. */
export interface StarterOptions {
    readonly budgets: Budgets;
    readonly clock: Clock;
    readonly finisher: Finisher;
    readonly record: RecordCallEvent;
    readonly save: Save;
    readonly isSubAgent: (state: ProgramState) => Promise<boolean>;
    readonly admit: (atMostOnce: boolean) => Refusal | undefined;
}

/** The call is refused if the store has not confirmed its intent within this time. */
const intentTimeoutMs = 3_000;
/** How long a program that has already started waits for a slot: after a change of owner, the old owner may hold it. */
const slotTimeoutMs = 5_000;
const slotRetryIntervalMs = 200;

/** Creates the starter. */
export function createStarter(options: StarterOptions): Starter {
    const { budgets, clock, finisher, record, save, admit } = options;

    async function takeSlot(state: ProgramState): Promise<Refusal | undefined> {
        if (state.hasSlot || await options.isSubAgent(state)) {
            return undefined;
        }
        const deadline = clock.monotonic() + (state.opened ? slotTimeoutMs : 0);
        for (;;) {
            const refusal = await budgets.takeSlot(state.program.plan);
            if (refusal === undefined) {
                state.hasSlot = true;
                return undefined;
            }
            if (clock.monotonic() >= deadline) {
                return refusal;
            }
            await sleep(slotRetryIntervalMs);
        }
    }

    function releaseUnusedSlot(state: ProgramState): void {
        if (state.hasSlot && !state.opened) {
            state.hasSlot = false;
            budgets.freeSlot(state.program.plan);
        }
    }

    async function commitIntent(partition: Partition, state: ProgramState,
        running: RunningCall): Promise<Refusal | undefined> {
        const { call, sequence } = running;
        if (running.signal.aborted) {
            return stoppedRefusal();
        }
        running.movable = false;
        const { request, digest } = call;
        const stored = save(partition, state, [...finisher.openSteps(state), {
            type: "intent",
            program: state.program.key,
            request,
            sequence,
            digest,
        }]);
        if (await withTimeout(stored.then(() => true), intentTimeoutMs) === undefined) {
            withdrawIntent(partition, state, running);
            return refuse("store_unavailable", "notRun", undefined, intentTimeoutMs);
        }
        running.cause = record(call, "intentCommitted", running.cause);
        // The lease may have expired while the intent was being stored, and another daemon may take the call over.
        const refusal = running.signal.aborted ? stoppedRefusal() : admit(true);
        if (refusal !== undefined) {
            withdrawIntent(partition, state, running);
        }
        return refusal;
    }

    /** Ends the run of a stopped call; its readers have already received their refusal. */
    function stoppedRefusal(): Refusal {
        return movedRefusal("the call was stopped before it was dispatched");
    }

    function withdrawIntent(partition: Partition, state: ProgramState, running: RunningCall): void {
        const { request } = running.call;
        save(partition, state, [{ type: "withdraw", program: state.program.key, request }]).catch(() => undefined);
    }

    return { takeSlot, releaseUnusedSlot, commitIntent, withdrawIntent };
}
