import { z } from "zod";

/** What a daemon holds of a plan: tokens it may still have to account for and slots for programs. */
const holder = z.object({
    incarnation: z.string(),
    /** Number of the holder's last update, to tell after a lost reply whether it was applied. */
    serial: z.number().int().nonnegative(),
    /** Tokens granted and neither reported as used nor given back. */
    tokens: z.number().int().nonnegative(),
    slots: z.number().int().nonnegative(),
});

type Holder = z.infer<typeof holder>;

/** The ledger of a plan: one row of the table service, changed by compare-and-set. Unit: generated tokens. */
export const ledger = z.object({
    spent: z.number().int().nonnegative(),
    /** Part of `spent` that dead daemons never accounted for. */
    stranded: z.number().int().nonnegative(),
    holders: z.record(z.string(), holder),
});

/** The ledger of a plan. */
export type Ledger = z.infer<typeof ledger>;

/** The ledger of a plan that was never used. */
export const emptyLedger: Ledger = { spent: 0, stranded: 0, holders: {} };

/** A plan's limits as the operator set them. */
export interface PlanLimits {
    readonly budgetTokens: number;
    readonly programsAtOnce: number;
}

/** A described change of a ledger. */
export type LedgerStep =
    /**
     * A holder accounts for what it used and states what it wants to hold from now on. Tokens and slots above what
     * it wants are given back; below, it is granted what the limits still allow.
     */
    | {
        readonly type: "update";
        readonly holder: string;
        readonly incarnation: string;
        /** Number of this update; one that the row already carries is not applied again. */
        readonly serial: number;
        readonly used: number;
        readonly tokens: number;
        readonly slots: number;
        readonly limits: PlanLimits;
    }
    /** A holder died: its slots are free, its tokens count as spent. */
    | { readonly type: "bury"; readonly holder: string; };

/** Tokens that no further grant may touch: spent and granted. */
export function committedTokens(row: Ledger): number {
    return Object.values(row.holders).reduce((sum, entry) => sum + entry.tokens, row.spent);
}

/** Slots that all holders have. */
export function grantedSlots(row: Ledger): number {
    return Object.values(row.holders).reduce((sum, entry) => sum + entry.slots, 0);
}

/** Tokens that a holder can hold at most after it has accounted for `used` tokens. */
export function grantableTokens(row: Ledger, holder: string, used: number, budgetTokens: number): number {
    const held = row.holders[holder]?.tokens ?? 0;
    const free = budgetTokens - committedTokens(row) - Math.max(0, used - held);
    return Math.max(0, held - used) + Math.max(0, free);
}

/**
 * Applies a step; the given ledger stays as it is.
 * Invariant: spent + granted tokens never grow beyond the budget, whatever a holder does later.
 */
export function applyLedgerStep(row: Ledger, step: LedgerStep): Ledger {
    if (step.type === "bury") {
        return writeOffHolder(row, step.holder);
    }
    const entry = row.holders[step.holder];
    if (entry === undefined || entry.incarnation === step.incarnation) {
        return applyUpdate(row, entry ?? { incarnation: step.incarnation, serial: 0, tokens: 0, slots: 0 }, step);
    }
    // An earlier incarnation of the same daemon is as dead as any other holder.
    return applyLedgerStep(writeOffHolder(row, step.holder), step);
}

function applyUpdate(row: Ledger, entry: Holder, step: Extract<LedgerStep, { type: "update"; }>): Ledger {
    if (entry.serial >= step.serial) {
        return row;
    }
    const spent = row.spent + step.used;
    const tokens = Math.min(step.tokens, grantableTokens(row, step.holder, step.used, step.limits.budgetTokens));
    const freeSlots = Math.max(0, step.limits.programsAtOnce - grantedSlots(row));
    // A lowered limit takes no slot away: programs under way go on.
    const slots = Math.min(step.slots, entry.slots + freeSlots);
    const next: Holder = { incarnation: step.incarnation, serial: step.serial, tokens, slots };
    return { ...row, spent, holders: { ...row.holders, [step.holder]: next } };
}

function writeOffHolder(row: Ledger, name: string): Ledger {
    const entry = row.holders[name];
    if (entry === undefined) {
        return row;
    }
    const holders = { ...row.holders };
    delete holders[name];
    return { spent: row.spent + entry.tokens, stranded: row.stranded + entry.tokens, holders };
}

/** The tokens and slots that a daemon holds of a plan, and what its calls reserve. */
export interface Allotment {
    /** Granted and not yet accounted for in the ledger. */
    readonly granted: number;
    /** Used and not yet settled in the ledger. */
    readonly used: number;
    /** Reserved by calls in flight at their worst case. */
    readonly reserved: number;
}

/** An allotment of nothing. */
export const emptyAllotment: Allotment = { granted: 0, used: 0, reserved: 0 };

/** Tokens that a new call may reserve. */
export function availableTokens(allotment: Allotment): number {
    return allotment.granted - allotment.used - allotment.reserved;
}

/** Reserves the worst case of a call; undefined when the allotment does not cover it. */
export function addReservation(allotment: Allotment, tokens: number): Allotment | undefined {
    return availableTokens(allotment) < tokens ? undefined : { ...allotment, reserved: allotment.reserved + tokens };
}

/** Ends a reservation of a call that used some of it. */
export function endReservation(allotment: Allotment, reserved: number, used: number): Allotment {
    return { ...allotment, reserved: allotment.reserved - reserved, used: allotment.used + used };
}
