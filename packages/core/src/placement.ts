import { rankByRendezvous } from "./hash.ts";

/** Which models an engine has. Names of models may carry an adapter and a version; they are compared as a whole. */
export interface EngineModels {
    readonly name: string;
    /** Models it serves and is to serve; undefined when it serves any. */
    readonly models: readonly string[] | undefined;
    /** Whether it can be told to load and unload; otherwise it only counts for what it serves. */
    readonly acceptsOrders: boolean;
    readonly loading: readonly string[];
    readonly leaving: boolean;
}

/** Calls of all daemons for one model. */
export interface Demand {
    readonly waiting: number;
    readonly running: number;
}

/** What placement decides on. Models that are not in `demand` have none. */
export interface PlacementInput {
    /** Models that some plan may use. */
    readonly planned: ReadonlySet<string>;
    readonly engines: readonly EngineModels[];
    readonly demand: ReadonlyMap<string, Demand>;
}

/** A model that an engine is to load, in place of another one when the engine has no room. */
export interface Move {
    readonly engine: string;
    readonly load: string;
    readonly unload: string | undefined;
}

/** Limits of placement; times in milliseconds. */
export interface PlacementLimits {
    readonly maxConcurrentLoads: number;
    readonly maxModelsPerEngine: number;
    /** Waiting calls per engine below which a model asks for nothing. */
    readonly minWaitingPerEngine: number;
    /** How many times the calls per engine of the model that gives an engine the other one must have waiting. */
    readonly minLoadRatio: number;
    /** How long that must last. */
    readonly minBacklogMs: number;
    /** How long a model keeps its engines after a change of their number. */
    readonly cooldownMs: number;
}

/** What placement remembers between two decisions. */
export interface PlacementState {
    /** By model: since when it has waited for one more engine. */
    readonly backlogSince: ReadonlyMap<string, number>;
    /** By model: how many engines it had, and since when. */
    readonly engineCounts: ReadonlyMap<string, { readonly engines: number; readonly since: number; }>;
}

/**
 * A load takes tens of seconds and empties a prefix cache, so demand that lasts less than `holdMs` is left to the
 * queue. Two loads at once leave the rest of the weight store's rate to VMs that start.
 */
export const defaultPlacementLimits: PlacementLimits = {
    maxConcurrentLoads: 2,
    maxModelsPerEngine: 1,
    minWaitingPerEngine: 4,
    minLoadRatio: 4,
    minBacklogMs: 30_000,
    cooldownMs: 60_000,
};

/** Before the first decision. */
export const initialPlacementState: PlacementState = { backlogSince: new Map(), engineCounts: new Map() };

/**
 * Decides which engines load which models. The same input gives the same moves on every daemon, so that each can carry
 * out the moves of the engines it gives orders to.
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

/** Adds up calls by model; calls on an engine with several models count for each in equal parts. */
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
    /** Models by engine, in order of the name; what is being loaded counts. */
    readonly modelsByEngine: ReadonlyMap<string, readonly string[]>;
    /** Engines that take orders and are loaded with a model or load it. */
    readonly enginesByModel: ReadonlyMap<string, readonly string[]>;
    /** By model: the holder that is never taken from it. */
    readonly reservedEngines: ReadonlyMap<string, string | undefined>;
    /** Engines that may load a model without giving one up. */
    readonly enginesWithCapacity: readonly string[];
    /** Engines without orders: how many serve any model, and how many each model. */
    readonly unrestrictedEngines: number;
    readonly fixedEngines: ReadonlyMap<string, number>;
    readonly loading: ReadonlySet<string>;
    readonly loadsInProgress: number;
    readonly demand: ReadonlyMap<string, Demand>;
    /** Engines that a move has just changed. */
    readonly movedEngines: ReadonlySet<string>;
    /** Models whose number of engines has changed lately. */
    readonly coolingDown: ReadonlySet<string>;
    readonly limits: PlacementLimits;
}

function createView(input: PlacementInput, limits: PlacementLimits): View {
    const liveEngines = input.engines.filter(engine => !engine.leaving);
    const modelsByEngine = new Map<string, readonly string[]>();
    const fixedEngines = new Map<string, number>();
    for (const { name, models, loading, acceptsOrders: takesOrders } of liveEngines) {
        if (models !== undefined && takesOrders) {
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
        // The first count is no change: a daemon that has just started has seen no model change its engines.
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
        .filter(([model, backloggedAt]) =>
            now - backloggedAt >= view.limits.minBacklogMs && engineCount(view, model) > 0
        )
        .filter(([model]) => !view.loading.has(model) && !view.coolingDown.has(model))
        .sort(([left], [right]) => callsPerEngine(view, right).waiting - callsPerEngine(view, left).waiting)
        .map(([model]) => model);
}

/** The engine that can best load a model: one with room, else one whose model is wanted least. */
function chooseMove(view: View, model: string): Move | undefined {
    const withCapacity = highestRanked(view, model, view.enginesWithCapacity);
    if (withCapacity !== undefined) {
        return { engine: withCapacity, load: model, unload: undefined };
    }
    for (const unload of donorsFor(view, model)) {
        // Two daemons that each take one of a model's last two engines would leave it none: both spare the same one.
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

/** Models that may give up an engine for another model, the least wanted first. */
function donorsFor(view: View, model: string): readonly string[] {
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
