import { z } from "zod";

/** A daemon's share of a plan: granted tokens and program slots. */
const holder = z.object({
    incarnation: z.string(),
    /** Serial number of the holder's last update; shows after a lost reply whether the update was applied. */
    serial: z.number().int().nonnegative(),
    /** Granted tokens that were neither reported as used nor returned. */
    tokens: z.number().int().nonnegative(),
    slots: z.number().int().nonnegative(),
});

type Holder = z.infer<typeof holder>;

/** The ledger of a plan, one row of the table service that is changed by compare-and-set. Unit: generated tokens. */
export const ledger = z.object({
    spent: z.number().int().nonnegative(),
    /** Part of `spent` that was granted to failed daemons and never reported as used. */
    stranded: z.number().int().nonnegative(),
    holders: z.record(z.string(), holder),
});

/** The ledger of a plan. */
export type Ledger = z.infer<typeof ledger>;

/** The ledger of an unused plan. */
export const emptyLedger: Ledger = { spent: 0, stranded: 0, holders: {} };

/** Limits of a plan, set by the operator. */
export interface PlanLimits {
    readonly budgetTokens: number;
    readonly programsAtOnce: number;
}

/** A change of a ledger. */
export type LedgerStep =
    /**
     * A holder reports the tokens that it used and requests the tokens and slots that it wants to hold. Anything above
     * the request is returned; anything below is granted as far as the limits allow.
     */
    | {
        readonly type: "update";
        readonly holder: string;
        readonly incarnation: string;
        /** Serial number of this update; an update that the row already contains is not applied again. */
        readonly serial: number;
        readonly used: number;
        readonly tokens: number;
        readonly slots: number;
        readonly limits: PlanLimits;
    }
    /** A holder failed: its slots are freed and its tokens count as spent. */
    | { readonly type: "bury"; readonly holder: string; };

/** Tokens that are spent or granted and therefore not available for new grants. */
export function committedTokens(row: Ledger): number {
    return Object.values(row.holders).reduce((sum, entry) => sum + entry.tokens, row.spent);
}

/** Sum of the slots of all holders. */
export function grantedSlots(row: Ledger): number {
    return Object.values(row.holders).reduce((sum, entry) => sum + entry.slots, 0);
}

/** Maximum number of tokens that a holder can hold after it has reported `used` tokens. */
export function grantableTokens(row: Ledger, holder: string, used: number, budgetTokens: number): number {
    const held = row.holders[holder]?.tokens ?? 0;
    const free = budgetTokens - committedTokens(row) - Math.max(0, used - held);
    return Math.max(0, held - used) + Math.max(0, free);
}

/**
 * Returns the ledger after a step; the given ledger is not modified.
 * Invariant: the sum of spent and granted tokens never grows above the budget, whatever a holder does later.
 */
export function applyLedgerStep(row: Ledger, step: LedgerStep): Ledger {
    if (step.type === "bury") {
        return writeOffHolder(row, step.holder);
    }
    const entry = row.holders[step.holder];
    if (entry === undefined || entry.incarnation === step.incarnation) {
        return applyUpdate(row, entry ?? { incarnation: step.incarnation, serial: 0, tokens: 0, slots: 0 }, step);
    }
    // The entry belongs to an earlier incarnation of the daemon, which no longer runs.
    return applyLedgerStep(writeOffHolder(row, step.holder), step);
}

function applyUpdate(row: Ledger, entry: Holder, step: Extract<LedgerStep, { type: "update"; }>): Ledger {
    if (entry.serial >= step.serial) {
        return row;
    }
    const spent = row.spent + step.used;
    const tokens = Math.min(step.tokens, grantableTokens(row, step.holder, step.used, step.limits.budgetTokens));
    const freeSlots = Math.max(0, step.limits.programsAtOnce - grantedSlots(row));
    // A lowered limit does not remove granted slots, so running programs continue.
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

/** The tokens of a plan that a daemon holds, and the reservations of its calls. */
export interface Allotment {
    /** Tokens granted by the ledger, less those already reported to it as used. */
    readonly granted: number;
    /** Tokens used and not yet reported to the ledger. */
    readonly used: number;
    /** Tokens reserved by calls in flight, each for its maximum number of generated tokens. */
    readonly reserved: number;
}

/** An allotment without tokens. */
export const emptyAllotment: Allotment = { granted: 0, used: 0, reserved: 0 };

/** Tokens that new calls can reserve. */
export function availableTokens(allotment: Allotment): number {
    return allotment.granted - allotment.used - allotment.reserved;
}

/** Reserves the maximum number of tokens of a call; undefined if the allotment does not cover it. */
export function addReservation(allotment: Allotment, tokens: number): Allotment | undefined {
    return availableTokens(allotment) < tokens ? undefined : { ...allotment, reserved: allotment.reserved + tokens };
}

/** Ends the reservation of a finished call and counts the tokens that the call used. */
export function endReservation(allotment: Allotment, reserved: number, used: number): Allotment {
    return { ...allotment, reserved: allotment.reserved - reserved, used: allotment.used + used };
}
