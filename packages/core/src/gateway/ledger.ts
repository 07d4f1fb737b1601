/**
 * Tokens that one gateway may hand out without asking, counted as generated until it says otherwise. `serial` numbers its
 * writes, so that a write whose answer was lost is recognised.
 */
export interface Grant {
    readonly holder: string;
    readonly serial: number;
    readonly tokens: number;
}

/** The tokens of one program: those that have been generated, and those that gateways may hand out. */
export interface TokenLedger {
    readonly spent: number;
    readonly grants: readonly Grant[];
}

/** The ledger of a program without turns. */
export const emptyLedger: TokenLedger = { spent: 0, grants: [] };

/** What a gateway writes into a ledger. */
export interface GrantRequest {
    readonly holder: string;
    readonly serial: number;
    /** Tokens that were generated under the present grant since it was last written. */
    readonly used: number;
    /** The least that the new grant must hold. */
    readonly needed: number;
    /** More that is taken for turns to come, as far as the budget is ample. */
    readonly spare: number;
    readonly budget: number;
}

/**
 * Up to this share of a budget a grant may hold more than is needed and lie idle for a while: what a gateway that dies
 * holds counts as spent.
 */
const idleGrantShare = 0.4;

/** Tokens that are or may still be generated. */
export function committedTokens({ spent, grants }: TokenLedger): number {
    return grants.reduce((sum, grant) => sum + grant.tokens, spent);
}

/** Whether so little of a budget is committed that grants need not be given back soon. */
export function allowsIdleGrants(ledger: TokenLedger, budget: number): boolean {
    return committedTokens(ledger) <= budget * idleGrantShare;
}

/** The grant of a holder, if it has one. */
export function findGrant({ grants }: TokenLedger, holder: string): Grant | undefined {
    return grants.find(grant => grant.holder === holder);
}

/**
 * Settles what was used and replaces the holder's grant; undefined if the budget does not hold what is needed.
 * A request that has been applied changes nothing.
 */
export function renewGrant(ledger: TokenLedger, request: GrantRequest): TokenLedger | undefined {
    const { holder, serial, used, needed, spare, budget } = request;
    if ((findGrant(ledger, holder)?.serial ?? -1) >= serial) {
        return ledger;
    }
    const otherGrants = ledger.grants.filter(grant => grant.holder !== holder);
    const settled: TokenLedger = { spent: ledger.spent + used, grants: otherGrants };
    const committed = committedTokens(settled) + needed;
    if (needed > 0 && committed > budget) {
        return undefined;
    }
    // A large grant near the end of the budget would make other gateways refuse what the budget still holds.
    const maxExtra = Math.max(0, Math.floor(budget * idleGrantShare - committed));
    const extra = needed > 0 ? Math.min(spare, maxExtra) : 0;
    return { ...settled, grants: [...otherGrants, { holder, serial, tokens: needed + extra }] };
}
