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
    /** Called with the sound entries whenever they or the declaration have changed. */
    readonly onUpstreams: (entries: readonly UpstreamEntry[]) => void;
}

/** Creates a catalog that knows nothing yet. */
export function createCatalog({ log, onDeclaration, onUpstreams }: CatalogParts): Catalog {
    let declaration: Declaration | undefined;
    let upstreamRows: Rows = new Map();
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
            publishUpstreams();
            log.info("declaration.taken", { version: next.version });
        }
        catch (error) {
            log.warn("declaration.unreadable", { reason: (error as Error).message });
        }
    }

    function applyUpstreams(rows: Rows): void {
        upstreamRows = rows;
        publishUpstreams();
    }

    function publishUpstreams(): void {
        // The number of connections to an upstream depends on its service, which the declaration defines.
        if (declaration === undefined) {
            return;
        }
        const entries = decodeUpstreams();
        onUpstreams(entries);
        if (entries.length > 0) {
            isInitialized = true;
            resolveInitialized();
        }
    }

    function decodeUpstreams(): readonly UpstreamEntry[] {
        const decoded = [...upstreamRows].map(([id, row]) => ({ id, entry: decodeUpstream(id, row.value) }));
        const unreadable = decoded.filter(({ entry }) => entry === undefined).map(({ id }) => id);
        unreadable.filter(id => !unreadableIds.has(id)).forEach(id => log.warn("upstream.unreadable", { id }));
        unreadableIds = new Set(unreadable);
        return decoded.flatMap(({ entry }) => entry ?? []);
    }

    return { declaration: () => declaration, isInitialized: () => isInitialized, initialized, applyDeclaration,
        applyUpstreams };
}
