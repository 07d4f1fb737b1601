import { chooseUpstream, type Declaration, modelCosts, plainServiceCosts, type SelectionCriteria, ServiceEstimate,
    type UpstreamEntry, UpstreamState } from "@tamarackgauge/core/gateway";
import type { MemoryLimits } from "./limits.ts";
import { createUpstreamClient, type UpstreamClient } from "./upstreamClient.ts";

/** An upstream with the connections to it. */
export interface Upstream {
    readonly state: UpstreamState;
    readonly client: UpstreamClient;
}

/** The upstreams that calls may go to. */
export interface Upstreams extends AsyncDisposable {
    /** Takes the whole list of what upstreams registered. */
    replace(entries: readonly UpstreamEntry[]): void;
    choose(service: string, criteria: SelectionCriteria): Upstream | undefined;
    find(id: string): Upstream | undefined;
    /** What the upstreams of a service are usually like. */
    estimate(service: string): ServiceEstimate;
    count(): number;
    /** What is known of each service, as fields of a log line. */
    summary(): Readonly<Record<string, number>>;
}

/** Parts of a set of upstreams. */
export interface UpstreamsParts {
    readonly declaration: () => Declaration | undefined;
    /** How many gateways are known, this one included. */
    readonly gateways: () => number;
    readonly limits: MemoryLimits;
    readonly now: () => number;
}

/**
 * An upstream resets what exceeds its connections, so that all gateways share them, also when it is the last one that
 * takes calls. While few others are known, more may be there.
 */
const minAssumedGateways = 12;
const minConnections = 4;
/** Connections of an upstream that is gone are closed when its last calls have ended, in ms. */
const closeDelayMs = 10_000;

/** Creates an empty set of upstreams. */
export function createUpstreams({ declaration, gateways, limits, now }: UpstreamsParts): Upstreams {
    const upstreamsById = new Map<string, Upstream>();
    const statesByService = new Map<string, Map<string, UpstreamState>>();

    const estimates = new Map<string, ServiceEstimate>();

    function estimate(service: string): ServiceEstimate {
        const found = estimates.get(service) ?? new ServiceEstimate();
        estimates.set(service, found);
        return found;
    }

    function replace(entries: readonly UpstreamEntry[]): void {
        const listed = new Set(entries.map(({ id }) => id));
        [...upstreamsById.keys()].filter(id => !listed.has(id)).forEach(remove);
        entries.forEach(addOrUpdate);
    }

    function addOrUpdate(entry: UpstreamEntry): void {
        const upstream = upstreamsById.get(entry.id);
        if (upstream !== undefined && isSameIncarnation(upstream.state.entry, entry)) {
            upstream.state.entry = entry;
            return;
        }
        remove(entry.id);
        add(entry);
    }

    function add(entry: UpstreamEntry): void {
        const service = declaration()?.services.get(entry.service);
        const state = new UpstreamState(entry, service?.model?.cacheTokens ?? 0, estimate(entry.service));
        const client = createUpstreamClient({ host: entry.address, port: entry.port,
            maxConnections: () => maxConnectionsTo(entry.service), maxHeadBytes: limits.head });
        upstreamsById.set(entry.id, { state, client });
        const states = statesByService.get(entry.service) ?? new Map<string, UpstreamState>();
        statesByService.set(entry.service, states.set(entry.id, state));
    }

    /** Follows what the operators declare and which gateways are there, also while connections are open. */
    function maxConnectionsTo(service: string): number {
        const maxConnections = declaration()?.services.get(service)?.maxConnections ?? 0;
        return Math.max(minConnections, Math.floor(maxConnections / Math.max(minAssumedGateways, gateways())));
    }

    function remove(id: string): void {
        const upstream = upstreamsById.get(id);
        if (upstream !== undefined) {
            upstreamsById.delete(id);
            statesByService.get(upstream.state.entry.service)?.delete(id);
            setTimeout(() => void upstream.client[Symbol.asyncDispose](), closeDelayMs).unref();
        }
    }

    function choose(service: string, criteria: SelectionCriteria): Upstream | undefined {
        const costs = declaration()?.services.get(service)?.model === undefined ? plainServiceCosts : modelCosts;
        const state = chooseUpstream(statesByService.get(service)?.values() ?? [], criteria, costs, now(), Math.random);
        return state === undefined ? undefined : upstreamsById.get(state.entry.id);
    }

    return {
        replace,
        choose,
        find: id => upstreamsById.get(id),
        estimate,
        count: () => upstreamsById.size,
        summary: () =>
            Object.assign({}, ...[...estimates].map(([name, serviceEstimate]) =>
                summaryOf(name, serviceEstimate, now())
            )) as Record<string, number>,
        async [Symbol.asyncDispose]() {
            await Promise.all([...upstreamsById.values()].map(({ client }) => client[Symbol.asyncDispose]()));
        },
    };
}

function summaryOf(service: string, estimate: ServiceEstimate, now: number): Record<string, number> {
    return {
        [`service.${service}.callMs`]: Math.round(estimate.baselineLatency),
        [`service.${service}.delayMs`]: Math.round(estimate.excessLatency(now)),
        [`service.${service}.occupancy`]: Math.round((estimate.occupancy(now) ?? 0) * 100) / 100,
        [`service.${service}.tokensPerMs`]: Math.round(estimate.prefillTokensPerMs),
    };
}

/** A restart under the same id, or at another address, begins a life that knows nothing of the one before. */
function isSameIncarnation(left: UpstreamEntry, right: UpstreamEntry): boolean {
    return left.service === right.service && left.address === right.address && left.port === right.port &&
        left.startedAt === right.startedAt;
}
