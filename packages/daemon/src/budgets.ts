import { applyLedger, emptyAllotment, emptyLedger, freeTokens, refuse, release, reserve } from "@tamarackgauge/core";
import type { Allotment, Clock, Ledger, Limits, Refusal } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/platform";
import createDebug from "debug";
import { keys, leaseRow, ledgerRow } from "./rows.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:budget");

/** Tokens reserved for a call at its worst case. */
export interface Reservation {
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
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options; times in milliseconds. */
export interface BudgetOptions {
    readonly table: Table;
    readonly name: string;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly limitsOf: (plan: string) => Limits | undefined;
    /** Time between two looks for parts to give back. */
    readonly settleInterval?: number;
}

interface Account {
    readonly plan: string;
    allotment: Allotment;
    /** Tokens that waiting calls need beyond what is free. */
    wanted: number;
    slots: number;
    /** Slots that the plan's row grants; more than `slots` while some are being given back. */
    slotsGranted: number;
    slotsUsed: number;
    slotsWanted: number;
    serial: number;
    /** Use of tokens per second, smoothed over some seconds. */
    rate: number;
    updated: number;
    updating: Promise<void> | undefined;
    /** The plan had less than this daemon asked for last. */
    short: boolean;
}

/** An allotment covers this many seconds of recent use, so that a busy plan does not ask for every call. */
const allotmentSeconds = 2;
const defaultSettleInterval = 1_000;
const conflictPause = 20;
const conflictTries = 50;
/** A call that came during the update may take what was granted for another; that one asks again. */
const reserveTries = 3;
const retryAfter = 1_000;

/** Creates the budgets of a daemon's incarnation. */
export function createBudgets(options: BudgetOptions): Budgets {
    const { table, clock, name, incarnation } = options;
    const accounts = new Map<string, Account>();
    const settleInterval = options.settleInterval ?? defaultSettleInterval;
    const timer = setInterval(settleAll, settleInterval);
    let left = false;

    function accountOf(plan: string): Account {
        let account = accounts.get(plan);
        if (account === undefined) {
            account = {
                plan,
                allotment: emptyAllotment,
                wanted: 0,
                slots: 0,
                slotsGranted: 0,
                slotsUsed: 0,
                slotsWanted: 0,
                serial: 0,
                rate: 0,
                updated: clock.monotonic(),
                updating: undefined,
                short: false,
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
        let reservation: Reservation | undefined;
        for (let attempt = 0; attempt < reserveTries && reservation === undefined; attempt += 1) {
            const granted = await topUp(account, tokens);
            reservation = tryReserve(account, tokens);
            if (!granted) {
                break;
            }
        }
        return reservation ?? refuse("budget_spent", "notRun", undefined, retryAfter);
    }

    /** Asks for tokens; whether the plan had as many as were asked for. */
    async function topUp(account: Account, tokens: number): Promise<boolean> {
        account.wanted += tokens;
        try {
            await update(account);
            return !account.short;
        }
        catch (error) {
            log("The budget of %s could not be read: %s.", account.plan, (error as Error).message);
            return false;
        }
        finally {
            account.wanted -= tokens;
        }
    }

    function tryReserve(account: Account, tokens: number): Reservation | undefined {
        const next = reserve(account.allotment, tokens);
        if (next === undefined || left) {
            return undefined;
        }
        account.allotment = next;
        let settled = false;
        return {
            settle: used => {
                if (!settled) {
                    settled = true;
                    account.allotment = release(account.allotment, tokens, used);
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
        if (account.slotsUsed >= account.slots || left) {
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
    async function update(account: Account): Promise<void> {
        while (account.updating !== undefined) {
            await account.updating.catch(() => undefined);
            if (freeTokens(account.allotment) >= account.wanted &&
                account.slotsUsed + account.slotsWanted <= account.slots) {
                return;
            }
        }
        account.updating = updateRow(account).finally(() => {
            account.updating = undefined;
        });
        await account.updating;
    }

    async function updateRow(account: Account): Promise<void> {
        const limits = options.limitsOf(account.plan);
        const now = clock.monotonic();
        const used = account.allotment.used;
        const elapsed = Math.max(now - account.updated, 100) / 1000;
        account.rate = account.rate * 0.5 + (used / elapsed) * 0.5;
        account.updated = now;
        account.serial += 1;
        const serial = account.serial;
        for (let attempt = 0; attempt < conflictTries; attempt += 1) {
            const row = await table.get(keys.ledger(account.plan));
            const before = row === undefined ? emptyLedger : ledgerRow.decode(row.value);
            const own = before.holders[name];
            if (own?.incarnation === incarnation && own.serial >= serial) {
                adopt(account, before, used);
                return;
            }
            const wish = wishOf(account, limits);
            lower(account, used, wish);
            const step = { type: "update" as const, holder: name, incarnation, serial, used, ...wish,
                limits: limits ?? { budgetTokens: 0, programsAtOnce: 0 } };
            let after = applyLedger(before, step);
            if (isShort(after, wish)) {
                after = applyLedger(await buryDead(before), step);
            }
            const result = await commitRow(account.plan, row?.revision ?? "0", after);
            if (result) {
                account.short = (after.holders[name]?.tokens ?? 0) < wish.tokens;
                adopt(account, after, used);
                return;
            }
            await sleep(conflictPause * Math.random());
        }
        throw new Error("too many daemons changed the row at once");
    }

    /**
     * Only when a grant falls short can the parts of dead holders matter. Reading every holder's lease for each new
     * program cost one round trip per daemon.
     */
    function isShort(row: Ledger, wish: { readonly tokens: number; readonly slots: number; }): boolean {
        const own = row.holders[name];
        return own === undefined || own.tokens < wish.tokens || own.slots < wish.slots;
    }

    /**
     * What is about to be given back must not be reserved while the update is under way, nor afterwards if its
     * reply is lost.
     */
    function lower(account: Account, settled: number,
        wish: { readonly tokens: number; readonly slots: number; }): void {
        const { granted, used, reserved } = account.allotment;
        account.allotment = { granted: Math.min(granted, settled + wish.tokens), used, reserved };
        account.slots = Math.min(account.slots, wish.slots);
    }

    /** A lost reply is resolved by reading the row again: the serial number tells whether it was applied. */
    async function commitRow(plan: string, revision: string, row: Ledger): Promise<boolean> {
        const key = keys.ledger(plan);
        try {
            return (await table.commit({ checks: [{ key, revision }], puts: [{ key, value: ledgerRow.encode(row) }] }))
                .applied;
        }
        catch (error) {
            log("The store did not confirm an update of %s: %s.", plan, (error as Error).message);
            return false;
        }
    }

    function wishOf(account: Account, limits: Limits | undefined) {
        const open = account.allotment.reserved + account.wanted;
        if (left || limits === undefined) {
            return { tokens: account.allotment.reserved, slots: left ? 0 : account.slotsUsed };
        }
        // Doubling what is open lets a burst ask for tokens a few times only; updates of several daemons conflict.
        const useful = Math.max(open, account.rate * allotmentSeconds);
        // Near its end the budget is shared in small parts, so that no daemon holds what another one needs.
        const spare = Math.min(useful, limits.budgetTokens / spareShare);
        const slots = account.slotsUsed + account.slotsWanted;
        // Spare slots let most programs start without the store; a small limit is never held back by them.
        return { tokens: Math.ceil(open + spare), slots: slots + Math.min(slots, mostSpareSlots(limits)) };
    }

    function adopt(account: Account, row: Ledger, settled: number): void {
        const own = row.holders[name];
        const { used, reserved } = account.allotment;
        account.allotment = { granted: own?.tokens ?? 0, used: used - settled, reserved };
        account.slotsGranted = own?.slots ?? 0;
        account.slots = Math.min(account.slotsGranted, account.slotsUsed + account.slotsWanted + spareSlotsOf(account));
    }

    function spareSlotsOf({ plan }: Account): number {
        const limits = options.limitsOf(plan);
        return limits === undefined ? 0 : mostSpareSlots(limits);
    }

    /** Spare slots under an old limit must not start programs beyond a lowered one, so they are given up at once. */
    function limitsChanged(): void {
        for (const account of accounts.values()) {
            const most = account.slotsUsed + spareSlotsOf(account);
            if (account.slots > most) {
                account.slots = most;
                settle(account);
            }
        }
        settleAll();
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
                next = applyLedger(next, { type: "bury", holder: other });
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
        [Symbol.asyncDispose]: async () => {
            clearInterval(timer);
        },
    };
}

/** Milliseconds after which spare tokens go back to the plan. */
const spareTime = 5_000;
/** A daemon never holds more spare tokens or slots than this share of the limit. */
const spareShare = 64;

function mostSpareSlots({ programsAtOnce }: Limits): number {
    return Math.floor(programsAtOnce / spareShare);
}
