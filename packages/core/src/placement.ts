import { rankByRendezvous } from "./hash.ts";

/** Which models an engine has. Names of models may carry an adapter and a version; they are compared as a whole. */
export interface EngineModels {
    readonly name: string;
    /** Models it serves and is to serve; undefined when it serves any. */
    readonly models: readonly string[] | undefined;
    /** Whether it can be told to load and unload; otherwise it only counts for what it serves. */
    readonly takesOrders: boolean;
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
    readonly loadsAtOnce: number;
    readonly modelsPerEngine: number;
    /** Waiting calls per engine below which a model asks for nothing. */
    readonly waitingPerEngine: number;
    /** How many times the calls per engine of the model that gives an engine the other one must have waiting. */
    readonly ratio: number;
    /** How long that must last. */
    readonly holdMs: number;
    /** How long a model keeps its engines after a change of their number. */
    readonly settleMs: number;
}

/** What placement remembers between two decisions. */
export interface PlacementState {
    /** By model: since when it has waited for one more engine. */
    readonly pressedSince: ReadonlyMap<string, number>;
    /** By model: how many engines it had, and since when. */
    readonly counts: ReadonlyMap<string, { readonly engines: number; readonly since: number; }>;
}

/**
 * A load takes tens of seconds and empties a prefix cache, so demand that lasts less than `holdMs` is left to the
 * queue. Two loads at once leave the rest of the weight store's rate to VMs that start.
 */
export const usualPlacement: PlacementLimits = {
    loadsAtOnce: 2,
    modelsPerEngine: 1,
    waitingPerEngine: 4,
    ratio: 4,
    holdMs: 30_000,
    settleMs: 60_000,
};

/** Before the first decision. */
export const noPlacement: PlacementState = { pressedSince: new Map(), counts: new Map() };

/**
 * Decides which engines load which models. The same input gives the same moves on every daemon, so that each can carry
 * out the moves of the engines it gives orders to.
 */
export function decidePlacement(
    state: PlacementState,
    input: PlacementInput,
    now: number,
    limits: PlacementLimits = usualPlacement,
): { readonly state: PlacementState; readonly moves: readonly Move[]; } {
    const seen = viewOf(input, limits);
    const counts = countEngines(state.counts, seen, now);
    const view = { ...seen, resting: restingModels(counts, now, limits.settleMs) };
    const pressedSince = notePressure(state.pressedSince, view, now);
    const free = Math.max(0, limits.loadsAtOnce - view.loads);
    const wanted = [...missing(view), ...pressed(view, pressedSince, now)];
    const moves: Move[] = [];
    let left: View = view;
    for (const model of wanted) {
        const move = moves.length < free ? chooseEngine(left, model) : undefined;
        if (move !== undefined) {
            moves.push(move);
            left = applyMove(left, move);
        }
    }
    return { state: { pressedSince, counts }, moves };
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
            const before = demand.get(model) ?? { waiting: 0, running: 0 };
            const share = (running.get(name) ?? 0) / (models?.length ?? 1);
            demand.set(model, { waiting: before.waiting, running: before.running + share });
        }
    }
    return demand;
}

interface View {
    readonly planned: ReadonlySet<string>;
    /** Models by engine, in order of the name; what is being loaded counts. */
    readonly held: ReadonlyMap<string, readonly string[]>;
    /** Engines that take orders and are loaded with a model or load it. */
    readonly holders: ReadonlyMap<string, readonly string[]>;
    /** By model: the holder that is never taken from it. */
    readonly keepers: ReadonlyMap<string, string | undefined>;
    /** Engines that may load a model without giving one up. */
    readonly roomy: readonly string[];
    /** Engines without orders: how many serve any model, and how many each model. */
    readonly open: number;
    readonly fixed: ReadonlyMap<string, number>;
    readonly loading: ReadonlySet<string>;
    readonly loads: number;
    readonly demand: ReadonlyMap<string, Demand>;
    /** Engines that a move has just changed. */
    readonly moved: ReadonlySet<string>;
    /** Models whose number of engines has changed lately. */
    readonly resting: ReadonlySet<string>;
    readonly limits: PlacementLimits;
}

function viewOf(input: PlacementInput, limits: PlacementLimits): View {
    const live = input.engines.filter(engine => !engine.leaving);
    const held = new Map<string, readonly string[]>();
    const fixed = new Map<string, number>();
    for (const { name, models, loading, takesOrders } of live) {
        if (models !== undefined && takesOrders) {
            held.set(name, [...new Set([...models, ...loading])].sort());
        }
        else {
            models?.forEach(model => fixed.set(model, (fixed.get(model) ?? 0) + 1));
        }
    }
    return {
        planned: new Set([...input.planned].sort()),
        ...holdingOf(held, limits),
        open: live.filter(({ models }) => models === undefined).length,
        fixed,
        loading: new Set(live.flatMap(({ loading }) => loading)),
        loads: input.engines.reduce((sum, { loading }) => sum + loading.length, 0),
        demand: input.demand,
        moved: new Set(),
        resting: new Set(),
        limits,
    };
}

function holdingOf(
    held: View["held"],
    limits: PlacementLimits,
): Pick<View, "held" | "holders" | "keepers" | "roomy"> {
    const holders = new Map<string, string[]>();
    for (const [engine, models] of held) {
        for (const model of models) {
            const engines = holders.get(model);
            if (engines === undefined) {
                holders.set(model, [engine]);
            }
            else {
                engines.push(engine);
            }
        }
    }
    const keepers = new Map(
        [...holders].map(([model, engines]) => [model, rankByRendezvous(`keeper ${model}`, engines)[0]]),
    );
    const roomy = [...held].filter(([, models]) => models.length < limits.modelsPerEngine).map(([engine]) => engine);
    return { held, holders, keepers, roomy };
}

function enginesOf(view: View, model: string): number {
    return (view.holders.get(model)?.length ?? 0) + (view.fixed.get(model) ?? 0) + view.open;
}

/** Waiting calls per engine, and all calls per engine. */
function pressureOf(view: View, model: string): { readonly waiting: number; readonly all: number; } {
    const { waiting, running } = view.demand.get(model) ?? { waiting: 0, running: 0 };
    const engines = Math.max(1, enginesOf(view, model));
    return { waiting: waiting / engines, all: (waiting + running) / engines };
}

function countEngines(before: PlacementState["counts"], view: View, now: number): PlacementState["counts"] {
    return new Map([...view.planned].map(model => {
        const engines = enginesOf(view, model);
        const last = before.get(model);
        // The first count is no change: a daemon that has just started has seen no model change its engines.
        const since = last === undefined ? -Infinity : now;
        return [model, last?.engines === engines ? last : { engines, since }];
    }));
}

function restingModels(counts: PlacementState["counts"], now: number, settleMs: number): ReadonlySet<string> {
    return new Set([...counts].filter(([, { since }]) => now - since < settleMs).map(([model]) => model));
}

function notePressure(before: PlacementState["pressedSince"], view: View, now: number) {
    const pressedNow = [...view.planned].filter(model =>
        pressureOf(view, model).waiting >= view.limits.waitingPerEngine && chooseEngine(view, model) !== undefined
    );
    return new Map(pressedNow.map(model => [model, before.get(model) ?? now]));
}

function missing(view: View): readonly string[] {
    return [...view.planned].filter(model => enginesOf(view, model) === 0);
}

function pressed(view: View, since: PlacementState["pressedSince"], now: number): readonly string[] {
    return [...since]
        .filter(([model, at]) => now - at >= view.limits.holdMs && enginesOf(view, model) > 0)
        .filter(([model]) => !view.loading.has(model) && !view.resting.has(model))
        .sort(([left], [right]) => pressureOf(view, right).waiting - pressureOf(view, left).waiting)
        .map(([model]) => model);
}

/** The engine that can best load a model: one with room, else one whose model is wanted least. */
function chooseEngine(view: View, model: string): Move | undefined {
    const roomy = firstOf(view, model, view.roomy);
    if (roomy !== undefined) {
        return { engine: roomy, load: model, unload: undefined };
    }
    for (const unload of donorsFor(view, model)) {
        // Two daemons that each take one of a model's last two engines would leave it none: both spare the same one.
        const spared = view.planned.has(unload) ? view.keepers.get(unload) : undefined;
        const engine = firstOf(view, model, view.holders.get(unload)?.filter(each => each !== spared) ?? []);
        if (engine !== undefined) {
            return { engine, load: model, unload };
        }
    }
    return undefined;
}

function firstOf(view: View, model: string, engines: readonly string[]): string | undefined {
    const able = engines.filter(each => !view.moved.has(each) && view.held.get(each)?.includes(model) === false);
    return rankByRendezvous(model, able)[0];
}

/** Models that may give up an engine for another model, the least wanted first. */
function donorsFor(view: View, model: string): readonly string[] {
    const isMissing = enginesOf(view, model) === 0;
    const most = isMissing ? Infinity : pressureOf(view, model).waiting / view.limits.ratio;
    return [...view.holders.keys()]
        .filter(donor => donor !== model && !view.loading.has(donor) && (isMissing || !view.resting.has(donor)))
        .map(donor => ({ donor, cost: view.planned.has(donor) ? pressureOf(view, donor).all : -1 }))
        .filter(({ cost }) => cost <= most)
        .sort((left, right) => left.cost - right.cost || (left.donor < right.donor ? -1 : 1))
        .map(({ donor }) => donor);
}

function applyMove(view: View, { engine, load, unload }: Move): View {
    const models = (view.held.get(engine) ?? []).filter(model => model !== unload);
    const held = new Map(view.held).set(engine, [...models, load].sort());
    return { ...view, ...holdingOf(held, view.limits), moved: new Set([...view.moved, engine]) };
}
