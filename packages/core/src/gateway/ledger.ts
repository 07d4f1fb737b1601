/** A turn that may still generate tokens, counted at its most. */
export interface OpenTurn {
    readonly id: string;
    readonly most: number;
}

/** The tokens of one program: those that ended turns generated, and the turns that have not been settled. */
export interface TokenLedger {
    readonly spent: number;
    readonly open: readonly OpenTurn[];
}

/** The ledger of a program without turns. */
export const emptyLedger: TokenLedger = { spent: 0, open: [] };

/** Tokens that are or may still be generated. */
export function committedTokens({ spent, open }: TokenLedger): number {
    return open.reduce((sum, turn) => sum + turn.most, spent);
}

/**
 * Reserves a turn's tokens; undefined if the budget does not hold them. Reserving a turn again changes nothing, as
 * a write without an answer may have been applied.
 */
export function reserveTokens(ledger: TokenLedger, turn: OpenTurn, budget: number): TokenLedger | undefined {
    if (ledger.open.some(({ id }) => id === turn.id)) {
        return ledger;
    }
    return committedTokens(ledger) + turn.most > budget
        ? undefined
        : { spent: ledger.spent, open: [...ledger.open, turn] };
}

/** Replaces a turn's reservation by the tokens that it generated. Settling a turn again changes nothing. */
export function settleTokens(ledger: TokenLedger, id: string, used: number): TokenLedger {
    const open = ledger.open.filter(turn => turn.id !== id);
    return open.length === ledger.open.length ? ledger : { spent: ledger.spent + used, open };
}
