import type { Turn } from "./turnRow.ts";

/** Turns that this gateway has recently read or written. */
export interface TurnCache extends Disposable {
    get(id: string): Turn | undefined;
    /** Adds a turn or replaces it; those not used for longest are removed to make room. */
    readonly add: (turn: Turn) => void;
}

/** Turns that were not used for this time are removed. */
const timeToLiveMs = 8_000;
const evictionIntervalMs = 2_000;
/** Bytes of all turns together. A turn larger than this is not cached. */
const maxBytes = 16 * 1_024 * 1_024;

interface CacheEntry {
    readonly turn: Turn;
    readonly lastUsedAt: number;
}

/** Creates an empty cache. */
export function createTurnCache(now: () => number): TurnCache {
    /** In the order of their last use. */
    const entries = new Map<string, CacheEntry>();
    let bytes = 0;
    const timer = setInterval(() => evictWhile(({ lastUsedAt }) => now() - lastUsedAt > timeToLiveMs),
        evictionIntervalMs);
    timer.unref();

    function remove(id: string): void {
        const entry = entries.get(id);
        if (entry !== undefined) {
            entries.delete(id);
            bytes -= sizeOf(entry.turn);
        }
    }

    function insert(turn: Turn): void {
        remove(turn.id);
        entries.set(turn.id, { turn, lastUsedAt: now() });
        bytes += sizeOf(turn);
    }

    function evictWhile(mustGo: (entry: CacheEntry) => boolean): void {
        for (const [id, entry] of entries) {
            if (!mustGo(entry)) {
                return;
            }
            remove(id);
        }
    }

    return {
        get(id) {
            const entry = entries.get(id);
            if (entry !== undefined) {
                insert(entry.turn);
            }
            return entry?.turn;
        },
        add(turn) {
            insert(turn);
            evictWhile(() => bytes > maxBytes);
        },
        [Symbol.dispose]: () => clearInterval(timer),
    };
}

/** Size of a turn in bytes. */
export function sizeOf({ input, output }: Pick<Turn, "input" | "output">): number {
    return input.length + output.length;
}
