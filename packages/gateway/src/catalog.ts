import type { Declaration, StoreRow, UpstreamEntry } from "@tamarackgauge/core/gateway";
import { declarationRow, decodeDeclaration, decodeUpstream } from "@tamarackgauge/platform";
import type { Log } from "./log.ts";

/** Rows of one part of a table, by key. */
type Rows = ReadonlyMap<string, StoreRow>;

/** The declaration and the upstreams, as the rows of operators and upstreams say. */
export interface Catalog {
    /** The newest declaration that could be read; undefined before the first one. */
    readonly declaration: () => Declaration | undefined;
    /** Whether the declaration and at least one upstream are known. */
    readonly isInitialized: () => boolean;
    /** Resolves when the declaration and at least one upstream are known, without which no call can be served. */
    readonly initialized: Promise<void>;
    readonly applyDeclaration: (rows: Rows) => void;
    readonly applyUpstreams: (rows: Rows) => void;
}

/** Dependencies of a catalog. */
export interface CatalogParts {
    readonly log: Log;
    /** Called with each newer declaration. */
    readonly onDeclaration: (declaration: Declaration) => void;
    /** Called with the sound entries whenever one of them or the declaration has changed. */
    readonly onUpstreams: (entries: readonly UpstreamEntry[]) => void;
}

/** Creates a catalog that knows nothing yet. */
export function createCatalog({ log, onDeclaration, onUpstreams }: CatalogParts): Catalog {
    let declaration: Declaration | undefined;
    let upstreamRows: Rows = new Map();
    /** What each row was decoded to. A row that has not changed is the same object. */
    const decodedRows = new WeakMap<StoreRow, DecodedRow>();
    /** The entry that each id had last. */
    let entriesById: ReadonlyMap<string, UpstreamEntry> = new Map();
    /** Ids of the rows that cannot be decoded, each of which is logged once. */
    let unreadableIds: ReadonlySet<string> = new Set();
    let isInitialized = false;
    let resolveInitialized: () => void;
    const initialized = new Promise<void>(resolve => {
        resolveInitialized = resolve;
    });

    function applyDeclaration(rows: Rows): void {
        const row = rows.get(declarationRow.key);
        if (row === undefined) {
            return;
        }
        try {
            const next = decodeDeclaration(row.value);
            if (declaration !== undefined && next.version <= declaration.version) {
                return;
            }
            declaration = next;
            onDeclaration(next);
            decodeUpstreams();
            publishUpstreams();
            log.info("declaration.taken", { version: next.version });
        }
        catch (error) {
            log.warn("declaration.unreadable", { reason: (error as Error).message });
        }
    }

    function applyUpstreams(rows: Rows): void {
        upstreamRows = rows;
        // Without a declaration there is nothing to publish to.
        if (declaration !== undefined && decodeUpstreams()) {
            publishUpstreams();
        }
    }

    /** The number of connections to an upstream depends on its service, which the declaration defines. */
    function publishUpstreams(): void {
        onUpstreams([...entriesById.values()]);
        if (entriesById.size > 0) {
            isInitialized = true;
            resolveInitialized();
        }
    }

    /** Decodes the rows that have changed; returns whether any entry has. Most writes of a row change none. */
    function decodeUpstreams(): boolean {
        const before = entriesById;
        const unreadable = new Set<string>();
        const entries = new Map<string, UpstreamEntry>();
        for (const [id, row] of upstreamRows) {
            const { entry } = decodedRow(id, row);
            if (entry === undefined) {
                unreadable.add(id);
            }
            else {
                entries.set(id, entry);
            }
        }
        unreadable.forEach(id => unreadableIds.has(id) || log.warn("upstream.unreadable", { id }));
        unreadableIds = unreadable;
        entriesById = entries;
        return entries.size !== before.size || [...entries].some(([id, entry]) => before.get(id) !== entry);
    }

    function decodedRow(id: string, row: StoreRow): DecodedRow {
        const known = decodedRows.get(row);
        if (known !== undefined) {
            return known;
        }
        const entry = decodeUpstream(id, row.value);
        const earlier = entriesById.get(id);
        const decoded = { entry: entry !== undefined && earlier !== undefined && isSameEntry(entry, earlier)
            ? earlier
            : entry };
        decodedRows.set(row, decoded);
        return decoded;
    }

    return { declaration: () => declaration, isInitialized: () => isInitialized, initialized, applyDeclaration,
        applyUpstreams };
}

/** The entry of a row; undefined if it cannot be decoded. */
interface DecodedRow {
    readonly entry: UpstreamEntry | undefined;
}

function isSameEntry(left: UpstreamEntry, right: UpstreamEntry): boolean {
    return (Object.keys({ ...left, ...right }) as (keyof UpstreamEntry)[]).every(name => left[name] === right[name]);
}
