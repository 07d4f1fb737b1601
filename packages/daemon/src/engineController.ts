import { partitionOf } from "@tamarackgauge/core";
import type { Clock, Configuration, Heartbeat, Policy } from "@tamarackgauge/core";
import { createCacheEvents } from "./cacheEvents.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { Incarnation } from "./incarnation.ts";
import { createOrders } from "./orders.ts";
import type { Calls, OrderRight } from "./orders.ts";
import type { Upstreams } from "./upstreams.ts";

/** A daemon's control of engines beside calls: orders, and what it follows of their caches. */
export interface EngineKeeper {
    /** A call of a program starts on an engine. */
    dispatched(engine: string, program: string): void;
    /** A new ownership map is known: engines taken over learn the new fencing token at once. */
    ownershipChanged(): void;
    [Symbol.asyncDispose](): Promise<void>;
}

/** A heartbeat with the monotonic time (milliseconds) at which it came. */
export interface ReceivedBeat {
    readonly beat: Heartbeat;
    readonly at: number;
}

/** Options of the keeper. */
export interface EngineKeeperOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly policy: Policy;
    readonly upstreams: Upstreams;
    readonly dispatcher: Dispatcher;
    readonly incarnation: () => Incarnation | undefined;
    readonly configuration: () => Configuration | undefined;
    readonly beats: () => ReadonlyMap<string, ReceivedBeat>;
}

/** Heartbeats older than this (milliseconds) tell nothing of demand; a link without a frame for 3 s is dead. */
const beatAge = 3_000;

/** Creates the keeper and starts it. */
export function createEngineKeeper(options: EngineKeeperOptions): EngineKeeper {
    const { name, clock, policy, upstreams, dispatcher } = options;
    const clientOf = (engine: string) => upstreams.clientOf(engine);
    const orders = createOrders({
        clock,
        clientOf,
        engines: () =>
            upstreams.vms().filter(({ kind }) => kind === "engine").map(({ name: engine, models, state }) => ({
                name: engine,
                models,
                leaving: state === "leaving",
            })),
        right: () => rightOf(name, options.incarnation()),
        onOldFence: () => void options.incarnation()?.ownership.refresh().catch(() => undefined),
        planned: () => plannedModels(options.configuration()),
        calls,
        onModels: models => {
            upstreams.setModels(models);
            dispatcher.poke();
        },
    });
    const cacheEvents = createCacheEvents({
        clock,
        clientOf,
        isLive: key => options.incarnation()?.owner.holds(key) === true,
        onEvent: (engine, event) => policy.recordCacheEvent(engine, event, clock.monotonic()),
    });

    function calls(): Calls {
        const now = clock.monotonic();
        const fresh = [...options.beats().values()].filter(({ at }) => now - at < beatAge).map(({ beat }) => beat);
        return {
            waiting: sum([dispatcher.waiting(), ...fresh.map(({ waiting }) => waiting ?? {})]),
            running: sum([dispatcher.inFlight(), ...fresh.map(({ inFlight }) => inFlight)]),
        };
    }

    return {
        dispatched: (engine, program) => cacheEvents.used(engine, program),
        ownershipChanged: () => void orders.reconcile(),
        [Symbol.asyncDispose]: async () => {
            await orders[Symbol.asyncDispose]();
            await cacheEvents[Symbol.asyncDispose]();
        },
    };
}

function rightOf(name: string, incarnation: Incarnation | undefined): OrderRight | undefined {
    if (incarnation === undefined) {
        return undefined;
    }
    const { committer, ownership } = incarnation;
    const map = ownership.map();
    // A map that names an earlier incarnation gives this one nothing yet.
    if (committer.fenced() || map?.members[name]?.incarnation !== committer.incarnation) {
        return undefined;
    }
    return {
        fence: ownership.version(),
        owns: engine => map.owners[partitionOf(engine, map.owners.length)] === name,
        age: () => committer.fenced() ? Infinity : committer.age(),
        confirm: () => committer.flush(),
    };
}

function plannedModels(configuration: Configuration | undefined): ReadonlySet<string> | undefined {
    return configuration === undefined ? undefined : new Set(configuration.allowances.flatMap(({ models }) => models));
}

function sum(counts: readonly Readonly<Record<string, number>>[]): ReadonlyMap<string, number> {
    const total = new Map<string, number>();
    for (const [key, count] of counts.flatMap(each => Object.entries(each))) {
        total.set(key, (total.get(key) ?? 0) + count);
    }
    return total;
}
