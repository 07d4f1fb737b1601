import { maxWait, outageEndsWithin, type RefusalCause, scopedId } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import { isDecidedAtSend, overloadRefusal, permitRefusal } from "./admission.ts";
import type { BudgetedTurn, Budgets, ReservationResult, TokenReservation } from "./budgets.ts";
import type { ReceivedCall } from "./sendPlan.ts";
import type { SendParts } from "./sends.ts";
import type { Turn } from "./turnRow.ts";
import type { History, Turns } from "./turns.ts";

/** What a turn needs from the store before it may run. */
export interface PreparedTurn {
    readonly kind: "prepared";
    readonly reservation: TokenReservation;
    readonly history: readonly Turn[];
    /** Whether the turn is admitted; otherwise that is decided when its upstream is chosen. */
    readonly isAdmitted: boolean;
}

/** Why a turn may not run. `left`: its caller has left or its time has ended before it was prepared. */
export type TurnRefusal =
    | { readonly kind: "refused"; readonly cause: RefusalCause; }
    | { readonly kind: "noSuchTurn"; }
    | { readonly kind: "budgetSpent"; }
    | { readonly kind: "left"; };

/** Parts that the preparation of turns needs. */
export interface TurnPreparationParts extends SendParts {
    readonly budgets: Budgets;
    readonly turns: Turns;
    readonly storeOutage: StoreOutage;
}

/** The state of the store as this gateway knows it. */
export interface StoreOutage {
    /** Milliseconds for which the store has been unreachable, directly and through peers; 0 while it can be reached. */
    age(): number;
    /** Whether no other gateway can be reached either. */
    isIsolated(): boolean;
    /** Resolves when the store can be reached again, after `maxMs`, or when the signal is aborted. */
    ended(maxMs: number, signal: AbortSignal): Promise<void>;
}

/** Interval between two tries of a turn while the store answers, but not for the parts that hold its rows. */
const partRetryIntervalMs = 150;

/** Reservation of a turn that has no token budget. */
const unlimitedReservation: TokenReservation = { settle: () => undefined };

/**
 * Reserves a turn's tokens and finds the turns before it. While the store does not answer, the turn waits for it, because
 * its caller tries only a few times. The signal is aborted when the caller leaves or the call's time has ended; the turn
 * then waits no longer.
 */
export async function prepareTurn(parts: TurnPreparationParts, call: ReceivedCall,
    signal: AbortSignal): Promise<PreparedTurn | TurnRefusal> {
    const { storeOutage, now } = parts;
    const waitsUntil = call.arrivedAt +
        maxWait({ timeLeft: call.deadlineAt - call.arrivedAt, patience: call.route.callerPatience });
    const left = leftWhenAborted(signal);
    while (!signal.aborted) {
        const result = cannotFinishDuringOutage(parts, call)
            ? "unavailable"
            : await firstOf(tryToPrepare(parts, call), left, parts, call);
        if (result !== "unavailable") {
            return result;
        }
        const waitLeft = waitsUntil - now();
        const isolated = storeOutage.isIsolated();
        if (waitLeft <= 0 || isolated) {
            return { kind: "refused", cause: { kind: "storeAway", isolated } };
        }
        await waitForStore(storeOutage, waitLeft, signal);
    }
    return { kind: "left" };
}

type PreparationResult = PreparedTurn | TurnRefusal | "unavailable";

/** Resolves when the signal is aborted. */
function leftWhenAborted(signal: AbortSignal): Promise<TurnRefusal> {
    return new Promise(resolve => signal.addEventListener("abort", () => resolve({ kind: "left" }), { once: true }));
}

/** Returns the result of a preparation, or `left` if that comes first; what is then reserved later is given back. */
async function firstOf(preparation: Promise<PreparationResult>, left: Promise<TurnRefusal>,
    { log }: TurnPreparationParts, { head }: ReceivedCall): Promise<PreparationResult> {
    const first = await Promise.race([preparation, left]);
    if (typeof first !== "string" && first.kind === "left") {
        preparation.then(giveBack, (error: Error) =>
            log.warn("turn.notPrepared", { call: head.id, program: head.program, reason: error.message }));
    }
    return first;
}

function giveBack(result: PreparationResult): void {
    if (typeof result !== "string" && result.kind === "prepared") {
        result.reservation.settle(0);
    }
}

/** Waits at most `waitLeft` until the outage ends or, if only parts of the store are away, for a short while. */
async function waitForStore(outage: StoreOutage, waitLeft: number, signal: AbortSignal): Promise<void> {
    if (outage.age() > 0) {
        await outage.ended(waitLeft, signal);
        return;
    }
    // A rejection means that the signal was aborted, which the caller of this function checks.
    await sleep(Math.min(waitLeft, partRetryIntervalMs), undefined, { signal }).catch(() => undefined);
}

/**
 * While the store is unavailable, a program cannot start because no tokens are reserved for it yet. A turn of a running
 * program may run if the store is expected to recover while its caller still waits for the last event; its history and
 * its tokens may be available in this process.
 */
function cannotFinishDuringOutage({ storeOutage, now }: TurnPreparationParts,
    { head, route, deadlineAt }: ReceivedCall): boolean {
    const outageAge = storeOutage.age();
    const time = Math.min(deadlineAt - now(), route.callerPatience);
    return route.retention !== undefined && outageAge > 0 &&
        (head.previousTurn === undefined || !outageEndsWithin(time, outageAge));
}

/** Prepares the turn with what the store answers now; `unavailable` if it does not answer. */
async function tryToPrepare(parts: TurnPreparationParts, call: ReceivedCall): Promise<PreparationResult> {
    const isAdmitted = !isDecidedAtSend(parts, call);
    const refusal = isAdmitted ? overloadRefusal(parts, call) : permitRefusal(parts, call);
    if (refusal !== undefined) {
        return { kind: "refused", cause: refusal };
    }
    const historyLookup = findHistory(parts, call);
    // Prevents an unhandled rejection while the reservation is pending; the await below handles the failure.
    historyLookup.catch(() => undefined);
    const reservation = await reserve(parts, call);
    let history: History | undefined;
    try {
        history = await historyLookup;
    }
    finally {
        if (typeof reservation !== "string" && !Array.isArray(history)) {
            reservation.settle(0);
        }
    }
    if (history === "noRoom") {
        return { kind: "refused", cause: { kind: "memoryFull" } };
    }
    if (reservation === "unavailable" || history === "unavailable") {
        return "unavailable";
    }
    if (history === "unknown") {
        return { kind: "noSuchTurn" };
    }
    return reservation === "exhausted"
        ? { kind: "budgetSpent" }
        : { kind: "prepared", reservation, history, isAdmitted };
}

async function findHistory({ turns }: TurnPreparationParts,
    { head, route, scope, byteAccount }: ReceivedCall): Promise<History> {
    return route.retention === undefined || head.previousTurn === undefined
        ? []
        : turns.history(scope, head.previousTurn, byteAccount);
}

async function reserve({ budgets }: TurnPreparationParts, { head, scope }: ReceivedCall): Promise<ReservationResult> {
    if (head.tokenBudget === undefined) {
        return unlimitedReservation;
    }
    const turn: BudgetedTurn = { program: scopedId(scope, head.program ?? head.id), most: head.maxTokens,
        budget: head.tokenBudget };
    return budgets.reserve(turn);
}
