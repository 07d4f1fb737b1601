import { emptyLedger, hash, type OpenTurn, reserveTokens, settleTokens, type Store, StoreError,
    type TokenLedger } from "@tamarackgauge/core/gateway";
import { pack, unpack } from "msgpackr";
import { persist, urgentPersistence } from "./persist.ts";

/** How a reservation ended. */
export type Reservation = "reserved" | "exhausted" | "unavailable";

/** Token budgets of programs, in one row of the store for each. */
export interface Budgets extends Disposable {
    reserve(program: string, turn: OpenTurn, budget: number): Promise<Reservation>;
    /** Replaces a reservation by the tokens that were used; the write may wait for the program's next one. */
    settle(program: string, turn: string, used: number): void;
    /** Writes what waits. */
    flush(): Promise<void>;
}

const table = "budgets";
const parts = 64;
/** A settlement waits this long for another write of its program, in ms; others must see it after a second. */
const settlementDelay = 500;
const settlementRetry = 300;
/** A program without a call for this long is forgotten; its row stays, in ms. */
const forgetAfter = 20_000;

interface Wish {
    readonly turn: OpenTurn;
    readonly budget: number;
    readonly answer: (reservation: Reservation) => void;
}

interface Settlement {
    readonly turn: string;
    readonly used: number;
}

interface Account {
    readonly program: string;
    ledger: TokenLedger;
    /** Version of the row that `ledger` is from; 0 if no row is known. */
    version: number;
    wishes: Wish[];
    settlements: Settlement[];
    writing: Promise<void> | undefined;
    timer: NodeJS.Timeout | undefined;
    usedAt: number;
}

/** Creates the budgets of the programs whose turns come to this daemon. */
export function createBudgets(store: Store, now: () => number): Budgets {
    const accounts = new Map<string, Account>();
    const sweep = setInterval(forgetIdle, forgetAfter / 4);
    let stopped = false;

    function accountOf(program: string): Account {
        const account = accounts.get(program) ?? createAccount(program);
        accounts.set(program, account);
        account.usedAt = now();
        return account;
    }

    function reserve(program: string, turn: OpenTurn, budget: number): Promise<Reservation> {
        return new Promise(answer => {
            const account = accountOf(program);
            account.wishes.push({ turn, budget, answer });
            start(account);
        });
    }

    function settle(program: string, turn: string, used: number): void {
        const account = accountOf(program);
        account.settlements.push({ turn, used });
        schedule(account, settlementDelay);
    }

    function schedule(account: Account, delay: number): void {
        if (!stopped) {
            account.timer ??= setTimeout(() => start(account), delay);
        }
    }

    function start(account: Account): void {
        account.writing ??= write(account).finally(() => {
            account.writing = undefined;
            if (account.wishes.length > 0) {
                start(account);
            }
        });
    }

    /** Writes all that waits, in one change of the row. */
    async function write(account: Account): Promise<void> {
        clearTimeout(account.timer);
        account.timer = undefined;
        const wishes = account.wishes.splice(0);
        const settlements = account.settlements.splice(0);
        try {
            const refused = await persist(timeout => apply(account, wishes, settlements, timeout), urgentPersistence);
            wishes.forEach(wish => wish.answer(refused.has(wish) ? "exhausted" : "reserved"));
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            wishes.forEach(wish => {
                wish.answer("unavailable");
                // The write may still be applied.
                account.settlements.push({ turn: wish.turn.id, used: 0 });
            });
            account.settlements.push(...settlements);
            schedule(account, settlementRetry);
        }
    }

    /** Gives the wishes that the budget does not hold. */
    async function apply(
        account: Account,
        wishes: readonly Wish[],
        settlements: readonly Settlement[],
        timeout: number,
    ): Promise<ReadonlySet<Wish>> {
        for (;;) {
            const { ledger, refused } = nextLedger(account.ledger, wishes, settlements);
            if (ledger === account.ledger) {
                // Refusing needs the newest row: another daemon may have settled since.
                if (refused.size === 0 || await isCurrent(account, timeout)) {
                    return refused;
                }
                continue;
            }
            const name = rowOf(account.program);
            const result = await store.change({
                conditions: [{ ...name, version: account.version }],
                puts: [{ ...name, value: encode(ledger) }],
            }, { timeout });
            if (result.applied) {
                account.ledger = ledger;
                account.version = result.version;
                // A refusal was judged by the row that this write replaced, so it holds.
                return refused;
            }
            take(account, result.rows[0]);
        }
    }

    async function isCurrent(account: Account, timeout: number): Promise<boolean> {
        const { table: name, part, key } = rowOf(account.program);
        const page = await store.read({ table: name, part, from: key, to: `${key}\0`, limit: 1 }, { timeout });
        const current = (page.rows[0]?.version ?? 0) === account.version;
        take(account, page.rows[0]);
        return current;
    }

    function forgetIdle(): void {
        for (const [program, account] of accounts) {
            const idle = account.wishes.length === 0 && account.settlements.length === 0 &&
                account.writing === undefined;
            if (idle && now() - account.usedAt > forgetAfter) {
                accounts.delete(program);
            }
        }
    }

    async function flush(): Promise<void> {
        const waiting = [...accounts.values()].filter(account => account.settlements.length > 0);
        await Promise.all(waiting.map(async account => {
            start(account);
            await account.writing;
        }));
    }

    function dispose(): void {
        stopped = true;
        clearInterval(sweep);
        accounts.forEach(({ timer }) => clearTimeout(timer));
    }

    return { reserve, settle, flush, [Symbol.dispose]: dispose };
}

function createAccount(program: string): Account {
    return { program, ledger: emptyLedger, version: 0, wishes: [], settlements: [], writing: undefined,
        timer: undefined, usedAt: 0 };
}

function nextLedger(ledger: TokenLedger, wishes: readonly Wish[], settlements: readonly Settlement[]) {
    const refused = new Set<Wish>();
    let next = settlements.reduce((sum, { turn, used }) => settleTokens(sum, turn, used), ledger);
    for (const wish of wishes) {
        const reserved = reserveTokens(next, wish.turn, wish.budget);
        if (reserved === undefined) {
            refused.add(wish);
        }
        next = reserved ?? next;
    }
    return { ledger: next, refused };
}

function take(account: Account, row: { readonly value: Buffer; readonly version: number; } | undefined): void {
    account.version = row?.version ?? 0;
    account.ledger = row === undefined ? emptyLedger : decode(row.value);
}

function rowOf(program: string) {
    return { table, part: String(hash(program) % parts), key: program };
}

function encode({ spent, open }: TokenLedger): Buffer {
    return Buffer.from(pack([spent, open.map(({ id, most }) => [id, most])]));
}

function decode(value: Buffer): TokenLedger {
    const [spent, open] = unpack(value) as [number, [string, number][]];
    return { spent, open: open.map(([id, most]) => ({ id, most })) };
}
