import { charactersPerToken, countSegmentTokens, countTokens } from "./prompt.ts";

/** What a program holds in the cache of an engine. */
export interface CacheEntry {
    readonly key: string;
    readonly tokens: number;
    readonly pinned: boolean;
}

/** A prefix that moves between engines. */
export interface Prefix {
    readonly key: string;
    readonly model: string;
    readonly segments: readonly string[];
}

/** Told of each change of what is held. */
export type CacheChangeListener = (kind: "stored" | "evicted", key: string, tokens: number) => void;

/**
 * A prefix cache of limited memory, one prefix a program. Prefixes of running calls are pinned; of the others, the one
 * not used for longest is evicted as a whole. Sizes are tokens.
 */
export interface PrefixCache {
    /** Tokens of the prompt that are held. */
    match(key: string, model: string, segments: readonly string[]): number;
    /** Tokens of this program that were held here at some time. */
    seenTokens(key: string): number;
    /** Pins memory for a running call; false when there is no room, unless `force` is set. */
    reserve(key: string, tokens: number, force: boolean): boolean;
    /** A running call needs more. */
    grow(key: string, tokens: number): void;
    /** Ends a pin; with a prefix, it is held from now on. */
    unpin(key: string, prefix?: Prefix): void;
    /** Drops a program, at the end of its running calls if it has some. Returns the tokens dropped now. */
    release(key: string): number;
    export(key: string): Prefix | undefined;
    /** Holds a prefix; false when there is no room. */
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
    /** Released while pinned. */
    releaseRequested: boolean;
}

/** An empty cache. */
export function createPrefixCache(capacity: number, listener: CacheChangeListener): PrefixCache {
    // A Map keeps the order of insertion; an entry that is used is inserted again, so the first one is the oldest.
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

    /** The entry of a program, made the newest. */
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
