import { rankByRendezvous } from "./hash.ts";

/** The models of an engine. Model names may include an adapter and a version; they are compared as a whole. */
export interface EngineModels {
    readonly name: string;
    /** Models that it serves or has been ordered to serve; undefined when it serves any model. */
    readonly models: readonly string[] | undefined;
    /** Whether it accepts orders to load and unload models; otherwise it only counts for the models it serves. */
    readonly acceptsOrders: boolean;
    readonly loading: readonly string[];
    readonly leaving: boolean;
}

/** Calls for one model, of all daemons. */
export interface Demand {
    readonly waiting: number;
    readonly running: number;
}

/** Input of a placement decision. Models that are not in `demand` have no calls. */
export interface PlacementInput {
    /** Models that at least one plan may use. */
    readonly planned: ReadonlySet<string>;
    readonly engines: readonly EngineModels[];
    readonly demand: ReadonlyMap<string, Demand>;
}

/** A model for an engine to load, and the model to unload if the engine has no capacity for both. */
export interface Move {
    readonly engine: string;
    readonly load: string;
    readonly unload: string | undefined;
}

/** Limits of placement; times in milliseconds. */
export interface PlacementLimits {
    readonly maxConcurrentLoads: number;
    readonly maxModelsPerEngine: number;
    /** Number of waiting calls per engine from which a model counts as backlogged. */
    readonly minWaitingPerEngine: number;
    /** Minimum ratio of the waiting calls per engine of the gaining model to all calls per engine of the losing one. */
    readonly minLoadRatio: number;
    /** How long a backlog must last before the model gets another engine. */
    readonly minBacklogMs: number;
    /** How long the number of engines of a model stays fixed after a change. */
    readonly cooldownMs: number;
}

/** State kept between two placement decisions. */
export interface PlacementState {
    /** By model: since when it has had a backlog that another engine could serve. */
    readonly backlogSince: ReadonlyMap<string, number>;
    /** By model: the number of its engines, and since when. */
    readonly engineCounts: ReadonlyMap<string, { readonly engines: number; readonly since: number; }>;
}

/**
 * Loading a model takes tens of seconds and empties a prefix cache, so a backlog shorter than `minBacklogMs` is left to
 * the queue. With two concurrent loads, starting VMs keep the rest of the weight store's rate.
 */
export const defaultPlacementLimits: PlacementLimits = {
    maxConcurrentLoads: 2,
    maxModelsPerEngine: 1,
    minWaitingPerEngine: 4,
    minLoadRatio: 4,
    minBacklogMs: 30_000,
    cooldownMs: 60_000,
};

/** State before the first decision. */
export const initialPlacementState: PlacementState = { backlogSince: new Map(), engineCounts: new Map() };

/**
 * Decides which engines load which models. Deterministic: the same input gives the same moves on every daemon, and each
 * daemon carries out the moves of the engines it sends orders to.
 */
export function decidePlacement(
    state: PlacementState,
    input: PlacementInput,
    now: number,
    limits: PlacementLimits = defaultPlacementLimits,
): { readonly state: PlacementState; readonly moves: readonly Move[]; } {
    const observed = createView(input, limits);
    const engineCounts = updateEngineCounts(state.engineCounts, observed, now);
    const view = { ...observed, coolingDown: modelsCoolingDown(engineCounts, now, limits.cooldownMs) };
    const backlogSince = updateBacklogSince(state.backlogSince, view, now);
    const maxMoves = Math.max(0, limits.maxConcurrentLoads - view.loadsInProgress);
    const wantedModels = [...modelsWithoutEngine(view), ...modelsWithBacklog(view, backlogSince, now)];
    const moves: Move[] = [];
    let current: View = view;
    for (const model of wantedModels) {
        const move = moves.length < maxMoves ? chooseMove(current, model) : undefined;
        if (move !== undefined) {
            moves.push(move);
            current = applyMove(current, move);
        }
    }
    return { state: { backlogSince, engineCounts }, moves };
}

/** Sums up calls by model; calls on an engine with several models are split equally among them. */
export function demandByModel(
    waiting: ReadonlyMap<string, number>,
    running: ReadonlyMap<string, number>,
    engines: readonly EngineModels[],
): ReadonlyMap<string, Demand> {
    const demand = new Map(
        [...waiting].map(([model, count]): [string, Demand] => [model, { waiting: count, running: 0 }]),
    );
    for (const { name, models } of engines) {
        for (const model of models ?? []) {
            const previous = demand.get(model) ?? { waiting: 0, running: 0 };
            const share = (running.get(name) ?? 0) / (models?.length ?? 1);
            demand.set(model, { waiting: previous.waiting, running: previous.running + share });
        }
    }
    return demand;
}

interface View {
    readonly planned: ReadonlySet<string>;
    /** Sorted models of each engine that accepts orders, including those being loaded. */
    readonly modelsByEngine: ReadonlyMap<string, readonly string[]>;
    /** By model: the engines that accept orders and have loaded it or are loading it. */
    readonly enginesByModel: ReadonlyMap<string, readonly string[]>;
    /** By model: the engine that is never taken from it. */
    readonly reservedEngines: ReadonlyMap<string, string | undefined>;
    /** Engines that can load a model without unloading another one. */
    readonly enginesWithCapacity: readonly string[];
    /** Numbers of engines that accept no orders: those that serve any model, and those of each model. */
    readonly unrestrictedEngines: number;
    readonly fixedEngines: ReadonlyMap<string, number>;
    readonly loading: ReadonlySet<string>;
    readonly loadsInProgress: number;
    readonly demand: ReadonlyMap<string, Demand>;
    /** Engines that already have a move in this decision. */
    readonly movedEngines: ReadonlySet<string>;
    /** Models whose number of engines changed within the cooldown. */
    readonly coolingDown: ReadonlySet<string>;
    readonly limits: PlacementLimits;
}

function createView(input: PlacementInput, limits: PlacementLimits): View {
    const liveEngines = input.engines.filter(engine => !engine.leaving);
    const modelsByEngine = new Map<string, readonly string[]>();
    const fixedEngines = new Map<string, number>();
    for (const { name, models, loading, acceptsOrders } of liveEngines) {
        if (models !== undefined && acceptsOrders) {
            modelsByEngine.set(name, [...new Set([...models, ...loading])].sort());
        }
        else {
            models?.forEach(model => fixedEngines.set(model, (fixedEngines.get(model) ?? 0) + 1));
        }
    }
    return {
        planned: new Set([...input.planned].sort()),
        ...indexModels(modelsByEngine, limits),
        unrestrictedEngines: liveEngines.filter(({ models }) => models === undefined).length,
        fixedEngines,
        loading: new Set(liveEngines.flatMap(({ loading }) => loading)),
        loadsInProgress: input.engines.reduce((sum, { loading }) => sum + loading.length, 0),
        demand: input.demand,
        movedEngines: new Set(),
        coolingDown: new Set(),
        limits,
    };
}

function indexModels(
    modelsByEngine: View["modelsByEngine"],
    limits: PlacementLimits,
): Pick<View, "modelsByEngine" | "enginesByModel" | "reservedEngines" | "enginesWithCapacity"> {
    const enginesByModel = new Map<string, string[]>();
    for (const [engine, models] of modelsByEngine) {
        for (const model of models) {
            const engines = enginesByModel.get(model);
            if (engines === undefined) {
                enginesByModel.set(model, [engine]);
            }
            else {
                engines.push(engine);
            }
        }
    }
    const reservedEngines = new Map(
        [...enginesByModel].map(([model, engines]) => [model, rankByRendezvous(`keeper ${model}`, engines)[0]]),
    );
    const enginesWithCapacity = [...modelsByEngine].filter(([, models]) => models.length < limits.maxModelsPerEngine)
        .map(([engine]) => engine);
    return { modelsByEngine, enginesByModel, reservedEngines, enginesWithCapacity };
}

function engineCount(view: View, model: string): number {
    return (view.enginesByModel.get(model)?.length ?? 0) + (view.fixedEngines.get(model) ?? 0) +
        view.unrestrictedEngines;
}

/** Waiting calls per engine, and all calls per engine. */
function callsPerEngine(view: View, model: string): { readonly waiting: number; readonly all: number; } {
    const { waiting, running } = view.demand.get(model) ?? { waiting: 0, running: 0 };
    const engines = Math.max(1, engineCount(view, model));
    return { waiting: waiting / engines, all: (waiting + running) / engines };
}

function updateEngineCounts(previous: PlacementState["engineCounts"], view: View,
    now: number): PlacementState["engineCounts"] {
    return new Map([...view.planned].map(model => {
        const engines = engineCount(view, model);
        const last = previous.get(model);
        // The first count is not a change, so no model is in cooldown when a daemon has just started.
        const since = last === undefined ? -Infinity : now;
        return [model, last?.engines === engines ? last : { engines, since }];
    }));
}

function modelsCoolingDown(counts: PlacementState["engineCounts"], now: number,
    cooldownMs: number): ReadonlySet<string> {
    return new Set([...counts].filter(([, { since }]) => now - since < cooldownMs).map(([model]) => model));
}

function updateBacklogSince(previous: PlacementState["backlogSince"], view: View, now: number) {
    const backloggedModels = [...view.planned].filter(model =>
        callsPerEngine(view, model).waiting >= view.limits.minWaitingPerEngine && chooseMove(view, model) !== undefined
    );
    return new Map(backloggedModels.map(model => [model, previous.get(model) ?? now]));
}

function modelsWithoutEngine(view: View): readonly string[] {
    return [...view.planned].filter(model => engineCount(view, model) === 0);
}

function modelsWithBacklog(view: View, backlogSince: PlacementState["backlogSince"], now: number): readonly string[] {
    return [...backlogSince]
        .filter(([model, startedAt]) => now - startedAt >= view.limits.minBacklogMs && engineCount(view, model) > 0)
        .filter(([model]) => !view.loading.has(model) && !view.coolingDown.has(model))
        .sort(([left], [right]) => callsPerEngine(view, right).waiting - callsPerEngine(view, left).waiting)
        .map(([model]) => model);
}

/** Chooses an engine to load the model: one with capacity, else one of the model with the fewest calls per engine. */
function chooseMove(view: View, model: string): Move | undefined {
    const withCapacity = highestRanked(view, model, view.enginesWithCapacity);
    if (withCapacity !== undefined) {
        return { engine: withCapacity, load: model, unload: undefined };
    }
    for (const unload of modelsToUnload(view, model)) {
        // Two daemons that each take one of a model's last two engines would leave it none, so one engine is reserved.
        // The rendezvous hash makes it the same on every daemon.
        const reserved = view.planned.has(unload) ? view.reservedEngines.get(unload) : undefined;
        const engine = highestRanked(view, model, view.enginesByModel.get(unload)?.filter(each =>
            each !== reserved
        ) ?? []);
        if (engine !== undefined) {
            return { engine, load: model, unload };
        }
    }
    return undefined;
}

function highestRanked(view: View, model: string, engines: readonly string[]): string | undefined {
    const eligible = engines.filter(each =>
        !view.movedEngines.has(each) && view.modelsByEngine.get(each)?.includes(model) === false
    );
    return rankByRendezvous(model, eligible)[0];
}

/** Models that may lose an engine to another model, those with the fewest calls per engine first. */
function modelsToUnload(view: View, model: string): readonly string[] {
    const hasNoEngine = engineCount(view, model) === 0;
    const maxLoad = hasNoEngine ? Infinity : callsPerEngine(view, model).waiting / view.limits.minLoadRatio;
    return [...view.enginesByModel.keys()]
        .filter(donor => donor !== model && !view.loading.has(donor) && (hasNoEngine || !view.coolingDown.has(donor)))
        .map(donor => ({ donor, load: view.planned.has(donor) ? callsPerEngine(view, donor).all : -1 }))
        .filter(({ load }) => load <= maxLoad)
        .sort((left, right) => left.load - right.load || (left.donor < right.donor ? -1 : 1))
        .map(({ donor }) => donor);
}

function applyMove(view: View, { engine, load, unload }: Move): View {
    const models = (view.modelsByEngine.get(engine) ?? []).filter(model => model !== unload);
    const modelsByEngine = new Map(view.modelsByEngine).set(engine, [...models, load].sort());
    return { ...view, ...indexModels(modelsByEngine, view.limits),
        movedEngines: new Set([...view.movedEngines, engine]) };
}
