import { decidePlacement, defaultPlacementLimits, demandByModel, initialPlacementState } from "@tamarackgauge/core";
import type { Clock, EngineModels, PlacementState } from "@tamarackgauge/core";
import type { EngineControl, EngineOrder, EngineOrders } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { repeat } from "./repeat.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:orders");

/** The right to give orders, as of one version of the ownership map. */
export interface OrderRight {
    /** Fencing token: the version of the map. */
    readonly fence: number;
    owns(engine: string): boolean;
    /** Milliseconds since the lease was last confirmed. */
    age(): number;
    /** Renews the lease; rejects when it was lost. */
    confirm(): Promise<void>;
}

/** An engine as the VM list gives it. */
export interface ListedEngine {
    readonly name: string;
    readonly models: readonly string[] | undefined;
    readonly leaving: boolean;
}

/** Calls of all daemons: waiting by model, and running by engine. */
export interface Calls {
    readonly waiting: ReadonlyMap<string, number>;
    readonly running: ReadonlyMap<string, number>;
}

/** Keeps the engines of this daemon's partitions at the models they are to hold. */
export interface Orders {
    /** Reads all engines, decides, and gives the orders that are due. Passes run one after another. */
    reconcile(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the orders; times in milliseconds. */
export interface OrdersOptions {
    readonly clock: Clock;
    readonly engines: () => readonly ListedEngine[];
    readonly clientOf: (engine: string) => EngineControl | undefined;
    /** Undefined while this daemon has no lease or no map. */
    readonly right: () => OrderRight | undefined;
    /** An engine has seen a newer fencing token than this daemon's. */
    readonly onOldFence: () => void;
    /** Models that some plan may use; undefined before the first configuration. */
    readonly planned: () => ReadonlySet<string> | undefined;
    readonly calls: () => Calls;
    /** Called with the models to send calls for, by engine, of the engines that report a list. */
    readonly onModels: (models: ReadonlyMap<string, readonly string[]>) => void;
    readonly interval?: number;
}

/** A wrong order on an engine that ignores the fencing token is undone after this time (I11). */
const defaultInterval = 5_000;
/** Largest age of the lease's confirmation at an order. */
const leaseAge = 1_000;
const confirmTimeout = 1_000;
/** An engine that gives no state for this long counts as not serving. */
const stateAge = 15_000;
/** Engines read by every daemon; 64 states in 5 s are about 2 KB/s. Above, a daemon reads its own engines only. */
const mostRead = 64;

/** Orders per engine and pass; an engine that accepts orders without effect is not asked forever. */
const mostOrders = 4;

interface Seen {
    readonly state: EngineOrders;
    readonly at: number;
}

interface Desired {
    readonly models: readonly string[];
    /** Whether the engine was told the fencing token of this ownership. */
    readonly announced: boolean;
}

/** Creates the orders and starts reconciling. */
export function createOrders(options: OrdersOptions): Orders {
    const { clock, clientOf } = options;
    const seen = new Map<string, Seen>();
    const failing = new Map<string, number>();
    const desired = new Map<string, Desired>();
    let placement: PlacementState = initialPlacementState;
    let stopped = false;
    let work: Promise<void> = Promise.resolve();

    const stop = repeat(options.interval ?? defaultInterval, reconcile);

    function reconcile(): Promise<void> {
        work = work.then(pass).catch((error: unknown) => {
            log("A pass failed: %s.", (error as Error).message);
        });
        return work;
    }

    async function pass(): Promise<void> {
        if (stopped) {
            return;
        }
        const listed = options.engines();
        const right = options.right();
        dropGone(listed, right);
        // The state from before this ownership is adopted: a late order of the last owner must not pass as wanted.
        adopt(listed, right);
        await readStates(listed, right);
        adopt(listed, right);
        if (right !== undefined) {
            place(listed, right);
        }
        options.onModels(modelsToUse());
        for (const engine of desired.keys()) {
            await bring(engine);
        }
    }

    function dropGone(listed: readonly ListedEngine[], right: OrderRight | undefined): void {
        const names = new Set(listed.map(({ name }) => name));
        for (const each of [seen, failing]) {
            [...each.keys()].filter(name => !names.has(name)).forEach(name => each.delete(name));
        }
        for (const name of [...desired.keys()]) {
            if (!names.has(name) || right?.owns(name) !== true) {
                desired.delete(name);
            }
        }
    }

    function adopt(listed: readonly ListedEngine[], right: OrderRight | undefined): void {
        for (const { name } of listed) {
            const state = seen.get(name)?.state;
            if (state !== undefined && state.models === undefined) {
                desired.delete(name);
            }
            if (state?.models !== undefined && right?.owns(name) === true && !desired.has(name)) {
                desired.set(name, { models: union(state.models, state.loading), announced: false });
            }
        }
    }

    async function readStates(listed: readonly ListedEngine[], right: OrderRight | undefined): Promise<void> {
        const read = listed.length <= mostRead ? listed : listed.filter(({ name }) => right?.owns(name) === true);
        await Promise.all(read.map(({ name }) => readState(name).catch(() => undefined)));
    }

    async function readState(engine: string): Promise<EngineOrders> {
        const client = clientOf(engine);
        if (client === undefined) {
            throw new Error(`${engine} is not listed any more`);
        }
        try {
            const state = await client.orders();
            seen.set(engine, { state, at: clock.monotonic() });
            failing.delete(engine);
            return state;
        }
        catch (error) {
            const now = clock.monotonic();
            const since = failing.get(engine) ?? now;
            failing.set(engine, since);
            if (now - since > stateAge) {
                seen.delete(engine);
            }
            throw error;
        }
    }

    function place(listed: readonly ListedEngine[], right: OrderRight): void {
        const planned = options.planned();
        if (planned === undefined) {
            return;
        }
        const engines = listed.flatMap(engine => modelsOf(engine));
        const { waiting, running } = options.calls();
        const demand = demandByModel(waiting, running, engines);
        const decided = decidePlacement(placement, { planned, engines, demand }, clock.monotonic());
        placement = decided.state;
        for (const { engine, load, unload } of decided.moves) {
            const current = desired.get(engine);
            if (current !== undefined && right.owns(engine)) {
                log("%s is to load %s in place of %s.", engine, load, unload ?? "nothing");
                desired.set(engine, { ...current, models: [...current.models.filter(each => each !== unload), load] });
            }
        }
    }

    /** What placement sees of an engine: for own engines what they are to hold, for others what they report. */
    function modelsOf({ name, models, leaving }: ListedEngine): readonly EngineModels[] {
        const state = seen.get(name)?.state;
        if (state === undefined) {
            const isSilent = clock.monotonic() - (failing.get(name) ?? Infinity) > stateAge;
            return isSilent ? [] : [{ name, models, loading: [], leaving, acceptsOrders: false }];
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
    function modelsToUse(): ReadonlyMap<string, readonly string[]> {
        const models = new Map<string, readonly string[]>();
        for (const [engine, { state }] of seen) {
            if (state.models !== undefined) {
                const wanted = desired.get(engine)?.models ?? state.models;
                models.set(engine, state.models.filter(model => wanted.includes(model)));
            }
        }
        return models;
    }

    /** Brings an engine to what it is to hold, as far as it can be now; the next pass does the rest. */
    async function bring(engine: string): Promise<void> {
        try {
            const right = options.right();
            let state = failing.has(engine) ? undefined : seen.get(engine)?.state;
            for (let given = 0; given < mostOrders && state !== undefined && !stopped; given += 1) {
                const order = right?.owns(engine) === true ? nextOrder(engine, state, right.fence) : undefined;
                if (right === undefined || order === undefined) {
                    return;
                }
                state = await give(engine, order, right);
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
        const extra = held.find(model => !wanted.models.includes(model));
        if (extra !== undefined) {
            return { fence, action: "unload", model: extra };
        }
        const lacking = wanted.models.find(model => !held.includes(model));
        if (lacking !== undefined && loadsNow() < defaultPlacementLimits.maxConcurrentLoads) {
            return { fence, action: "load", model: lacking };
        }
        return wanted.announced ? undefined : announcement(state, fence);
    }

    function loadsNow(): number {
        return [...seen.values()].reduce((sum, { state }) => sum + state.loading.length, 0);
    }

    /** Gives an order and answers with the state after it; undefined when the order was not given or not accepted. */
    async function give(engine: string, order: EngineOrder, right: OrderRight): Promise<EngineOrders | undefined> {
        const before = await readState(engine);
        if (before.fence > right.fence) {
            options.onOldFence();
            return undefined;
        }
        if (!isDue(order, before)) {
            return before;
        }
        const client = clientOf(engine);
        if (client === undefined || !await isConfirmed(right) || options.right()?.fence !== right.fence) {
            return undefined;
        }
        if (!await client.order(order)) {
            log("%s refuses the fencing token %d.", engine, order.fence);
            options.onOldFence();
            return undefined;
        }
        const wanted = desired.get(engine);
        if (wanted !== undefined) {
            desired.set(engine, { ...wanted, announced: true });
        }
        return readState(engine);
    }

    async function isConfirmed(right: OrderRight): Promise<boolean> {
        if (right.age() >= leaseAge) {
            await Promise.race([right.confirm(), sleep(confirmTimeout)]);
        }
        return right.age() < leaseAge;
    }

    return {
        reconcile,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            stop();
            await work;
        },
    };
}

/** An order that changes nothing, from which a fenced engine learns the new token before the last owner's orders. */
function announcement(state: EngineOrders, fence: number): EngineOrder | undefined {
    const model = state.models?.[0];
    if (state.role !== undefined) {
        return { fence, action: "role", role: state.role };
    }
    return model === undefined ? undefined : { fence, action: "load", model };
}

function isDue(order: EngineOrder, state: EngineOrders): boolean {
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
