import type { RowRange, StoreChange, StoreFailure } from "@tamarackgauge/core/gateway";
import type { BudgetedTurn } from "./budgets.ts";

/** A call of the store that another gateway is asked to make; times in milliseconds. */
export type RelayedCall =
    | { readonly kind: "read"; readonly range: RowRange; readonly timeout: number; }
    | { readonly kind: "change"; readonly change: StoreChange; readonly timeout: number; }
    | { readonly kind: "feed"; readonly table: string; readonly after: number; readonly wait: number; };

/** What a gateway asks of the one that keeps the tokens of a program. */
export type TokenCall =
    /** Counts a turn's most as generated; the answer is a `LoanOutcome`. */
    | { readonly kind: "borrow"; readonly turn: BudgetedTurn; }
    /** Tokens that were borrowed and not generated. */
    | { readonly kind: "return"; readonly program: string; readonly tokens: number; }
    /** The asker needs tokens that a grant may hold and no turn uses; the answer is a `RecallOutcome`. */
    | { readonly kind: "recall"; readonly holder: string; readonly program: string; };

/** What gateways ask each other. */
export type PeerCall = RelayedCall | TokenCall;

/** A call with the number that its answer bears. */
export interface PeerRequest {
    readonly id: number;
    readonly call: PeerCall;
}

/** The answer to a call. */
export type PeerAnswer =
    | { readonly id: number; readonly result: unknown; }
    | { readonly id: number; readonly failure: StoreFailure; readonly reason: string; };
