import { countAll, countTokens, tokenLength } from "./prompt.ts";

/** What a program holds in the cache of an engine. */
export interface Held {
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
export type CacheListener = (kind: "stored" | "evicted", key: string, tokens: number) => void;

/**
 * A prefix cache of limited memory, one prefix a program. Prefixes of running calls are pinned; of the others, the one
 * not used for longest is evicted as a whole. Sizes are tokens.
 */
export interface PrefixCache {
    /** Tokens of the prompt that are held. */
    match(key: string, model: string, segments: readonly string[]): number;
    /** Tokens of this program that were held here at some time. */
    seen(key: string): number;
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
    list(): Held[];
    readonly capacity: number;
    used(): number;
}

interface Entry {
    prefix: Prefix;
    heldTokens: number;
    reserved: number;
    pins: number;
    /** Released while pinned. */
    releasing: boolean;
}

/** An empty cache. */
export function createPrefixCache(capacity: number, listener: CacheListener): PrefixCache {
    // A Map keeps the order of insertion; an entry that is used is inserted again, so the first one is the oldest.
    const entries = new Map<string, Entry>();
    const seen = new Map<string, number>();
    let used = 0;

    const sizeOf = (entry: Entry) => Math.max(entry.heldTokens, entry.reserved);

    function update(entry: Entry, change: () => void): void {
        used -= sizeOf(entry);
        change();
        used += sizeOf(entry);
    }

    function drop(key: string, entry: Entry): void {
        entries.delete(key);
        used -= sizeOf(entry);
        if (entry.heldTokens > 0) {
            listener("evicted", key, entry.heldTokens);
        }
    }

    function makeRoom(tokens: number): boolean {
        for (const [key, entry] of entries) {
            if (used + tokens <= capacity) {
                break;
            }
            if (entry.pins === 0) {
                drop(key, entry);
            }
        }
        return used + tokens <= capacity;
    }

    /** The entry of a program, made the newest. */
    function entryOf(key: string): Entry {
        const prefix = { key, model: "", segments: [] };
        const entry = entries.get(key) ?? { prefix, heldTokens: 0, reserved: 0, pins: 0, releasing: false };
        entries.delete(key);
        entries.set(key, entry);
        return entry;
    }

    function hold(entry: Entry, prefix: Prefix): void {
        const tokens = countAll(prefix.segments);
        update(entry, () => {
            entry.prefix = prefix;
            entry.heldTokens = tokens;
        });
        seen.set(prefix.key, Math.max(seen.get(prefix.key) ?? 0, tokens));
        listener("stored", prefix.key, tokens);
    }

    function reserve(key: string, tokens: number, force: boolean): boolean {
        const entry = entryOf(key);
        entry.pins += 1;
        const more = Math.max(0, tokens - sizeOf(entry));
        if (!makeRoom(more) && !force) {
            entry.pins -= 1;
            if (entry.pins === 0 && entry.heldTokens === 0) {
                drop(key, entry);
            }
            return false;
        }
        update(entry, () => {
            entry.reserved = Math.max(entry.reserved, tokens);
        });
        return true;
    }

    function unpin(key: string, prefix?: Prefix): void {
        const entry = entries.get(key);
        if (entry === undefined) {
            return;
        }
        entry.pins -= 1;
        if (prefix !== undefined && !entry.releasing) {
            hold(entry, prefix);
        }
        if (entry.pins === 0) {
            entryOf(key);
            update(entry, () => {
                entry.reserved = 0;
            });
            if (entry.releasing || entry.heldTokens === 0) {
                drop(key, entry);
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
            entry.releasing = true;
            return 0;
        }
        drop(key, entry);
        return entry.heldTokens;
    }

    return {
        capacity,
        used: () => used,
        seen: key => seen.get(key) ?? 0,
        match(key, model, segments) {
            const held = entries.get(key);
            return held?.prefix.model === model ? commonTokens(held.prefix.segments, segments) : 0;
        },
        reserve,
        unpin,
        release,
        grow(key, tokens) {
            const entry = entries.get(key);
            if (entry !== undefined) {
                update(entry, () => {
                    entry.reserved += tokens;
                });
                makeRoom(0);
            }
        },
        export: key => {
            const entry = entries.get(key);
            return entry === undefined || entry.heldTokens === 0 ? undefined : entry.prefix;
        },
        import(prefix) {
            if (!reserve(prefix.key, countAll(prefix.segments), false)) {
                return false;
            }
            unpin(prefix.key, prefix);
            return true;
        },
        list: () => [...entries].map(([key, entry]) => ({ key, tokens: sizeOf(entry), pinned: entry.pins > 0 })),
    };
}

function commonTokens(held: readonly string[], wanted: readonly string[]): number {
    let tokens = 0;
    for (const [index, segment] of wanted.entries()) {
        const other = held[index];
        if (other !== segment) {
            return tokens + Math.floor(commonLength(other ?? "", segment) / tokenLength);
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
