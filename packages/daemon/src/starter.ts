import { refuse } from "@tamarackgauge/core";
import type { Clock, Refusal } from "@tamarackgauge/core";
import type { Budgets } from "./budgets.ts";
import type { Finisher, Record, Save } from "./finish.ts";
import type { Live, Partition } from "./partition.ts";
import { movedRefusal } from "./running.ts";
import type { Running } from "./running.ts";
import { sleep, within } from "./wait.ts";

/** What every call needs before it is dispatched. */
export interface Starter {
    /** Gives the program a slot among the programs at once of its plan. */
    takeSlot(live: Live): Promise<Refusal | undefined>;
    /** Takes the slot back from a program of which nothing was recorded. */
    dropSlot(live: Live): void;
    /** Stores the intent of a call that may not be repeated; a refusal means that it must not be dispatched. */
    commitIntent(partition: Partition, live: Live, running: Running): Promise<Refusal | undefined>;
    /** Records that the call of the intent was not dispatched. */
    withdrawIntent(partition: Partition, live: Live, running: Running): void;
}

/** Options of the starter. */
export interface StarterOptions {
    readonly budgets: Budgets;
    readonly clock: Clock;
    readonly finisher: Finisher;
    readonly record: Record;
    readonly save: Save;
    readonly isSubAgent: (live: Live) => Promise<boolean>;
    readonly gate: (atMostOnce: boolean) => Refusal | undefined;
}

/** An intent that the store has not confirmed after this time (milliseconds) is given up. */
const intentPatience = 3_000;
/** A program under way waits this long for a slot when its owner has changed: the old owner may still hold it. */
const slotPatience = 5_000;
const slotPause = 200;

/** Creates the starter. */
export function createStarter(options: StarterOptions): Starter {
    const { budgets, clock, finisher, record, save, gate } = options;

    async function takeSlot(live: Live): Promise<Refusal | undefined> {
        if (live.slot || await options.isSubAgent(live)) {
            return undefined;
        }
        const deadline = clock.monotonic() + (live.opened ? slotPatience : 0);
        for (;;) {
            const refusal = await budgets.takeSlot(live.program.plan);
            if (refusal === undefined) {
                live.slot = true;
                return undefined;
            }
            if (clock.monotonic() >= deadline) {
                return refusal;
            }
            await sleep(slotPause);
        }
    }

    function dropSlot(live: Live): void {
        if (live.slot && !live.opened) {
            live.slot = false;
            budgets.freeSlot(live.program.plan);
        }
    }

    async function commitIntent(partition: Partition, live: Live, running: Running): Promise<Refusal | undefined> {
        const { call, sequence } = running;
        if (running.signal.aborted) {
            return stopped();
        }
        running.movable = false;
        const { request, digest } = call;
        const stored = save(partition, live, [...finisher.openStep(live), {
            type: "intent",
            program: live.program.key,
            request,
            sequence,
            digest,
        }]);
        if (await within(stored.then(() => true), intentPatience) === undefined) {
            withdrawIntent(partition, live, running);
            return refuse("store_unavailable", "notRun", undefined, intentPatience);
        }
        running.cause = record(call, "intentCommitted", running.cause);
        // The lease may have expired while the intent was stored; a successor may be about to answer for the call.
        const closed = running.signal.aborted ? stopped() : gate(true);
        if (closed !== undefined) {
            withdrawIntent(partition, live, running);
        }
        return closed;
    }

    /** The readers of a stopped call have their answer; this one only ends its run. */
    function stopped(): Refusal {
        return movedRefusal("the call was stopped before it was dispatched");
    }

    function withdrawIntent(partition: Partition, live: Live, running: Running): void {
        const { request } = running.call;
        save(partition, live, [{ type: "withdraw", program: live.program.key, request }]).catch(() => undefined);
    }

    return { takeSlot, dropSlot, commitIntent, withdrawIntent };
}
