import { addReservation, applyLedgerStep, availableTokens, committedTokens, emptyAllotment, emptyLedger, endReservation,
    grantableTokens, refuse } from "@tamarackgauge/core";
import type { Allotment, Clock, Ledger, PlanLimits, Refusal } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import createDebug from "debug";
import { keys, leaseRow, ledgerRow } from "./rows.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:budget");

/** Tokens reserved for a call at its worst case. */
export interface Reservation {
    readonly tokens: number;
    /** Ends the reservation; `used` tokens were generated. Further calls have no effect. */
    settle(used: number): void;
}

/** The budgets of all plans as far as this daemon holds parts of them. */
export interface Budgets {
    /** Reserves generated tokens, asking the store for more if need be; a refusal means that the call has not run. */
    reserve(plan: string, tokens: number): Promise<Reservation | Refusal>;
    /** Takes a slot for a program; a refusal means that the plan runs as many programs as it may. */
    takeSlot(plan: string): Promise<Refusal | undefined>;
    freeSlot(plan: string): void;
    /** Applies changed limits to what this daemon holds. */
    limitsChanged(): void;
    /** Gives everything back. */
    leave(): Promise<void>;
    /** Reserves and writes nothing more: the lease was lost, and what this daemon holds counts as spent. */
    abandon(): void;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options; times in milliseconds. */
export interface BudgetOptions {
    readonly table: Table;
    readonly name: string;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly limitsOf: (plan: string) => PlanLimits | undefined;
    /** Time between two looks for parts to give back. */
    readonly settleInterval?: number;
}

interface Account {
    readonly plan: string;
    allotment: Allotment;
    /** Tokens that each waiting call needs. */
    readonly wanted: Set<{ readonly tokens: number; }>;
    slots: number;
    /** Slots that the plan's row grants; more than `slots` while some are being given back. */
    slotsGranted: number;
    slotsUsed: number;
    slotsWanted: number;
    serial: number;
    /** Tokens settled by each update whose reply was lost, by serial number; at most one of them was applied. */
    readonly unconfirmed: Map<number, number>;
    /** The budget at the last look. */
    budget: number | undefined;
    /** Use of tokens per second, smoothed over some seconds. */
    rate: number;
    updated: number;
    updating: Promise<void> | undefined;
    /** The update after that, for callers that came too late for it. */
    next: Promise<void> | undefined;
}

/** What a daemon wants to hold of a plan. */
interface Wish {
    readonly tokens: number;
    readonly slots: number;
}

/** An allotment covers this many seconds of recent use, so that a busy plan does not ask for every call. */
const allotmentSeconds = 2;
const defaultSettleInterval = 1_000;
const conflictPause = 20;
const conflictTries = 50;
const retryAfter = 1_000;

/** Creates the budgets of a daemon's incarnation. */
export function createBudgets(options: BudgetOptions): Budgets {
    const { table, clock, name, incarnation } = options;
    const accounts = new Map<string, Account>();
    const settleInterval = options.settleInterval ?? defaultSettleInterval;
    const timer = setInterval(settleAll, settleInterval);
    let left = false;
    let abandoned = false;

    function accountOf(plan: string): Account {
        let account = accounts.get(plan);
        if (account === undefined) {
            account = {
                plan,
                allotment: emptyAllotment,
                wanted: new Set(),
                slots: 0,
                slotsGranted: 0,
                slotsUsed: 0,
                slotsWanted: 0,
                serial: 0,
                unconfirmed: new Map(),
                budget: options.limitsOf(plan)?.budgetTokens,
                rate: 0,
                updated: clock.monotonic(),
                updating: undefined,
                next: undefined,
            };
            accounts.set(plan, account);
        }
        return account;
    }

    async function reserveTokens(plan: string, tokens: number): Promise<Reservation | Refusal> {
        const account = accountOf(plan);
        const held = tryReserve(account, tokens);
        if (held !== undefined) {
            return held;
        }
        const want = { tokens };
        account.wanted.add(want);
        try {
            await update(account);
        }
        catch (error) {
            log("The budget of %s could not be read: %s.", plan, (error as Error).message);
        }
        finally {
            account.wanted.delete(want);
        }
        return tryReserve(account, tokens) ?? refuse("budget_spent", "notRun", undefined, retryAfter);
    }

    function tryReserve(account: Account, tokens: number): Reservation | undefined {
        const next = addReservation(account.allotment, tokens);
        if (next === undefined || left || abandoned) {
            return undefined;
        }
        account.allotment = next;
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
                log("The slots of %s could not be read: %s.", plan, (error as Error).message);
            }
            finally {
                account.slotsWanted -= 1;
            }
        }
        if (account.slotsUsed >= account.slots || left || abandoned) {
            return refuse("programs_at_once", "notRun", undefined, retryAfter);
        }
        account.slotsUsed += 1;
        return undefined;
    }

    function freeSlot(plan: string): void {
        const account = accountOf(plan);
        account.slotsUsed -= 1;
    }

    /** Updates the plan's row; callers that come meanwhile share the next update. */
    function update(account: Account): Promise<void> {
        if (account.updating === undefined) {
            return startUpdate(account);
        }
        account.next ??= account.updating.catch(() => undefined).then(() => {
            account.next = undefined;
            const enough = availableTokens(account.allotment) >= wantedTokens(account) &&
                account.slotsUsed + account.slotsWanted <= account.slots;
            return enough ? undefined : startUpdate(account);
        });
        return account.next;
    }

    function startUpdate(account: Account): Promise<void> {
        account.updating = updateRow(account).finally(() => {
            account.updating = undefined;
        });
        return account.updating;
    }

    async function updateRow(account: Account): Promise<void> {
        measureRate(account);
        const earlier = account.serial;
        for (let attempt = 0; attempt < conflictTries && !abandoned; attempt += 1) {
            const row = await table.get(keys.ledger(account.plan));
            const before = row === undefined ? emptyLedger : ledgerRow.decode(row.value);
            await checkLease(before.holders[name]?.incarnation);
            if (settleUnconfirmed(account, before) > earlier) {
                return;
            }
            if (await tryUpdate(account, before, row?.revision ?? "0")) {
                return;
            }
            await sleep(conflictPause * Math.random());
        }
        throw new Error("too many daemons changed the row at once");
    }

    function measureRate(account: Account): void {
        const now = clock.monotonic();
        const elapsed = Math.max(now - account.updated, 100) / 1000;
        account.rate = account.rate * 0.5 + (account.allotment.used / elapsed) * 0.5;
        account.updated = now;
    }

    /**
     * A paused daemon whose lease was taken over must not take the place of its next incarnation in the row, whose
     * slots would count as free. Read only when the row shows another incarnation.
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
     * The serial number in the row tells which update with a lost reply was applied; what it settled must not be
     * settled again. Returns that number, or 0.
     */
    function settleUnconfirmed(account: Account, row: Ledger): number {
        const own = row.holders[name];
        const settled = own?.incarnation === incarnation ? account.unconfirmed.get(own.serial) : undefined;
        if (own === undefined || settled === undefined) {
            return 0;
        }
        adopt(account, row, settled);
        return own.serial;
    }

    async function tryUpdate(account: Account, before: Ledger, revision: string): Promise<boolean> {
        account.serial += 1;
        const { serial } = account;
        const limits = options.limitsOf(account.plan) ?? { budgetTokens: 0, programsAtOnce: 0 };
        const stepOf = (wish: Wish, used: number) =>
            ({ type: "update", holder: name, incarnation, serial, used, ...wish, limits }) as const;
        const full = wishOf(account);
        const short = isShort(applyLedgerStep(before, stepOf(full, account.allotment.used)), full, limits);
        const alive = short ? await buryDead(before) : before;
        const { used } = account.allotment;
        const wish = short ? servingWish(account, limits, alive) : full;
        lower(account, used, wish);
        const after = applyLedgerStep(alive, stepOf(wish, used));
        account.unconfirmed.set(serial, used);
        const applied = await commitRow(account.plan, revision, after);
        if (applied === true) {
            adopt(account, after, used);
        }
        else if (applied === false) {
            account.unconfirmed.delete(serial);
        }
        return applied === true;
    }

    /**
     * Only when a grant falls short can the parts of dead holders matter. Reading every holder's lease for each new
     * program cost one round trip per daemon.
     */
    function isShort(row: Ledger, wish: Wish, limits: PlanLimits): boolean {
        const own = row.holders[name];
        return committedTokens(row) > limits.budgetTokens || own === undefined || own.tokens < wish.tokens ||
            own.slots < wish.slots;
    }

    /**
     * What is about to be given back must not be reserved while the update is under way, nor afterwards if its
     * reply is lost.
     */
    function lower(account: Account, settled: number, wish: Wish): void {
        const { granted, used, reserved } = account.allotment;
        account.allotment = { granted: Math.min(granted, settled + wish.tokens), used, reserved };
        account.slots = Math.min(account.slots, wish.slots);
    }

    /** Whether the row was written; undefined when the reply was lost. */
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

    function wishOf(account: Account): Wish {
        const { reserved } = account.allotment;
        const limits = options.limitsOf(account.plan);
        if (left || limits === undefined) {
            return { tokens: reserved, slots: left ? 0 : account.slotsUsed };
        }
        const slots = account.slotsUsed + account.slotsWanted;
        // Doubling what is open lets a burst ask for tokens a few times only; updates of several daemons conflict.
        const open = reserved + wantedTokens(account);
        const useful = Math.max(open, account.rate * allotmentSeconds);
        // Near its end the budget is shared in small parts, so that no daemon holds what another one needs.
        const spare = Math.min(useful, limits.budgetTokens / spareShare);
        // Spare slots let most programs start without the store; a small limit is never held back by them.
        return {
            tokens: open + Math.floor(spare),
            slots: slots + Math.min(slots, mostSpareSlots(limits)),
        };
    }

    /**
     * The wish when the row cannot grant everything. After the budget was lowered, tokens granted before are given
     * back instead of used. And a rest that serves none of the waiting calls is of use only together with what other
     * daemons give back.
     */
    function servingWish(account: Account, limits: PlanLimits, row: Ledger): Wish {
        const wish = wishOf(account);
        const { reserved, used } = account.allotment;
        const grantable = grantableTokens(row, name, used, limits.budgetTokens);
        const least = Math.min(...[...account.wanted].map(({ tokens }) => tokens));
        const useless = account.wanted.size > 0 && grantable < reserved + least;
        return committedTokens(row) > limits.budgetTokens || useless ? { ...wish, tokens: reserved } : wish;
    }

    function adopt(account: Account, row: Ledger, settled: number): void {
        const own = row.holders[name];
        const { used, reserved } = account.allotment;
        account.allotment = { granted: own?.tokens ?? 0, used: used - settled, reserved };
        account.slotsGranted = own?.slots ?? 0;
        account.slots = Math.min(account.slotsGranted, account.slotsUsed + account.slotsWanted + spareSlotsOf(account));
        account.unconfirmed.clear();
    }

    function spareSlotsOf({ plan }: Account): number {
        const limits = options.limitsOf(plan);
        return limits === undefined ? 0 : mostSpareSlots(limits);
    }

    async function buryDead(row: Ledger): Promise<Ledger> {
        let next = row;
        const others = Object.entries(row.holders)
            .filter(([other, holder]) => other !== name && (holder.tokens > 0 || holder.slots > 0));
        const leases = await Promise.all(others.map(([other]) => table.get(keys.lease(other))));
        for (const [index, [other, holder]] of others.entries()) {
            const lease = leases[index];
            if (lease === undefined || leaseRow.decode(lease.value).incarnation !== holder.incarnation) {
                log("%s is gone; %d tokens count as spent.", other, holder.tokens);
                next = applyLedgerStep(next, { type: "bury", holder: other });
            }
        }
        return next;
    }

    function settleAll(): void {
        const now = clock.monotonic();
        for (const account of accounts.values()) {
            if (account.updating === undefined && isDue(account, now)) {
                settle(account);
            }
        }
    }

    function settle(account: Account): void {
        update(account).catch((error: unknown) => {
            log("The budget of %s could not be settled: %s.", account.plan, (error as Error).message);
        });
    }

    /** Many spare slots are given back at once, since others wait for them; a few, and tokens, after a while. */
    function isDue(account: Account, now: number): boolean {
        const spareSlots = account.slots - account.slotsUsed;
        const spare = account.allotment.granted > account.allotment.reserved || spareSlots > 0;
        return spareSlots > spareSlotsOf(account) || account.slotsGranted > account.slots
            || (spare && now - account.updated >= spareTime);
    }

    /**
     * Spare slots under an old limit must not start programs beyond a lowered one, so they are given up at once. And
     * until the row has granted it anew, what is not reserved of a lowered budget is not used.
     */
    function limitsChanged(): void {
        for (const account of accounts.values()) {
            const budget = options.limitsOf(account.plan)?.budgetTokens ?? 0;
            const lowered = account.budget !== undefined && budget < account.budget;
            const most = account.slotsUsed + spareSlotsOf(account);
            account.budget = budget;
            if (lowered) {
                const { used, reserved, granted } = account.allotment;
                account.allotment = { used, reserved, granted: Math.min(granted, used + reserved) };
            }
            if (lowered || account.slots > most) {
                account.slots = Math.min(account.slots, most);
                settle(account);
            }
        }
        settleAll();
    }

    function abandon(): void {
        abandoned = true;
        clearInterval(timer);
    }

    async function leave(): Promise<void> {
        left = true;
        clearInterval(timer);
        await Promise.allSettled([...accounts.values()].map(async account => {
            await account.updating?.catch(() => undefined);
            await updateRow(account);
        }));
    }

    return {
        reserve: reserveTokens,
        takeSlot,
        freeSlot,
        limitsChanged,
        leave,
        abandon,
        [Symbol.asyncDispose]: async () => {
            abandon();
        },
    };
}

function wantedTokens(account: Account): number {
    return [...account.wanted].reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Milliseconds after which spare tokens go back to the plan. */
const spareTime = 5_000;
/** A daemon never holds more spare tokens or slots than this share of the limit. */
const spareShare = 64;

function mostSpareSlots({ programsAtOnce }: PlanLimits): number {
    return Math.floor(programsAtOnce / spareShare);
}
