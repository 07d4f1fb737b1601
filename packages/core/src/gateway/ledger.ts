/**
 * Tokens reserved for one gateway, which may assign them to turns without a further write. They count as generated
 * until the gateway settles them. `serial` numbers the gateway's writes, so that a write whose answer was lost is
 * recognised.
 */
export interface Grant {
    readonly holder: string;
    readonly serial: number;
    readonly tokens: number;
}

/** Token usage of one program: tokens already generated, and grants to gateways. */
export interface TokenLedger {
    readonly spent: number;
    readonly grants: readonly Grant[];
}

/** Ledger of a program without turns. */
export const emptyLedger: TokenLedger = { spent: 0, grants: [] };

/** Update of a ledger by one gateway. */
export interface GrantRequest {
    readonly holder: string;
    readonly serial: number;
    /** Tokens generated under the current grant since the last write. */
    readonly used: number;
    /** Minimum size of the new grant. */
    readonly needed: number;
    /** Additional tokens requested for future turns; granted only while little of the budget is committed. */
    readonly spare: number;
    readonly budget: number;
}

/**
 * While the committed share of the budget is at most this, grants may include spare tokens and stay idle for a while.
 * The limit is needed because the grant of a gateway that dies counts as spent.
 */
const idleGrantShare = 0.4;

/** Tokens that have been generated or are granted. */
export function committedTokens({ spent, grants }: TokenLedger): number {
    return grants.reduce((sum, grant) => sum + grant.tokens, spent);
}

/** Whether so little of the budget is committed that gateways may keep idle grants for a while. */
export function allowsIdleGrants(ledger: TokenLedger, budget: number): boolean {
    return committedTokens(ledger) <= budget * idleGrantShare;
}

/** Returns the grant of a holder, if it has one. */
export function findGrant({ grants }: TokenLedger, holder: string): Grant | undefined {
    return grants.find(grant => grant.holder === holder);
}

/**
 * Adds the used tokens to those spent and replaces the holder's grant; undefined if the budget cannot cover the needed
 * tokens. Idempotent: a request that was already applied changes nothing.
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
    // A large grant near the end of the budget would make other gateways refuse turns that the budget still covers.
    const maxExtra = Math.max(0, Math.floor(budget * idleGrantShare - committed));
    const extra = needed > 0 ? Math.min(spare, maxExtra) : 0;
    return { ...settled, grants: [...otherGrants, { holder, serial, tokens: needed + extra }] };
}
