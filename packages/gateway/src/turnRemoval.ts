import { StoreError } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { HedgeableStore } from "./storeRetry.ts";
import { turnRowKey, turnTableName as table } from "./turnRow.ts";

/** Rows of a turn that were written and will be removed. */
export interface Expiry {
    readonly id: string;
    readonly part: string;
    readonly rowCount: number;
    /** Version of the first row. If the row has a later version, the turn was written again. */
    readonly version: number;
    /** Monotonic time in ms. */
    readonly removeAt: number;
    /** Retention in ms for which the turn was written. */
    readonly retention: number;
}

/** Removes the rows of turns whose retention has ended. */
export interface TurnRemoval extends Disposable {
    schedule(expiry: Expiry): void;
}

/** Dependencies of the removal. */
export interface TurnRemovalParts {
    readonly store: HedgeableStore;
    /**
     * Longest retention of any route at present, in ms. Rows that were written for a shorter one are kept for this one,
     * as operators may move a program to another route.
     */
    readonly longestRetention: () => number;
    readonly log: Log;
    readonly now: () => number;
}

const removalIntervalMs = 2_000;
/** Number of turns whose rows are removed in one store call. The store accepts 100 entries in a call. */
const maxTurnsPerRemoval = 20;

/** Starts the removal of the rows that this gateway writes. */
export function createTurnRemoval({ store, longestRetention, log, now }: TurnRemovalParts): TurnRemoval {
    const expiries: Expiry[] = [];
    const timer = setInterval(() => void removeExpired(), removalIntervalMs);
    timer.unref();

    function isDue({ removeAt, retention }: Expiry): boolean {
        return removeAt + Math.max(0, longestRetention() - retention) < now();
    }

    /** Removes the expired rows of one part; the next calls remove those of the other parts. */
    async function removeExpired(): Promise<void> {
        const due = expiries.filter(isDue);
        const first = due[0];
        if (first === undefined) {
            return;
        }
        const { part } = first;
        const batch = due.filter(entry => entry.part === part).slice(0, maxTurnsPerRemoval);
        const conditions = batch.map(({ id, version }) => ({ table, part, key: id, version }));
        const removals = batch.flatMap(({ id, rowCount }) =>
            Array.from({ length: rowCount }, (_, index) => ({ table, part, key: turnRowKey(id, index) }))
        );
        try {
            const result = await store.change({ conditions, removals }, { timeout: removalIntervalMs });
            const rows = result.applied ? [] : result.rows;
            const isCurrent = (entry: Expiry) =>
                rows.some(({ key, version }) => key === entry.id && version === entry.version);
            batch.filter(entry => !isCurrent(entry)).forEach(entry => expiries.splice(expiries.indexOf(entry), 1));
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.info("rows.notRemoved", { table, part, turns: batch.length, reason: error.message,
                againIn: removalIntervalMs });
        }
    }

    return { schedule: expiry => void expiries.push(expiry), [Symbol.dispose]: () => clearInterval(timer) };
}
