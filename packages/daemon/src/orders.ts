import { decidePlacement, defaultPlacementLimits, demandByModel, initialPlacementState } from "@tamarackgauge/core";
import type { Clock, EngineModels, PlacementState } from "@tamarackgauge/core";
import type { EngineControl, EngineOrder, EngineOrders } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { repeat } from "./repeat.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:orders");

/** The right to give orders, as of one version of the ownership map. */
export interface OrderAuthority {
    /** Fencing token: the version of the map. */
    readonly fence: number;
    owns(engine: string): boolean;
    /** Milliseconds since the lease was last confirmed. */
    leaseAge(): number;
    /** Renews the lease; rejects when it was lost. */
    renewLease(): Promise<void>;
}

/** An engine as the VM list gives it. */
export interface ListedEngine {
    readonly name: string;
    readonly models: readonly string[] | undefined;
    readonly leaving: boolean;
}

/** Calls of all daemons: waiting by model, and running by engine. */
export interface CallCounts {
    readonly waiting: ReadonlyMap<string, number>;
    readonly running: ReadonlyMap<string, number>;
}

/** Keeps the engines of this daemon's partitions at the models they are to hold. */
export interface OrderReconciler {
    /** Reads all engines, decides, and gives the orders that are due. Passes run one after another. */
    reconcile(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the orders; times in milliseconds. */
export interface OrderReconcilerOptions {
    readonly clock: Clock;
    readonly engines: () => readonly ListedEngine[];
    readonly clientOf: (engine: string) => EngineControl | undefined;
    /** Undefined while this daemon has no lease or no map. */
    readonly authority: () => OrderAuthority | undefined;
    /** An engine has seen a newer fencing token than this daemon's. */
    readonly onStaleFence: () => void;
    /** Models that some plan may use; undefined before the first configuration. */
    readonly plannedModels: () => ReadonlySet<string> | undefined;
    readonly callCounts: () => CallCounts;
    /** Called with the models to send calls for, by engine, of the engines that report a list. */
    readonly onRoutableModels: (models: ReadonlyMap<string, readonly string[]>) => void;
    readonly interval?: number;
}

/** A wrong order on an engine that ignores the fencing token is undone after this time (I11). */
const defaultIntervalMs = 5_000;
/** Largest age of the lease's confirmation at an order. */
const maxLeaseAgeMs = 1_000;
const renewalTimeoutMs = 1_000;
/** An engine that gives no state for this long counts as not serving. */
const unavailableAfterMs = 15_000;
/** Engines read by every daemon; 64 states in 5 s are about 2 KB/s. Above, a daemon reads its own engines only. */
const maxPolledEngines = 64;

/** Orders per engine and pass; an engine that accepts orders without effect is not asked forever. */
const maxOrdersPerPass = 4;

interface ReportedState {
    readonly state: EngineOrders;
    readonly at: number;
}

interface DesiredState {
    readonly models: readonly string[];
    /** Whether the engine was told the fencing token of this ownership. */
    readonly fenceAnnounced: boolean;
}

/** Creates the orders and starts reconciling. */
export function createOrderReconciler(options: OrderReconcilerOptions): OrderReconciler {
    const { clock, clientOf } = options;
    const reported = new Map<string, ReportedState>();
    const failingSince = new Map<string, number>();
    const desired = new Map<string, DesiredState>();
    let placement: PlacementState = initialPlacementState;
    let stopped = false;
    let lastPass: Promise<void> = Promise.resolve();

    const stopRepeating = repeat(options.interval ?? defaultIntervalMs, reconcile);

    function reconcile(): Promise<void> {
        lastPass = lastPass.then(runPass).catch((error: unknown) => {
            log("A pass failed: %s.", (error as Error).message);
        });
        return lastPass;
    }

    async function runPass(): Promise<void> {
        if (stopped) {
            return;
        }
        const listed = options.engines();
        const authority = options.authority();
        removeUnlisted(listed, authority);
        // The state from before this ownership is adopted: a late order of the last owner must not pass as wanted.
        adoptReportedModels(listed, authority);
        await readStates(listed, authority);
        adoptReportedModels(listed, authority);
        if (authority !== undefined) {
            updatePlacement(listed, authority);
        }
        options.onRoutableModels(routableModels());
        for (const engine of desired.keys()) {
            await reconcileEngine(engine);
        }
    }

    function removeUnlisted(listed: readonly ListedEngine[], authority: OrderAuthority | undefined): void {
        const names = new Set(listed.map(({ name }) => name));
        for (const map of [reported, failingSince]) {
            [...map.keys()].filter(name => !names.has(name)).forEach(name => map.delete(name));
        }
        for (const name of [...desired.keys()]) {
            if (!names.has(name) || authority?.owns(name) !== true) {
                desired.delete(name);
            }
        }
    }

    function adoptReportedModels(listed: readonly ListedEngine[], authority: OrderAuthority | undefined): void {
        for (const { name } of listed) {
            const state = reported.get(name)?.state;
            if (state !== undefined && state.models === undefined) {
                desired.delete(name);
            }
            if (state?.models !== undefined && authority?.owns(name) === true && !desired.has(name)) {
                desired.set(name, { models: union(state.models, state.loading), fenceAnnounced: false });
            }
        }
    }

    async function readStates(listed: readonly ListedEngine[], authority: OrderAuthority | undefined): Promise<void> {
        const polled = listed.length <= maxPolledEngines
            ? listed
            : listed.filter(({ name }) => authority?.owns(name) === true);
        await Promise.all(polled.map(({ name }) => readState(name).catch(() => undefined)));
    }

    async function readState(engine: string): Promise<EngineOrders> {
        const client = clientOf(engine);
        if (client === undefined) {
            throw new Error(`${engine} is not listed any more`);
        }
        try {
            const state = await client.orders();
            reported.set(engine, { state, at: clock.monotonic() });
            failingSince.delete(engine);
            return state;
        }
        catch (error) {
            const now = clock.monotonic();
            const firstFailureAt = failingSince.get(engine) ?? now;
            failingSince.set(engine, firstFailureAt);
            if (now - firstFailureAt > unavailableAfterMs) {
                reported.delete(engine);
            }
            throw error;
        }
    }

    function updatePlacement(listed: readonly ListedEngine[], authority: OrderAuthority): void {
        const planned = options.plannedModels();
        if (planned === undefined) {
            return;
        }
        const engines = listed.flatMap(engine => placementInputOf(engine));
        const { waiting, running } = options.callCounts();
        const demand = demandByModel(waiting, running, engines);
        const decision = decidePlacement(placement, { planned, engines, demand }, clock.monotonic());
        placement = decision.state;
        for (const { engine, load, unload } of decision.moves) {
            const current = desired.get(engine);
            if (current !== undefined && authority.owns(engine)) {
                log("%s is to load %s in place of %s.", engine, load, unload ?? "nothing");
                desired.set(engine, { ...current, models: [...current.models.filter(each => each !== unload), load] });
            }
        }
    }

    /** What placement sees of an engine: for own engines what they are to hold, for others what they report. */
    function placementInputOf({ name, models, leaving }: ListedEngine): readonly EngineModels[] {
        const state = reported.get(name)?.state;
        if (state === undefined) {
            const isUnavailable = clock.monotonic() - (failingSince.get(name) ?? Infinity) > unavailableAfterMs;
            return isUnavailable ? [] : [{ name, models, loading: [], leaving, acceptsOrders: false }];
        }
        if (state.models === undefined) {
            return [{ name, models, loading: [], leaving, acceptsOrders: false }];
        }
        const wanted = desired.get(name)?.models ?? union(state.models, state.loading);
        const loaded = wanted.filter(model => state.models?.includes(model));
        const loading = wanted.filter(model => !loaded.includes(model));
        return [{ name, models: loaded, loading, leaving, acceptsOrders: true }];
    }

    /** A model that an engine is about to give up gets no more calls. */
    function routableModels(): ReadonlyMap<string, readonly string[]> {
        const models = new Map<string, readonly string[]>();
        for (const [engine, { state }] of reported) {
            if (state.models !== undefined) {
                const wanted = desired.get(engine)?.models ?? state.models;
                models.set(engine, state.models.filter(model => wanted.includes(model)));
            }
        }
        return models;
    }

    /** Brings an engine to what it is to hold, as far as it can be now; the next pass does the rest. */
    async function reconcileEngine(engine: string): Promise<void> {
        try {
            const authority = options.authority();
            let state = failingSince.has(engine) ? undefined : reported.get(engine)?.state;
            for (let sentOrders = 0; sentOrders < maxOrdersPerPass && state !== undefined && !stopped;
                sentOrders += 1) {
                const order = authority?.owns(engine) === true ? nextOrder(engine, state, authority.fence) : undefined;
                if (authority === undefined || order === undefined) {
                    return;
                }
                state = await sendOrder(engine, order, authority);
            }
        }
        catch (error) {
            log("%s was not brought to its models: %s.", engine, (error as Error).message);
        }
    }

    function nextOrder(engine: string, state: EngineOrders, fence: number): EngineOrder | undefined {
        const wanted = desired.get(engine);
        if (wanted === undefined || state.models === undefined) {
            return undefined;
        }
        const held = union(state.models, state.loading);
        const unwanted = held.find(model => !wanted.models.includes(model));
        if (unwanted !== undefined) {
            return { fence, action: "unload", model: unwanted };
        }
        const missing = wanted.models.find(model => !held.includes(model));
        if (missing !== undefined && loadsInProgress() < defaultPlacementLimits.maxConcurrentLoads) {
            return { fence, action: "load", model: missing };
        }
        return wanted.fenceAnnounced ? undefined : fenceAnnouncement(state, fence);
    }

    function loadsInProgress(): number {
        return [...reported.values()].reduce((sum, { state }) => sum + state.loading.length, 0);
    }

    /** Gives an order and answers with the state after it; undefined when the order was not given or not accepted. */
    async function sendOrder(engine: string, order: EngineOrder,
        authority: OrderAuthority): Promise<EngineOrders | undefined> {
        const currentState = await readState(engine);
        if (currentState.fence > authority.fence) {
            options.onStaleFence();
            return undefined;
        }
        if (!hasEffect(order, currentState)) {
            return currentState;
        }
        const client = clientOf(engine);
        if (client === undefined || !await ensureRecentLease(authority) ||
            options.authority()?.fence !== authority.fence) {
            return undefined;
        }
        if (!await client.order(order)) {
            log("%s refuses the fencing token %d.", engine, order.fence);
            options.onStaleFence();
            return undefined;
        }
        const wanted = desired.get(engine);
        if (wanted !== undefined) {
            desired.set(engine, { ...wanted, fenceAnnounced: true });
        }
        return readState(engine);
    }

    async function ensureRecentLease(authority: OrderAuthority): Promise<boolean> {
        if (authority.leaseAge() >= maxLeaseAgeMs) {
            await Promise.race([authority.renewLease(), sleep(renewalTimeoutMs)]);
        }
        return authority.leaseAge() < maxLeaseAgeMs;
    }

    return {
        reconcile,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            stopRepeating();
            await lastPass;
        },
    };
}

/** An order that changes nothing, from which a fenced engine learns the new token before the last owner's orders. */
function fenceAnnouncement(state: EngineOrders, fence: number): EngineOrder | undefined {
    const model = state.models?.[0];
    if (state.role !== undefined) {
        return { fence, action: "role", role: state.role };
    }
    return model === undefined ? undefined : { fence, action: "load", model };
}

function hasEffect(order: EngineOrder, state: EngineOrders): boolean {
    switch (order.action) {
        case "load":
            // A load of what is loaded changes nothing and only announces the token.
            return !state.loading.includes(order.model);
        case "unload":
            return union(state.models ?? [], state.loading).includes(order.model);
        case "role":
            return true;
    }
}

function union(left: readonly string[], right: readonly string[]): readonly string[] {
    return [...new Set([...left, ...right])];
}
