import { allowsIdleGrants, beginTurn, beginWrite, canReserve, committedTokens, confirmWrite, createTokenAccount,
    endTurn, findGrant, hasIdleTokens, isSettled, limitGrant, reconcile, recordUncertainWrite, renewGrant, returnTokens,
    StoreError, type TokenAccount, type TokenLedger } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import { type LedgerRow, missingLedgerRow, readLedger, replaceLedger } from "./budgetRow.ts";
import type { Log } from "./log.ts";
import { callWithRetries, type HedgeableStore, urgentRetryPolicy } from "./storeRetry.ts";

/** Reservation of a turn's maximum number of tokens, which count as generated until it is settled. */
export interface TokenReservation {
    /** Replaces the reserved tokens by those that were generated. */
    settle(used: number): void;
}

/** Result of a reservation. */
export type ReservationResult = TokenReservation | "exhausted" | "unavailable";

/** Result of lending tokens to another gateway. */
export type LoanOutcome = "lent" | "exhausted" | "unavailable";

/** A turn whose tokens count towards a budget. */
export interface BudgetedTurn {
    readonly program: string;
    /** Maximum number of tokens that the turn generates. */
    readonly most: number;
    /** Maximum number of tokens that all turns of the program may generate. */
    readonly budget: number;
}

/**
 * Result of recalling a grant. `settled`: the grant in the row holds only what the running turns need. `gone`: the
 * process that holds the grant has ended. `pending`: the holder may still return tokens.
 */
export type RecallOutcome = "settled" | "gone" | "pending";

/**
 * Lends tokens to other gateways. Lent tokens count as generated until they are returned. If a borrower dies or an
 * answer is lost, the program therefore loses tokens, but never exceeds its budget.
 */
export interface TokenLender {
    lend(turn: BudgetedTurn): Promise<LoanOutcome>;
    /** Accepts the return of tokens that were borrowed and not generated. */
    acceptReturn(program: string, tokens: number): void;
    /** Immediately returns the tokens of a program's grant that no running turn needs. */
    recall(holder: string, program: string): Promise<RecallOutcome>;
    /** Ends lending, as tokens that are lent by a stopping process could not be returned to it. */
    stopLending(): void;
}

/** Reserves tokens of programs. */
export interface Budgets {
    /** Reserves the maximum number of tokens of a turn. */
    reserve(turn: BudgetedTurn): Promise<ReservationResult>;
}

/** Token budgets of programs, each in one row of the store. The store is called only if the own grant is too small. */
export interface OwnBudgets extends Budgets, TokenLender, Disposable {
    /** Counts tokens as generated that were not reserved here, and writes them to the program's row. */
    book(program: string, tokens: number): void;
    /** Returns the tokens of all grants that no running turn needs. */
    flush(): Promise<void>;
}

/** Dependencies of budgets. */
export interface BudgetsParts {
    readonly store: HedgeableStore;
    /**
     * Identifies this process, so that it does not take the grants of an earlier process with the same name for its
     * own.
     */
    readonly holder: string;
    /** Asks another holder to return the tokens that its turns do not need. */
    readonly recallFrom: (holder: string, program: string) => Promise<RecallOutcome>;
    readonly log: Log;
    readonly now: () => number;
}

/** Number of future turns for which a new grant has spare tokens, as long as the budget allows it. */
const spareTurns = 2;
/** A grant without a running turn is returned after this time: other gateways must see the tokens within a second. */
const idleGrantTimeoutMs = 700;
/** The same while little of the budget is committed, so that the program's next turn can still use the grant. */
const ampleIdleGrantTimeoutMs = 3_000;
const retryDelayMs = 300;
/** Maximum time for which a turn waits for tokens that other gateways may return, and the interval between recalls. */
const maxRecallWaitMs = 900;
const recallIntervalMs = 150;
/** The account of a program without a call for this time is removed from memory; its row stays. */
const accountIdleTimeoutMs = 20_000;

interface PendingReservation {
    readonly turn: BudgetedTurn;
    readonly requestedAt: number;
    readonly resolve: (reservation: ReservationResult) => void;
}

/** A program's budget as this gateway knows it. */
interface Account {
    readonly program: string;
    cachedRow: LedgerRow;
    readonly tokens: TokenAccount;
    pendingReservations: PendingReservation[];
    /** The write of the row that is in progress. No other write starts before it ends. */
    pendingWrite: Promise<void> | undefined;
    returnTimer: NodeJS.Timeout | undefined;
    lastUsedAt: number;
    /** The budget that the last turn specified. */
    budget: number;
    /** Row version at the last logged shortage, so that a program that retries many times a second is logged once. */
    shortageLoggedVersion: number | undefined;
    /** Whether a failed return of the grant was logged, and none has succeeded since. */
    returnFailureLogged: boolean;
}

/** Creates the budgets of the programs whose tokens this gateway reserves. */
export function createBudgets({ store, holder, recallFrom, log, now }: BudgetsParts): OwnBudgets {
    const accounts = new Map<string, Account>();
    const cleanupTimer = setInterval(removeIdleAccounts, accountIdleTimeoutMs / 4);
    let lastSerial = 0;
    let disposed = false;
    let lendingEnabled = true;

    function accountOf(program: string): Account {
        const account = accounts.get(program) ?? createAccount(program);
        accounts.set(program, account);
        account.lastUsedAt = now();
        return account;
    }

    function reserve(turn: BudgetedTurn): Promise<ReservationResult> {
        const account = accountOf(turn.program);
        account.budget = turn.budget;
        return new Promise(resolve => {
            account.pendingReservations.push({ turn, requestedAt: now(), resolve });
            void servePending(account);
        });
    }

    function createReservation({ program, most }: BudgetedTurn): TokenReservation {
        return {
            settle(used) {
                const account = accountOf(program);
                endTurn(account.tokens, most, used);
                scheduleReturn(account, idleGrantTimeoutOf(account));
            },
        };
    }

    async function lend(turn: BudgetedTurn): Promise<LoanOutcome> {
        if (!lendingEnabled) {
            return "unavailable";
        }
        const reservation = await reserve(turn);
        if (typeof reservation === "string") {
            return reservation;
        }
        reservation.settle(turn.most);
        return "lent";
    }

    function acceptReturn(program: string, tokens: number): void {
        const account = accountOf(program);
        returnTokens(account.tokens, tokens);
        scheduleReturn(account, idleGrantTimeoutOf(account));
    }

    /** Not left to the next turn, as the program's next turn may reach another gateway. */
    function book(program: string, tokens: number): void {
        const account = accountOf(program);
        endTurn(account.tokens, 0, tokens);
        void returnGrant(account);
    }

    async function recall(requestedHolder: string, program: string): Promise<RecallOutcome> {
        if (requestedHolder !== holder) {
            return "gone";
        }
        const account = accounts.get(program);
        if (account === undefined) {
            return "settled";
        }
        await returnGrant(account);
        return hasIdleTokens(account.tokens) ? "pending" : "settled";
    }

    function idleGrantTimeoutOf({ cachedRow, budget, tokens }: Account): number {
        return tokens.uncertainWrites.size === 0 && allowsIdleGrants(cachedRow.ledger, budget)
            ? ampleIdleGrantTimeoutMs
            : idleGrantTimeoutMs;
    }

    /** Serves the pending reservations from the grant, and renews the grant for those that it does not cover. */
    async function servePending(account: Account): Promise<void> {
        if (account.pendingWrite !== undefined) {
            return;
        }
        clearTimeout(account.returnTimer);
        account.returnTimer = undefined;
        await runWrite(account, async () => {
            serveFromGrant(account);
            while (account.pendingReservations.length > 0) {
                await serveByRenewal(account);
                serveFromGrant(account);
            }
        });
        if (account.pendingReservations.length > 0) {
            // A reservation that arrived after the last check was not served, as the write was still in progress.
            await servePending(account);
            return;
        }
        scheduleReturn(account, idleGrantTimeoutOf(account));
    }

    function runWrite(account: Account, work: () => Promise<void>): Promise<void> {
        account.pendingWrite = work().finally(() => {
            account.pendingWrite = undefined;
        });
        return account.pendingWrite;
    }

    function serveFromGrant(account: Account): void {
        while (account.pendingReservations.length > 0) {
            const { turn, resolve } = account.pendingReservations[0]!;
            if (!canReserve(account.tokens, turn.most)) {
                return;
            }
            account.pendingReservations.shift();
            beginTurn(account.tokens, turn.most);
            resolve(createReservation(turn));
        }
    }

    async function serveByRenewal(account: Account): Promise<void> {
        const { turn, requestedAt, resolve } = account.pendingReservations[0]!;
        try {
            if (await renewOwnGrant(account, account.tokens.reserved + turn.most, turn.most * spareTurns,
                turn.budget)) {
                return;
            }
            const recalls = await Promise.all(otherHolders(account).map(other => recallFrom(other, account.program)));
            if (recalls.length > 0 && now() - requestedAt < maxRecallWaitMs) {
                await sleep(recallIntervalMs);
                return;
            }
            account.pendingReservations.shift();
            logShortage(account, turn, recalls);
            resolve(recalls.includes("pending") ? "unavailable" : "exhausted");
        }
        catch (error) {
            rejectPending(account, error);
        }
    }

    function logShortage(account: Account, turn: BudgetedTurn, recalls: readonly RecallOutcome[]): void {
        const { ledger, version } = account.cachedRow;
        if (account.shortageLoggedVersion === version) {
            return;
        }
        account.shortageLoggedVersion = version;
        log.info("budget.short", { ...turn, spent: ledger.spent, granted: committedTokens(ledger) - ledger.spent,
            version, recalls: recalls.join() });
    }

    /** Other holders with a grant, which may contain tokens that their turns do not need. */
    function otherHolders({ cachedRow }: Account): readonly string[] {
        return cachedRow.ledger.grants.filter(grant => grant.holder !== holder && grant.tokens > 0)
            .map(grant => grant.holder);
    }

    function rejectPending(account: Account, error: unknown): void {
        if (!(error instanceof StoreError)) {
            throw error;
        }
        account.pendingReservations.splice(0).forEach(({ resolve }) => resolve("unavailable"));
    }

    /** Writes the used tokens and a new grant; false if the budget does not cover the needed tokens. */
    async function renewOwnGrant(account: Account, needed: number, spare: number, budget: number): Promise<boolean> {
        lastSerial += 1;
        const { tokens } = account;
        const write = beginWrite(tokens, lastSerial);
        const request = { holder, needed, spare, budget };
        let ended = false;
        let unansweredWrites = 0;
        try {
            const granted = await callWithRetries(store, async timeout => {
                for (;;) {
                    if (ended) {
                        // Another concurrent call was answered, or the write was abandoned.
                        throw new StoreError("unknown", "the write is over");
                    }
                    reconcile(tokens, write, findGrant(account.cachedRow.ledger, holder));
                    limitGrant(tokens, needed);
                    const newLedger = renewGrant(account.cachedRow.ledger, { ...request, ...write });
                    if (newLedger === undefined) {
                        // Refuses only based on the current row, as another gateway may have returned tokens.
                        const { version } = account.cachedRow;
                        account.cachedRow = await readLedger(store, account.program, timeout);
                        if (account.cachedRow.version === version) {
                            return undefined;
                        }
                        continue;
                    }
                    if (newLedger === account.cachedRow.ledger) {
                        return findGrant(newLedger, holder)?.tokens ?? 0;
                    }
                    unansweredWrites += 1;
                    const written = await replaceRow(account, newLedger, timeout);
                    unansweredWrites -= 1;
                    if (written) {
                        return findGrant(newLedger, holder)?.tokens ?? 0;
                    }
                }
            }, urgentRetryPolicy);
            if (granted === undefined) {
                // An unanswered concurrent write may still be applied after this call has read the row.
                if (unansweredWrites > 0) {
                    recordUncertainWrite(tokens, write);
                }
                return false;
            }
            confirmWrite(tokens, write, granted);
            return true;
        }
        catch (error) {
            recordUncertainWrite(tokens, write);
            throw error;
        }
        finally {
            ended = true;
        }
    }

    async function replaceRow(account: Account, ledger: TokenLedger, timeout: number): Promise<boolean> {
        const { written, ...row } = await replaceLedger(store, account.program, account.cachedRow, ledger, timeout);
        account.cachedRow = row;
        return written;
    }

    function scheduleReturn(account: Account, delay: number): void {
        if (!disposed && account.tokens.reserved === 0 && !isSettled(account.tokens)) {
            clearTimeout(account.returnTimer);
            account.returnTimer = setTimeout(() => void returnGrant(account), delay);
        }
    }

    async function returnGrant(account: Account): Promise<void> {
        if (account.pendingWrite !== undefined || isSettled(account.tokens)) {
            return;
        }
        await runWrite(account, () => writeReturn(account));
        if (account.pendingReservations.length > 0) {
            await servePending(account);
        }
    }

    async function writeReturn(account: Account): Promise<void> {
        try {
            await renewOwnGrant(account, account.tokens.reserved, 0, Infinity);
            account.returnFailureLogged = false;
            // Tokens may have been counted or given back since the write began.
            scheduleReturn(account, retryDelayMs);
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            logReturnFailure(account, error);
            scheduleReturn(account, retryDelayMs);
        }
    }

    /** Logs only the first failure, as each return is retried several times a second while the store is unavailable. */
    function logReturnFailure(account: Account, error: StoreError): void {
        if (!account.returnFailureLogged) {
            account.returnFailureLogged = true;
            log.info("budget.notGivenBack", { program: account.program, reason: error.message,
                againIn: disposed ? undefined : retryDelayMs });
        }
    }

    function removeIdleAccounts(): void {
        for (const [program, account] of accounts) {
            const idle = account.pendingReservations.length === 0 && account.tokens.reserved === 0 &&
                isSettled(account.tokens) &&
                account.pendingWrite === undefined;
            if (idle && now() - account.lastUsedAt > accountIdleTimeoutMs) {
                accounts.delete(program);
            }
        }
    }

    async function flush(): Promise<void> {
        await Promise.all([...accounts.values()].map(returnFinalGrant));
    }

    /** Waits for a write in progress first, as no later attempt follows. */
    async function returnFinalGrant(account: Account): Promise<void> {
        while (account.pendingWrite !== undefined) {
            await account.pendingWrite;
        }
        await returnGrant(account);
    }

    function dispose(): void {
        disposed = true;
        clearInterval(cleanupTimer);
        accounts.forEach(({ returnTimer }) => clearTimeout(returnTimer));
    }

    return { reserve, lend, book, acceptReturn, recall, stopLending: () => void (lendingEnabled = false), flush,
        [Symbol.dispose]: dispose };
}

function createAccount(program: string): Account {
    return { program, cachedRow: missingLedgerRow, tokens: createTokenAccount(), pendingReservations: [],
        pendingWrite: undefined, returnTimer: undefined, lastUsedAt: 0, budget: 0, shortageLoggedVersion: undefined,
        returnFailureLogged: false };
}
