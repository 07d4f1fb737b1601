import { charactersPerToken, countSegmentTokens, countTokens } from "./prompt.ts";

/** The entry of a program in the cache of an engine. */
export interface CacheEntry {
    readonly key: string;
    readonly tokens: number;
    readonly pinned: boolean;
}

/** A cached prefix, as engines export and import it. */
export interface Prefix {
    readonly key: string;
    readonly model: string;
    readonly segments: readonly string[];
}

/** Called when a prefix is stored or evicted; `tokens` is its size. */
export type CacheChangeListener = (kind: "stored" | "evicted", key: string, tokens: number) => void;

/**
 * A prefix cache of limited capacity with one prefix per program. Prefixes of running calls are pinned; of the others,
 * the least recently used one is evicted as a whole. Sizes are in tokens.
 */
export interface PrefixCache {
    /** Number of tokens of the prompt that are in the cache. */
    match(key: string, model: string, segments: readonly string[]): number;
    /** Largest number of tokens that was stored for this program since its last release. */
    seenTokens(key: string): number;
    /** Reserves and pins space for a running call. Returns false when it does not fit, unless `force` is set. */
    reserve(key: string, tokens: number, force: boolean): boolean;
    /** Adds `tokens` to the space reserved for a running call. */
    grow(key: string, tokens: number): void;
    /** Removes the pin of one call and stores `prefix` if it is given. */
    unpin(key: string, prefix?: Prefix): void;
    /** Removes the entry of a program, after its running calls if there are any. Returns the tokens removed at once. */
    release(key: string): number;
    export(key: string): Prefix | undefined;
    /** Stores a prefix; returns false when it does not fit. */
    import(prefix: Prefix): boolean;
    list(): CacheEntry[];
    readonly capacity: number;
    used(): number;
}

interface Entry {
    prefix: Prefix;
    storedTokens: number;
    reservedTokens: number;
    pins: number;
    /** Whether the program was released while the entry was pinned. */
    releaseRequested: boolean;
}

/** Creates an empty cache. */
export function createPrefixCache(capacity: number, listener: CacheChangeListener): PrefixCache {
    // A Map keeps the insertion order. A used entry is inserted again, so the first entry is the least recently used.
    const entries = new Map<string, Entry>();
    const seen = new Map<string, number>();
    let used = 0;

    const sizeOf = (entry: Entry) => Math.max(entry.storedTokens, entry.reservedTokens);

    function update(entry: Entry, change: () => void): void {
        used -= sizeOf(entry);
        change();
        used += sizeOf(entry);
    }

    function removeEntry(key: string, entry: Entry): void {
        entries.delete(key);
        used -= sizeOf(entry);
        if (entry.storedTokens > 0) {
            listener("evicted", key, entry.storedTokens);
        }
    }

    function evictUntilFits(tokens: number): boolean {
        for (const [key, entry] of entries) {
            if (used + tokens <= capacity) {
                break;
            }
            if (entry.pins === 0) {
                removeEntry(key, entry);
            }
        }
        return used + tokens <= capacity;
    }

    /** Returns the entry of a program and makes it the most recently used one. */
    function entryOf(key: string): Entry {
        const prefix = { key, model: "", segments: [] };
        const entry = entries.get(key) ??
            { prefix, storedTokens: 0, reservedTokens: 0, pins: 0, releaseRequested: false };
        entries.delete(key);
        entries.set(key, entry);
        return entry;
    }

    function store(entry: Entry, prefix: Prefix): void {
        const tokens = countSegmentTokens(prefix.segments);
        update(entry, () => {
            entry.prefix = prefix;
            entry.storedTokens = tokens;
        });
        seen.set(prefix.key, Math.max(seen.get(prefix.key) ?? 0, tokens));
        listener("stored", prefix.key, tokens);
    }

    function reserve(key: string, tokens: number, force: boolean): boolean {
        const entry = entryOf(key);
        entry.pins += 1;
        const additionalTokens = Math.max(0, tokens - sizeOf(entry));
        if (!evictUntilFits(additionalTokens) && !force) {
            entry.pins -= 1;
            if (entry.pins === 0 && entry.storedTokens === 0) {
                removeEntry(key, entry);
            }
            return false;
        }
        update(entry, () => {
            entry.reservedTokens = Math.max(entry.reservedTokens, tokens);
        });
        return true;
    }

    function unpin(key: string, prefix?: Prefix): void {
        const entry = entries.get(key);
        if (entry === undefined) {
            return;
        }
        entry.pins -= 1;
        if (prefix !== undefined && !entry.releaseRequested) {
            store(entry, prefix);
        }
        if (entry.pins === 0) {
            entryOf(key);
            update(entry, () => {
                entry.reservedTokens = 0;
            });
            if (entry.releaseRequested || entry.storedTokens === 0) {
                removeEntry(key, entry);
            }
        }
    }

    function release(key: string): number {
        seen.delete(key);
        const entry = entries.get(key);
        if (entry === undefined) {
            return 0;
        }
        if (entry.pins > 0) {
            entry.releaseRequested = true;
            return 0;
        }
        removeEntry(key, entry);
        return entry.storedTokens;
    }

    return {
        capacity,
        used: () => used,
        seenTokens: key => seen.get(key) ?? 0,
        match(key, model, segments) {
            const entry = entries.get(key);
            return entry?.prefix.model === model ? commonTokens(entry.prefix.segments, segments) : 0;
        },
        reserve,
        unpin,
        release,
        grow(key, tokens) {
            const entry = entries.get(key);
            if (entry !== undefined) {
                update(entry, () => {
                    entry.reservedTokens += tokens;
                });
                evictUntilFits(0);
            }
        },
        export: key => {
            const entry = entries.get(key);
            return entry === undefined || entry.storedTokens === 0 ? undefined : entry.prefix;
        },
        import(prefix) {
            if (!reserve(prefix.key, countSegmentTokens(prefix.segments), false)) {
                return false;
            }
            unpin(prefix.key, prefix);
            return true;
        },
        list: () => [...entries].map(([key, entry]) => ({ key, tokens: sizeOf(entry), pinned: entry.pins > 0 })),
    };
}

function commonTokens(cached: readonly string[], requested: readonly string[]): number {
    let tokens = 0;
    for (const [index, segment] of requested.entries()) {
        const other = cached[index];
        if (other !== segment) {
            return tokens + Math.floor(commonLength(other ?? "", segment) / charactersPerToken);
        }
        tokens += countTokens(segment);
    }
    return tokens;
}

function commonLength(left: string, right: string): number {
    const end = Math.min(left.length, right.length);
    let index = 0;
    while (index < end && left.charCodeAt(index) === right.charCodeAt(index)) {
        index += 1;
    }
    return index;
}
