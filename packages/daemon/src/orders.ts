import { decidePlacement, defaultPlacementLimits, demandByModel, initialPlacementState } from "@tamarackgauge/core";
import type { Clock, EngineModels, PlacementState } from "@tamarackgauge/core";
import type { EngineControl, EngineOrder, EngineOrders } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { repeat } from "./repeat.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:orders");

/** The authority to send orders to engines, granted by one version of the ownership map. */
export interface OrderAuthority {
    /** Fencing token: the version of the ownership map. */
    readonly fence: number;
    owns(engine: string): boolean;
    /** Milliseconds since the last confirmation of the lease. */
    leaseAge(): number;
    /** Renews the lease; rejects if the lease was lost. */
    renewLease(): Promise<void>;
}

/** An engine of the VM list. */
export interface ListedEngine {
    readonly name: string;
    readonly models: readonly string[] | undefined;
    readonly leaving: boolean;
}

/** Numbers of calls of all daemons: waiting calls by model, and running calls by engine. */
export interface CallCounts {
    readonly waiting: ReadonlyMap<string, number>;
    readonly running: ReadonlyMap<string, number>;
}

/** Reconciles the models loaded on the engines of this daemon's partitions with the desired models. */
export interface OrderReconciler {
    /**
     * Reads the state of the engines, decides the placement and sends the necessary orders. Concurrent calls run one
     * after another.
     */
    reconcile(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the reconciler; times in milliseconds. */
export interface OrderReconcilerOptions {
    readonly clock: Clock;
    readonly engines: () => readonly ListedEngine[];
    readonly clientOf: (engine: string) => EngineControl | undefined;
    /** Undefined while this daemon has no lease or no ownership map. */
    readonly authority: () => OrderAuthority | undefined;
    /** Called when an engine has seen a newer fencing token than this daemon's. */
    readonly onStaleFence: () => void;
    /** Models that at least one plan may use; undefined before the first configuration. */
    readonly plannedModels: () => ReadonlySet<string> | undefined;
    readonly callCounts: () => CallCounts;
    /** Called with the models that each engine may receive calls for; only engines that report models are included. */
    readonly onRoutableModels: (models: ReadonlyMap<string, readonly string[]>) => void;
    readonly interval?: number;
}

/** An outdated order accepted by an engine that ignores the fencing token is reverted after this time (I11). */
const defaultIntervalMs = 5_000;
/** Maximum time since the last confirmation of the lease when an order is sent. */
const maxLeaseAgeMs = 1_000;
const renewalTimeoutMs = 1_000;
/** An engine whose state cannot be read for this long counts as unavailable. */
const unavailableAfterMs = 15_000;
/**
 * Up to this number of engines, every daemon polls all of them: 64 states in 5 s are about 2 KB/s. With more engines, a
 * daemon polls only those it owns.
 */
const maxPolledEngines = 64;

/** Maximum number of orders per engine and pass, for engines that accept orders but do not carry them out. */
const maxOrdersPerPass = 4;

interface ReportedState {
    readonly state: EngineOrders;
    readonly readAt: number;
}

interface DesiredState {
    readonly models: readonly string[];
    /** Whether the engine has received the fencing token of this ownership. */
    readonly fenceAnnounced: boolean;
}

/** Creates the reconciler and starts it. */
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
            log("Reconciling the engines failed: %s.", (error as Error).message);
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
        // Adopts the state that was read before this daemon became the owner as the desired state, so that the effect
        // of a late order of the previous owner is not adopted.
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
            reported.set(engine, { state, readAt: clock.monotonic() });
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
                log("Engine %s will load %s and unload %s.", engine, load, unload ?? "nothing");
                desired.set(engine, { ...current, models: [...current.models.filter(each => each !== unload), load] });
            }
        }
    }

    /** The placement input for an engine: the desired models of owned engines, the reported models of others. */
    function placementInputOf({ name, models, leaving }: ListedEngine): readonly EngineModels[] {
        const state = reported.get(name)?.state;
        if (state === undefined) {
            const isUnavailable = clock.monotonic() - (failingSince.get(name) ?? Infinity) > unavailableAfterMs;
            return isUnavailable ? [] : [{ name, models, loading: [], leaving, acceptsOrders: false }];
        }
        if (state.models === undefined) {
            return [{ name, models, loading: [], leaving, acceptsOrders: false }];
        }
        const desiredModels = desired.get(name)?.models ?? union(state.models, state.loading);
        const loaded = desiredModels.filter(model => state.models?.includes(model));
        const loading = desiredModels.filter(model => !loaded.includes(model));
        return [{ name, models: loaded, loading, leaving, acceptsOrders: true }];
    }

    /** The models that each engine may receive calls for; models that are about to be unloaded are left out. */
    function routableModels(): ReadonlyMap<string, readonly string[]> {
        const models = new Map<string, readonly string[]>();
        for (const [engine, { state }] of reported) {
            if (state.models !== undefined) {
                const desiredModels = desired.get(engine)?.models ?? state.models;
                models.set(engine, state.models.filter(model => desiredModels.includes(model)));
            }
        }
        return models;
    }

    /** Sends an engine the orders towards its desired state that can be sent now; the next pass sends the rest. */
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
            log("Reconciling engine %s failed: %s.", engine, (error as Error).message);
        }
    }

    function nextOrder(engine: string, state: EngineOrders, fence: number): EngineOrder | undefined {
        const desiredState = desired.get(engine);
        if (desiredState === undefined || state.models === undefined) {
            return undefined;
        }
        const presentModels = union(state.models, state.loading);
        const unwanted = presentModels.find(model => !desiredState.models.includes(model));
        if (unwanted !== undefined) {
            return { fence, action: "unload", model: unwanted };
        }
        const missing = desiredState.models.find(model => !presentModels.includes(model));
        if (missing !== undefined && loadsInProgress() < defaultPlacementLimits.maxConcurrentLoads) {
            return { fence, action: "load", model: missing };
        }
        return desiredState.fenceAnnounced ? undefined : fenceAnnouncement(state, fence);
    }

    function loadsInProgress(): number {
        return [...reported.values()].reduce((sum, { state }) => sum + state.loading.length, 0);
    }

    /** Sends an order and returns the state after it; undefined if the order was not sent or not accepted. */
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
            log("Engine %s refused the fencing token %d.", engine, order.fence);
            options.onStaleFence();
            return undefined;
        }
        const desiredState = desired.get(engine);
        if (desiredState !== undefined) {
            desired.set(engine, { ...desiredState, fenceAnnounced: true });
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

/**
 * An order without effect that announces the new fencing token to an engine, so that it refuses later orders of the
 * previous owner.
 */
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
            // Loading a loaded model has no effect but is still sent, since it announces the token.
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
