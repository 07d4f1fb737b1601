import type { Grant } from "./ledger.ts";

/** A write of a grant; `used` is the number of tokens that it settles. */
export interface GrantWrite {
    readonly serial: number;
    used: number;
}

/**
 * One gateway's account of a program's tokens.
 * Invariant: `used + reserved` never exceeds what the program's row counts for this gateway, whichever of the
 * unanswered writes was applied.
 */
export interface TokenAccount {
    /** Size of this gateway's grant, including the tokens used since the last write. */
    granted: number;
    /** Tokens generated since the last write. Negative if borrowers return more tokens than were used since then. */
    used: number;
    /** Maximum number of tokens that the running turns may still generate. */
    reserved: number;
    /** Unanswered writes by serial number. At most one of them was applied, as all have the same condition. */
    readonly uncertainWrites: Map<number, GrantWrite>;
}

/** Creates an account without tokens. */
export function createTokenAccount(): TokenAccount {
    return { granted: 0, used: 0, reserved: 0, uncertainWrites: new Map() };
}

/** Whether the grant covers a further turn of at most `maxTokens`. */
export function canReserve(account: TokenAccount, maxTokens: number): boolean {
    return account.used + account.reserved + maxTokens <= account.granted;
}

/** Reserves the maximum of a turn that begins. */
export function beginTurn(account: TokenAccount, maxTokens: number): void {
    account.reserved += maxTokens;
}

/** Replaces the reservation of a finished turn by the tokens that it generated. */
export function endTurn(account: TokenAccount, maxTokens: number, used: number): void {
    account.reserved -= maxTokens;
    account.used += used;
}

/** Returns tokens that were counted as used but not generated. */
export function returnTokens(account: TokenAccount, tokens: number): void {
    account.used -= tokens;
}

/** Begins a write that settles the tokens used so far. */
export function beginWrite(account: TokenAccount, serial: number): GrantWrite {
    return { serial, used: account.used };
}

/** Finds out from the grant in a row which unanswered write was applied, and deducts the tokens that it settled. */
export function reconcile(account: TokenAccount, write: GrantWrite, grant: Grant | undefined): void {
    const applied = grant === undefined ? undefined : account.uncertainWrites.get(grant.serial);
    if (applied === undefined) {
        return;
    }
    // The condition of the other writes can no longer hold.
    account.uncertainWrites.clear();
    account.granted = grant!.tokens;
    account.used -= applied.used;
    write.used -= applied.used;
}

/** Limits the grant to what a write requests, before it is sent: it may be applied without an answer. */
export function limitGrant(account: TokenAccount, needed: number): void {
    account.granted = Math.min(account.granted, account.used + needed);
}

/** Records that a write was applied and granted this many tokens. */
export function confirmWrite(account: TokenAccount, write: GrantWrite, granted: number): void {
    account.uncertainWrites.clear();
    account.granted = granted;
    account.used -= write.used;
}

/** Records that a write was not answered, so that it may or may not have been applied. */
export function recordUncertainWrite(account: TokenAccount, write: GrantWrite): void {
    account.uncertainWrites.set(write.serial, write);
}

/**
 * Whether the row has no grant and counts all used tokens. False while a write is unanswered, as it may have taken a
 * grant.
 */
export function isSettled({ granted, used, uncertainWrites }: TokenAccount): boolean {
    return granted === 0 && used === 0 && uncertainWrites.size === 0;
}

/** Whether the grant in the row may be larger than the running turns need. */
export function hasIdleTokens({ granted, reserved, uncertainWrites }: TokenAccount): boolean {
    return granted > reserved || uncertainWrites.size > 0;
}
