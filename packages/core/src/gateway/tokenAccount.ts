import type { Grant } from "./ledger.ts";

/** A write of a grant; `used` is what it settles. */
export interface GrantWrite {
    readonly serial: number;
    used: number;
}

/**
 * The tokens of a program as one gateway holds them.
 * Invariant: used + running never exceed what the program's row counts for this gateway, whichever of the writes without
 * an answer was applied.
 */
export interface TokenAccount {
    /** Tokens that may be handed out under the own grant, those used since the last write included. */
    granted: number;
    /** Tokens generated since the last write. Tokens that a borrower returns can make it negative. */
    used: number;
    /** The most that running turns may generate. */
    reserved: number;
    /** Writes without an answer, by serial number. At most one of them was applied: each has the same condition. */
    readonly uncertainWrites: Map<number, GrantWrite>;
}

/** An account without tokens. */
export function createTokenAccount(): TokenAccount {
    return { granted: 0, used: 0, reserved: 0, uncertainWrites: new Map() };
}

/** Whether the account holds a turn's most. */
export function canReserve(account: TokenAccount, maxTokens: number): boolean {
    return account.used + account.reserved + maxTokens <= account.granted;
}

/** A turn begins that generates at most this. */
export function beginTurn(account: TokenAccount, maxTokens: number): void {
    account.reserved += maxTokens;
}

/** A turn of at most `most` has generated `used`. */
export function endTurn(account: TokenAccount, maxTokens: number, used: number): void {
    account.reserved -= maxTokens;
    account.used += used;
}

/** Tokens that counted as generated have not been. */
export function returnTokens(account: TokenAccount, tokens: number): void {
    account.used -= tokens;
}

/** Begins a write that settles what was used so far. */
export function beginWrite(account: TokenAccount, serial: number): GrantWrite {
    return { serial, used: account.used };
}

/** Compares the grant in a row that was read with the writes without an answer: what one of them settled is settled. */
export function reconcile(account: TokenAccount, write: GrantWrite, grant: Grant | undefined): void {
    const applied = grant === undefined ? undefined : account.uncertainWrites.get(grant.serial);
    if (applied === undefined) {
        return;
    }
    // The others have lost their condition.
    account.uncertainWrites.clear();
    account.granted = grant!.tokens;
    account.used -= applied.used;
    write.used -= applied.used;
}

/** Hands out no more than a write will grant that may be applied without an answer. */
export function limitGrant(account: TokenAccount, needed: number): void {
    account.granted = Math.min(account.granted, account.used + needed);
}

/** A write was applied and granted so many tokens. */
export function confirmWrite(account: TokenAccount, write: GrantWrite, granted: number): void {
    account.uncertainWrites.clear();
    account.granted = granted;
    account.used -= write.used;
}

/** A write had no answer. */
export function recordUncertainWrite(account: TokenAccount, write: GrantWrite): void {
    account.uncertainWrites.set(write.serial, write);
}

/** Whether the row shows all that is known here and grants nothing; a write without an answer may have taken a grant. */
export function isSettled({ granted, used, uncertainWrites }: TokenAccount): boolean {
    return granted === 0 && used === 0 && uncertainWrites.size === 0;
}

/** Whether the row may still show more than running turns need. */
export function hasIdleTokens({ granted, reserved, uncertainWrites }: TokenAccount): boolean {
    return granted > reserved || uncertainWrites.size > 0;
}
