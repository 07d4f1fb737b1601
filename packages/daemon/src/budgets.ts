import { addReservation, applyLedgerStep, availableTokens, committedTokens, emptyAllotment, emptyLedger, endReservation,
    grantableTokens, refuse } from "@tamarackgauge/core";
import type { Allotment, Clock, Ledger, PlanLimits, Refusal } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import createDebug from "debug";
import { keys, leaseRow, ledgerRow } from "./rows.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:budget");

/** Tokens reserved for a call: the maximum that it can generate. */
export interface Reservation {
    readonly tokens: number;
    /** Ends the reservation; `used` tokens were generated. Further calls have no effect. */
    settle(used: number): void;
}

/** This daemon's shares of the plans' token budgets and program slots. */
export interface Budgets {
    /** Reserves tokens for a call and requests more from the ledger if needed; after a refusal the call has not run. */
    reserve(plan: string, tokens: number): Promise<Reservation | Refusal>;
    /** Takes a slot for a program; refused if the plan has reached its limit of concurrent programs. */
    takeSlot(plan: string): Promise<Refusal | undefined>;
    freeSlot(plan: string): void;
    /** Applies changed plan limits to the shares of this daemon. */
    applyLimits(): void;
    /** Returns all tokens and slots to the ledgers. */
    leave(): Promise<void>;
    /** Stops all reservations and writes: the lease was lost, and the tokens of this daemon count as spent. */
    abandon(): void;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the budgets; times in milliseconds. */
export interface BudgetOptions {
    readonly table: Table;
    readonly name: string;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly limitsOf: (plan: string) => PlanLimits | undefined;
    /** Interval between checks for tokens and slots to return. */
    readonly returnCheckInterval?: number;
}

interface PlanAccount {
    readonly plan: string;
    allotment: Allotment;
    /** The waiting calls, with the tokens that each needs. */
    readonly waitingRequests: Set<{ readonly tokens: number; }>;
    slots: number;
    /** Slots granted by the ledger; more than `slots` while some are being returned. */
    slotsGranted: number;
    slotsUsed: number;
    slotsWanted: number;
    serial: number;
    /** Tokens reported as used by updates whose reply was lost, by serial number; at most one of them was applied. */
    readonly unconfirmed: Map<number, number>;
    /** The plan's budget when the limits were last applied. */
    lastSeenBudget: number | undefined;
    /** Exponentially smoothed rate of token usage. */
    tokensPerSecond: number;
    updatedAt: number;
    currentUpdate: Promise<void> | undefined;
    /** The update after the current one, shared by callers that arrived during the current one. */
    nextUpdate: Promise<void> | undefined;
}

/** The tokens and slots of a plan that this daemon requests to hold. */
interface LedgerRequest {
    readonly tokens: number;
    readonly slots: number;
}

/** An allotment covers this many seconds of recent usage, so that a busy plan needs no update for each call. */
const allotmentSeconds = 2;
const defaultReturnCheckIntervalMs = 1_000;
const maxConflictBackoffMs = 20;
const maxConflictAttempts = 50;
const retryAfterMs = 1_000;

/** Creates the budgets of a daemon's incarnation. */
export function createBudgets(options: BudgetOptions): Budgets {
    const { table, clock, name, incarnation } = options;
    const accounts = new Map<string, PlanAccount>();
    const returnCheckInterval = options.returnCheckInterval ?? defaultReturnCheckIntervalMs;
    const timer = setInterval(returnUnused, returnCheckInterval);
    let hasLeft = false;
    let abandoned = false;

    function accountOf(plan: string): PlanAccount {
        let account = accounts.get(plan);
        if (account === undefined) {
            account = {
                plan,
                allotment: emptyAllotment,
                waitingRequests: new Set(),
                slots: 0,
                slotsGranted: 0,
                slotsUsed: 0,
                slotsWanted: 0,
                serial: 0,
                unconfirmed: new Map(),
                lastSeenBudget: options.limitsOf(plan)?.budgetTokens,
                tokensPerSecond: 0,
                updatedAt: clock.monotonic(),
                currentUpdate: undefined,
                nextUpdate: undefined,
            };
            accounts.set(plan, account);
        }
        return account;
    }

    async function reserveTokens(plan: string, tokens: number): Promise<Reservation | Refusal> {
        const account = accountOf(plan);
        const reservation = tryReserve(account, tokens);
        if (reservation !== undefined) {
            return reservation;
        }
        const request = { tokens };
        account.waitingRequests.add(request);
        try {
            await update(account);
        }
        catch (error) {
            log("The ledger of %s could not be updated for a reservation: %s.", plan, (error as Error).message);
        }
        finally {
            account.waitingRequests.delete(request);
        }
        return tryReserve(account, tokens) ?? refuse("budget_spent", "notRun", undefined, retryAfterMs);
    }

    function tryReserve(account: PlanAccount, tokens: number): Reservation | undefined {
        const nextAllotment = addReservation(account.allotment, tokens);
        if (nextAllotment === undefined || hasLeft || abandoned) {
            return undefined;
        }
        account.allotment = nextAllotment;
        let settled = false;
        return {
            tokens,
            settle: used => {
                if (!settled) {
                    settled = true;
                    account.allotment = endReservation(account.allotment, tokens, used);
                }
            },
        };
    }

    async function takeSlot(plan: string): Promise<Refusal | undefined> {
        const account = accountOf(plan);
        if (account.slotsUsed >= account.slots) {
            account.slotsWanted += 1;
            try {
                await update(account);
            }
            catch (error) {
                log("The ledger of %s could not be updated for a program slot: %s.", plan, (error as Error).message);
            }
            finally {
                account.slotsWanted -= 1;
            }
        }
        if (account.slotsUsed >= account.slots || hasLeft || abandoned) {
            return refuse("programs_at_once", "notRun", undefined, retryAfterMs);
        }
        account.slotsUsed += 1;
        return undefined;
    }

    function freeSlot(plan: string): void {
        const account = accountOf(plan);
        account.slotsUsed -= 1;
    }

    /** Updates the plan's ledger; callers that arrive during an update share the next one. */
    function update(account: PlanAccount): Promise<void> {
        if (account.currentUpdate === undefined) {
            return startUpdate(account);
        }
        account.nextUpdate ??= account.currentUpdate.catch(() => undefined).then(() => {
            account.nextUpdate = undefined;
            const isSatisfied = availableTokens(account.allotment) >= wantedTokens(account) &&
                account.slotsUsed + account.slotsWanted <= account.slots;
            return isSatisfied ? undefined : startUpdate(account);
        });
        return account.nextUpdate;
    }

    function startUpdate(account: PlanAccount): Promise<void> {
        account.currentUpdate = updateRow(account).finally(() => {
            account.currentUpdate = undefined;
        });
        return account.currentUpdate;
    }

    async function updateRow(account: PlanAccount): Promise<void> {
        updateRate(account);
        const serialAtStart = account.serial;
        for (let attempt = 0; attempt < maxConflictAttempts && !abandoned; attempt += 1) {
            const row = await table.get(keys.ledger(account.plan));
            const currentRow = row === undefined ? emptyLedger : ledgerRow.decode(row.value);
            await checkLease(currentRow.holders[name]?.incarnation);
            if (applyUnconfirmed(account, currentRow) > serialAtStart) {
                return;
            }
            if (await tryUpdate(account, currentRow, row?.revision ?? "0")) {
                return;
            }
            await sleep(maxConflictBackoffMs * Math.random());
        }
        throw new Error("the ledger update was given up after too many conflicts with other daemons");
    }

    function updateRate(account: PlanAccount): void {
        const now = clock.monotonic();
        const elapsed = Math.max(now - account.updatedAt, 100) / 1000;
        account.tokensPerSecond = account.tokensPerSecond * 0.5 + (account.allotment.used / elapsed) * 0.5;
        account.updatedAt = now;
    }

    /**
     * Throws if the lease was lost. A paused daemon whose lease was taken over must not replace the ledger entry of its
     * next incarnation, since the slots of that incarnation would count as free. The lease is read only if the ledger
     * names another incarnation.
     */
    async function checkLease(holder: string | undefined): Promise<void> {
        if (holder === undefined || holder === incarnation) {
            return;
        }
        const lease = await table.get(keys.lease(name));
        if (lease === undefined || leaseRow.decode(lease.value).incarnation !== incarnation) {
            throw new Error("the lease was lost");
        }
    }

    /**
     * The serial number in the ledger shows which update with a lost reply was applied; its tokens must not be reported
     * as used again. Returns that serial number, or 0.
     */
    function applyUnconfirmed(account: PlanAccount, row: Ledger): number {
        const ownEntry = row.holders[name];
        const settled = ownEntry?.incarnation === incarnation ? account.unconfirmed.get(ownEntry.serial) : undefined;
        if (ownEntry === undefined || settled === undefined) {
            return 0;
        }
        applyRow(account, row, settled);
        return ownEntry.serial;
    }

    async function tryUpdate(account: PlanAccount, currentRow: Ledger, revision: string): Promise<boolean> {
        account.serial += 1;
        const { serial } = account;
        const limits = options.limitsOf(account.plan) ?? { budgetTokens: 0, programsAtOnce: 0 };
        const stepOf = (request: LedgerRequest, used: number) =>
            ({ type: "update", holder: name, incarnation, serial, used, ...request, limits }) as const;
        const fullRequest = requestOf(account);
        const isLimited = fallsShort(applyLedgerStep(currentRow, stepOf(fullRequest, account.allotment.used)),
            fullRequest, limits);
        const baseRow = isLimited ? await writeOffFailedHolders(currentRow) : currentRow;
        const { used } = account.allotment;
        const request = isLimited ? limitedRequest(account, limits, baseRow) : fullRequest;
        reduceAllotment(account, used, request);
        const nextRow = applyLedgerStep(baseRow, stepOf(request, used));
        account.unconfirmed.set(serial, used);
        const applied = await commitRow(account.plan, revision, nextRow);
        if (applied === true) {
            applyRow(account, nextRow, used);
        }
        else if (applied === false) {
            account.unconfirmed.delete(serial);
        }
        return applied === true;
    }

    /**
     * Whether the ledger grants less than requested. Only then do the shares of failed holders matter: reading every
     * holder's lease for each new program cost one round trip per daemon.
     */
    function fallsShort(row: Ledger, request: LedgerRequest, limits: PlanLimits): boolean {
        const ownEntry = row.holders[name];
        return committedTokens(row) > limits.budgetTokens || ownEntry === undefined ||
            ownEntry.tokens < request.tokens ||
            ownEntry.slots < request.slots;
    }

    /**
     * Tokens and slots that an update returns must not be reserved while the update is in progress, nor afterwards if
     * its reply is lost.
     */
    function reduceAllotment(account: PlanAccount, settled: number, request: LedgerRequest): void {
        const { granted, used, reserved } = account.allotment;
        account.allotment = { granted: Math.min(granted, settled + request.tokens), used, reserved };
        account.slots = Math.min(account.slots, request.slots);
    }

    /** Whether the ledger was written; undefined if the reply was lost. */
    async function commitRow(plan: string, revision: string, row: Ledger): Promise<boolean | undefined> {
        const key = keys.ledger(plan);
        try {
            return (await table.commit({ checks: [{ key, revision }], puts: [{ key, value: ledgerRow.encode(row) }] }))
                .applied;
        }
        catch (error) {
            log("The store did not confirm an update of %s: %s.", plan, (error as Error).message);
            return undefined;
        }
    }

    function requestOf(account: PlanAccount): LedgerRequest {
        const { reserved } = account.allotment;
        const limits = options.limitsOf(account.plan);
        if (hasLeft || limits === undefined) {
            return { tokens: reserved, slots: hasLeft ? 0 : account.slotsUsed };
        }
        const slots = account.slotsUsed + account.slotsWanted;
        // Requesting twice the required tokens lets a burst grow with few updates; updates of several daemons conflict.
        const required = reserved + wantedTokens(account);
        const desiredSpare = Math.max(required, account.tokensPerSecond * allotmentSeconds);
        // Spare tokens are limited, so that near the end of a budget no daemon holds tokens that another one needs.
        const spare = Math.min(desiredSpare, limits.budgetTokens / spareDivisor);
        // With spare slots, most programs start without a ledger update. Small limits allow none, so that no daemon
        // withholds slots that another one needs.
        return {
            tokens: required + Math.floor(spare),
            slots: slots + Math.min(slots, maxSpareSlots(limits)),
        };
    }

    /**
     * The request when the ledger cannot grant everything. After the budget was lowered, unreserved tokens are returned
     * instead of used. A remainder that is too small for any waiting call is not held either, since it is useful
     * only together with tokens that other daemons return.
     */
    function limitedRequest(account: PlanAccount, limits: PlanLimits, row: Ledger): LedgerRequest {
        const fullRequest = requestOf(account);
        const { reserved, used } = account.allotment;
        const grantable = grantableTokens(row, name, used, limits.budgetTokens);
        const minWaitingTokens = Math.min(...[...account.waitingRequests].map(({ tokens }) => tokens));
        const servesNoCall = account.waitingRequests.size > 0 && grantable < reserved + minWaitingTokens;
        return committedTokens(row) > limits.budgetTokens || servesNoCall
            ? { ...fullRequest, tokens: reserved }
            : fullRequest;
    }

    function applyRow(account: PlanAccount, row: Ledger, settled: number): void {
        const ownEntry = row.holders[name];
        const { used, reserved } = account.allotment;
        account.allotment = { granted: ownEntry?.tokens ?? 0, used: used - settled, reserved };
        account.slotsGranted = ownEntry?.slots ?? 0;
        account.slots = Math.min(account.slotsGranted, account.slotsUsed + account.slotsWanted + spareSlotsOf(account));
        account.unconfirmed.clear();
    }

    function spareSlotsOf({ plan }: PlanAccount): number {
        const limits = options.limitsOf(plan);
        return limits === undefined ? 0 : maxSpareSlots(limits);
    }

    async function writeOffFailedHolders(row: Ledger): Promise<Ledger> {
        let nextRow = row;
        const others = Object.entries(row.holders)
            .filter(([other, holder]) => other !== name && (holder.tokens > 0 || holder.slots > 0));
        const leases = await Promise.all(others.map(([other]) => table.get(keys.lease(other))));
        for (const [index, [other, holder]] of others.entries()) {
            const lease = leases[index];
            if (lease === undefined || leaseRow.decode(lease.value).incarnation !== holder.incarnation) {
                log("Holder %s lost its lease; its %d granted tokens count as spent.", other, holder.tokens);
                nextRow = applyLedgerStep(nextRow, { type: "bury", holder: other });
            }
        }
        return nextRow;
    }

    function returnUnused(): void {
        const now = clock.monotonic();
        for (const account of accounts.values()) {
            if (account.currentUpdate === undefined && isUpdateDue(account, now)) {
                updateInBackground(account);
            }
        }
    }

    function updateInBackground(account: PlanAccount): void {
        update(account).catch((error: unknown) => {
            log("The ledger of %s could not be updated in the background: %s.", account.plan, (error as Error).message);
        });
    }

    /**
     * Whether to return something: excess spare slots at once, since other daemons may wait for them; other spare slots
     * and tokens after a delay.
     */
    function isUpdateDue(account: PlanAccount, now: number): boolean {
        const spareSlots = account.slots - account.slotsUsed;
        const spare = account.allotment.granted > account.allotment.reserved || spareSlots > 0;
        return spareSlots > spareSlotsOf(account) || account.slotsGranted > account.slots
            || (spare && now - account.updatedAt >= spareRetentionMs);
    }

    /**
     * Spare slots granted under an old limit must not start programs beyond a lowered limit, so they are returned at
     * once. After the budget was lowered, unreserved tokens are not used until the ledger has granted them again.
     */
    function applyLimits(): void {
        for (const account of accounts.values()) {
            const budget = options.limitsOf(account.plan)?.budgetTokens ?? 0;
            const isLowered = account.lastSeenBudget !== undefined && budget < account.lastSeenBudget;
            const maxSlots = account.slotsUsed + spareSlotsOf(account);
            account.lastSeenBudget = budget;
            if (isLowered) {
                const { used, reserved, granted } = account.allotment;
                account.allotment = { used, reserved, granted: Math.min(granted, used + reserved) };
            }
            if (isLowered || account.slots > maxSlots) {
                account.slots = Math.min(account.slots, maxSlots);
                updateInBackground(account);
            }
        }
        returnUnused();
    }

    function abandon(): void {
        abandoned = true;
        clearInterval(timer);
    }

    async function leave(): Promise<void> {
        hasLeft = true;
        clearInterval(timer);
        await Promise.allSettled([...accounts.values()].map(async account => {
            await account.currentUpdate?.catch(() => undefined);
            await updateRow(account);
        }));
    }

    return {
        reserve: reserveTokens,
        takeSlot,
        freeSlot,
        applyLimits,
        leave,
        abandon,
        [Symbol.asyncDispose]: async () => {
            abandon();
        },
    };
}

function wantedTokens(account: PlanAccount): number {
    return [...account.waitingRequests].reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Spare tokens and slots are returned after this time without an update. */
const spareRetentionMs = 5_000;
/** A daemon's spare tokens and spare slots are limited to the plan's limit divided by this number. */
const spareDivisor = 64;

function maxSpareSlots({ programsAtOnce }: PlanLimits): number {
    return Math.floor(programsAtOnce / spareDivisor);
}
