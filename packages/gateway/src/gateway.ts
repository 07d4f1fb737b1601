import { type Declaration, type GatewaySettings, type Store, type StoreRow } from "@tamarackgauge/core/gateway";
import { declarationRow, decodeDeclaration, decodeUpstream, readinessPath,
    upstreamTable } from "@tamarackgauge/platform";
import { createServer } from "node:http";
import { createBudgets } from "./budgets.ts";
import { createFront, listen } from "./front.ts";
import type { Log } from "./log.ts";
import { createTurns } from "./turns.ts";
import { createUpstreams } from "./upstreams.ts";
import { watchTable } from "./watch.ts";

/** A running gateway. */
export interface Gateway extends AsyncDisposable {
    /** Stops taking calls, lets those under way end, and resolves when the process may exit. */
    shutDown(): Promise<void>;
}

/** Parts of a gateway. */
export interface GatewayParts {
    readonly settings: GatewaySettings;
    readonly store: Store;
    readonly log: Log;
    readonly now: () => number;
}

/** The balancer asks once a second and takes a daemon out after two refusals; both take this long, in ms. */
const rotationTime = 2_300;
/** What still runs this long before the platform kills the process is given up, in ms. */
const exitMargin = 400;

/** Starts a gateway: it serves what reaches it, and all that must last is in the store. */
export async function createGateway({ settings, store, log, now }: GatewayParts): Promise<Gateway> {
    let declaration: Declaration | undefined;
    let listed = false;
    let stopping = false;
    const upstreams = createUpstreams({ declaration: () => declaration, now });
    const budgets = createBudgets(store, now);
    const turns = createTurns(store, settings.mostRowBytes, now);
    const front = await createFront({ ...settings.callers, upstreams, declaration: () => declaration, budgets, turns,
        log, now, dataCentre: settings.dataCentre, declarationAge: () => declarations.age() });
    const declarations = watchTable({ store, log, now, ...declarationRow, changed: takeDeclaration });
    const entries = watchTable({ store, log, now, ...upstreamTable, changed: takeEntries });
    const readiness = createServer((request, response) => {
        const path = (request.url ?? "").split("?")[0];
        response.writeHead(path !== readinessPath ? 404 : isReady() ? 200 : 503, { "content-length": 0 }).end();
    });
    await listen(readiness, settings.readiness.host, settings.readiness.port);
    log.info("gateway.started", { dataCentre: settings.dataCentre });

    function takeDeclaration(rows: ReadonlyMap<string, StoreRow>): void {
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
            front.declare(next);
            takeEntries(lastEntries);
            log.info("declaration.taken", { version: next.version });
        }
        catch (error) {
            log.warn("declaration.unreadable", { reason: (error as Error).message });
        }
    }

    let lastEntries: ReadonlyMap<string, StoreRow> = new Map();
    function takeEntries(rows: ReadonlyMap<string, StoreRow>): void {
        lastEntries = rows;
        // The connections of an upstream depend on its service, so both lists are needed.
        if (declaration === undefined) {
            return;
        }
        const known = [...rows].flatMap(([id, row]) => decodeUpstream(id, row.value) ?? []);
        listed = listed || known.length > 0;
        upstreams.replace(known);
    }

    function isReady(): boolean {
        return !stopping && declaration !== undefined && listed;
    }

    async function shutDown(): Promise<void> {
        const started = now();
        stopping = true;
        log.info("gateway.stopping", { active: front.active() });
        await sleep(rotationTime);
        const rest = settings.grace - exitMargin - (now() - started);
        await Promise.race([front.drain(), sleep(rest)]);
        await Promise.race([budgets.flush(), sleep(300)]);
        log.info("gateway.stopped", { active: front.active() });
    }

    return {
        shutDown,
        async [Symbol.asyncDispose]() {
            readiness.close();
            turns[Symbol.dispose]();
            budgets[Symbol.dispose]();
            await Promise.all([front, declarations, entries, upstreams].map(part => part[Symbol.asyncDispose]()));
        },
    };
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
