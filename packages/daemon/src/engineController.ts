import { partitionOf } from "@tamarackgauge/core";
import type { Clock, Configuration, Heartbeat, Policy } from "@tamarackgauge/core";
import { createCacheEventPoller } from "./cacheEvents.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { Incarnation } from "./incarnation.ts";
import { createOrderReconciler } from "./orders.ts";
import type { CallCounts, OrderAuthority } from "./orders.ts";
import type { Upstreams } from "./upstreams.ts";

/** Controls engines apart from calls: sends orders to load models and polls the events of prefix caches. */
export interface EngineController {
    /** Records that a call of a program was dispatched to an engine. */
    recordDispatch(engine: string, program: string): void;
    /** Reconciles at once after a change of the ownership map, so that engines taken over get the new fencing token. */
    onOwnershipChange(): void;
    [Symbol.asyncDispose](): Promise<void>;
}

/** A heartbeat with the monotonic time in milliseconds at which it was received. */
export interface ReceivedHeartbeat {
    readonly heartbeat: Heartbeat;
    readonly receivedAt: number;
}

/** Options of the controller. */
export interface EngineControllerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly policy: Policy;
    readonly upstreams: Upstreams;
    readonly dispatcher: Dispatcher;
    readonly incarnation: () => Incarnation | undefined;
    readonly configuration: () => Configuration | undefined;
    readonly heartbeats: () => ReadonlyMap<string, ReceivedHeartbeat>;
}

/** Older heartbeats are left out of the demand: a link that has been silent for 3 s counts as lost. */
const maxHeartbeatAgeMs = 3_000;

/** Creates the controller and starts it. */
export function createEngineController(options: EngineControllerOptions): EngineController {
    const { name, clock, policy, upstreams, dispatcher } = options;
    const clientOf = (engine: string) => upstreams.clientOf(engine);
    const orders = createOrderReconciler({
        clock,
        clientOf,
        engines: () =>
            upstreams.vms().filter(({ kind }) => kind === "engine").map(({ name: engine, models, state }) => ({
                name: engine,
                models,
                leaving: state === "leaving",
            })),
        authority: () => orderAuthorityOf(name, options.incarnation()),
        onStaleFence: () => void options.incarnation()?.ownership.refresh().catch(() => undefined),
        plannedModels: () => plannedModelsOf(options.configuration()),
        callCounts: countCalls,
        onRoutableModels: models => {
            upstreams.setReportedModels(models);
            dispatcher.scheduleDispatch();
        },
    });
    const cacheEvents = createCacheEventPoller({
        clock,
        clientOf,
        isLive: key => options.incarnation()?.owner.isLive(key) === true,
        onEvent: (engine, event) => policy.recordCacheEvent(engine, event, clock.monotonic()),
    });

    function countCalls(): CallCounts {
        const now = clock.monotonic();
        const recent = [...options.heartbeats().values()].filter(({ receivedAt }) =>
            now - receivedAt < maxHeartbeatAgeMs
        )
            .map(({ heartbeat }) => heartbeat);
        return {
            waiting: sumCounts([dispatcher.waiting(), ...recent.map(({ waiting }) => waiting ?? {})]),
            running: sumCounts([dispatcher.inFlight(), ...recent.map(({ inFlight }) => inFlight)]),
        };
    }

    return {
        recordDispatch: (engine, program) => cacheEvents.recordDispatch(engine, program),
        onOwnershipChange: () => void orders.reconcile(),
        [Symbol.asyncDispose]: async () => {
            await orders[Symbol.asyncDispose]();
            await cacheEvents[Symbol.asyncDispose]();
        },
    };
}

function orderAuthorityOf(name: string, incarnation: Incarnation | undefined): OrderAuthority | undefined {
    if (incarnation === undefined) {
        return undefined;
    }
    const { committer, ownership } = incarnation;
    const map = ownership.map();
    // A map that lists an earlier incarnation of this daemon grants the current one nothing.
    if (committer.fenced() || map?.members[name]?.incarnation !== committer.incarnation) {
        return undefined;
    }
    return {
        fence: ownership.version(),
        owns: engine => map.owners[partitionOf(engine, map.owners.length)] === name,
        leaseAge: () => committer.fenced() ? Infinity : committer.leaseAge(),
        renewLease: () => committer.flush(),
    };
}

function plannedModelsOf(configuration: Configuration | undefined): ReadonlySet<string> | undefined {
    return configuration === undefined ? undefined : new Set(configuration.allowances.flatMap(({ models }) => models));
}

function sumCounts(counts: readonly Readonly<Record<string, number>>[]): ReadonlyMap<string, number> {
    const total = new Map<string, number>();
    for (const [key, count] of counts.flatMap(each => Object.entries(each))) {
        total.set(key, (total.get(key) ?? 0) + count);
    }
    return total;
}
