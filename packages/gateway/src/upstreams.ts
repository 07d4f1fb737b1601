import { chooseUpstream, type Declaration, incarnationOf, modelCosts, plainServiceCosts, RateLimit,
    type SelectionCriteria, ServiceEstimate, type UpstreamEntry, UpstreamState } from "@tamarackgauge/core/gateway";
import type { MemoryLimits } from "./limits.ts";
import { createParsingTurns } from "./parsingTurns.ts";
import type { UpstreamTarget } from "./relays.ts";
import { createUpstreamClient, type UpstreamClient } from "./upstreamClient.ts";
import { createDirectPaths, type UpstreamPaths } from "./upstreamPaths.ts";

/** An upstream and the client that is connected to it. */
export interface Upstream {
    readonly state: UpstreamState;
    readonly client: UpstreamClient;
}

/** An upstream that was chosen for a call. */
export interface ChosenUpstream {
    readonly upstream: Upstream;
    /** How long the call is to wait for a permit at most, in ms, if the upstream has a rate limit. */
    readonly maxPermitDelay: number;
}

/** The upstreams that calls can be sent to. */
export interface Upstreams extends AsyncDisposable {
    /** Replaces the list of registered upstreams. */
    replace(entries: readonly UpstreamEntry[]): void;
    choose(service: string, criteria: SelectionCriteria): ChosenUpstream | undefined;
    /** Time until a limited upstream of the service is expected to take a request, in ms; undefined if none is limited. */
    permitDelay(service: string): number | undefined;
    /** Whether an upstream of the service takes a request within `maxDelay` ms, as far as its rate limit is known. */
    takesRequestWithin(service: string, maxDelay: number): boolean;
    find(id: string): Upstream | undefined;
    /** Tokens in each event of a service's streams, also after the service has left the declaration. */
    tokensPerEvent(service: string): number;
    /** Records that an upstream announced in an answer that it leaves: it gets no further call. */
    retire(upstream: Upstream): void;
    /** Returns the latency and load estimate that all upstreams of a service share. */
    estimate(service: string): ServiceEstimate;
    count(): number;
    /** The ways to them. */
    readonly paths: UpstreamPaths;
    /** Where they are, for connections that are opened for another gateway or only to see whether that is possible. */
    targets(): readonly UpstreamTarget[];
    findTarget(id: string): UpstreamTarget | undefined;
    /** Number of upstreams that name a rate limit, for each service that has some. */
    limited(): ReadonlyMap<string, number>;
    /** The estimates of all services, as fields of a log line. */
    summary(): Readonly<Record<string, number>>;
}

/** Dependencies of the upstreams. */
export interface UpstreamsParts {
    readonly declaration: () => Declaration | undefined;
    /** Number of known gateways, including this one. */
    readonly gateways: () => number;
    readonly limits: MemoryLimits;
    readonly paths?: UpstreamPaths;
    readonly now: () => number;
}

/**
 * Minimum number of gateways among which the connections of an upstream are divided. An upstream resets connections
 * beyond its limit, so each gateway opens only its share, also when the upstream is the last one that accepts calls.
 * While few gateways are known, there may be more.
 */
const minAssumedGateways = 12;
/** Minimum number of connections to an upstream that a gateway may open. */
const minConnections = 4;
/** Connections to a removed upstream are closed after this delay, so that its last calls can complete. */
const closeDelayMs = 10_000;
/** Number of incarnations that are remembered, several times that of upstreams. */
const maxRememberedIncarnations = 10_000;

/** Creates an empty set of upstreams. */
export function createUpstreams(parts: UpstreamsParts): Upstreams {
    const { declaration, gateways, limits, paths = createDirectPaths(), now } = parts;
    const turns = createParsingTurns(now);
    const upstreamsById = new Map<string, Upstream>();
    const statesByService = new Map<string, Map<string, UpstreamState>>();

    /** By incarnation, as an entry may be removed and come back. */
    const rateLimits = new Map<string, RateLimit>();

    /** Incarnations that have announced that they leave. Their entries may be removed and come back. */
    const leavingIncarnations = new Set<string>();

    /** The figures last declared. */
    const tokensPerEventByService = new Map<string, number>();

    const estimates = new Map<string, ServiceEstimate>();

    function rateLimitOf(entry: UpstreamEntry): RateLimit {
        const incarnation = incarnationOf(entry);
        const found = rateLimits.get(incarnation) ?? new RateLimit();
        rateLimits.set(incarnation, found);
        if (rateLimits.size > maxRememberedIncarnations) {
            const [oldest] = rateLimits.keys();
            rateLimits.delete(oldest!);
        }
        return found;
    }

    function estimate(service: string): ServiceEstimate {
        const found = estimates.get(service) ?? new ServiceEstimate();
        estimates.set(service, found);
        return found;
    }

    function tokensPerEvent(service: string): number {
        const figure = declaration()?.services.get(service)?.model?.tokensPerEvent ??
            tokensPerEventByService.get(service) ?? 1;
        tokensPerEventByService.set(service, figure);
        return figure;
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
        const state = new UpstreamState(entry, service?.model?.cacheTokens ?? 0, estimate(entry.service),
            rateLimitOf(entry));
        const client = createUpstreamClient({ host: entry.address, port: entry.port,
            maxConnections: () => maxConnectionsTo(entry.service), maxHeadBytes: limits.maxHeadBytes,
            target: () => targetOf(state), paths, turns });
        const upstream = { state, client };
        upstreamsById.set(entry.id, upstream);
        const states = statesByService.get(entry.service) ?? new Map<string, UpstreamState>();
        statesByService.set(entry.service, states.set(entry.id, state));
        if (leavingIncarnations.has(incarnationOf(entry))) {
            retire(upstream);
        }
    }

    function retire({ state, client }: Upstream): void {
        if (leavingIncarnations.size >= maxRememberedIncarnations) {
            const [oldest] = leavingIncarnations;
            leavingIncarnations.delete(oldest!);
        }
        leavingIncarnations.add(incarnationOf(state.entry));
        state.recordLeaving();
        client.retire();
    }

    /** Computed anew for each use, as the declaration and the number of gateways change while connections are open. */
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

    function choose(service: string, criteria: SelectionCriteria): ChosenUpstream | undefined {
        const costs = declaration()?.services.get(service)?.model === undefined ? plainServiceCosts : modelCosts;
        const states = statesByService.get(service)?.values() ?? [];
        const choice = chooseUpstream(states, criteria, costs, now(), Math.random);
        const upstream = choice === undefined ? undefined : upstreamsById.get(choice.upstream.entry.id);
        return upstream === undefined ? undefined : { upstream, maxPermitDelay: choice!.maxPermitDelay };
    }

    function findTarget(id: string): UpstreamTarget | undefined {
        const upstream = upstreamsById.get(id);
        return upstream === undefined ? undefined : targetOf(upstream.state);
    }

    function permitDelay(service: string): number | undefined {
        const limitedStates = [...statesByService.get(service)?.values() ?? []]
            .filter(state => state.rateLimit.isInForce() && !state.isLeaving());
        return limitedStates.length === 0
            ? undefined
            : Math.min(...limitedStates.map(state => state.permitDelay(now())));
    }

    function takesRequestWithin(service: string, maxDelay: number): boolean {
        return [...statesByService.get(service)?.values() ?? []]
            .some(state => !state.isLeaving() && state.takesRequestWithin(maxDelay, now()));
    }

    /** The rate limits that the upstreams of a service name, in requests a second. */
    function rateLimitsOf(states: ReadonlyMap<string, UpstreamState>): readonly number[] {
        return [...states.values()].flatMap(({ rateLimit }) => rateLimit.requestsPerSecond() ?? []);
    }

    function limited(): ReadonlyMap<string, number> {
        const counts = [...statesByService].map(([service, states]) => [service, rateLimitsOf(states).length] as const);
        return new Map(counts.filter(([, count]) => count > 0));
    }

    function summary(): Readonly<Record<string, number>> {
        const figures = [...estimates].map(([service, serviceEstimate]) => ({
            ...summaryOf(service, serviceEstimate, now()),
            ...summaryOfLimits(service, rateLimitsOf(statesByService.get(service) ?? new Map())),
        }));
        return Object.assign({}, ...figures) as Record<string, number>;
    }

    return {
        replace,
        choose,
        permitDelay,
        takesRequestWithin,
        retire,
        tokensPerEvent,
        find: id => upstreamsById.get(id),
        estimate,
        count: () => upstreamsById.size,
        paths,
        targets: () => [...upstreamsById.values()].map(({ state }) => targetOf(state)),
        findTarget,
        limited,
        summary,
        async [Symbol.asyncDispose]() {
            await Promise.all([...upstreamsById.values()].map(({ client }) => client[Symbol.asyncDispose]()));
        },
    };
}

function targetOf(state: UpstreamState): UpstreamTarget {
    const { id, address, port, dataCentre } = state.entry;
    return { id, address: { host: address, port }, dataCentre, isLeaving: state.hasAnnouncedLeaving(),
        requestsPerSecond: state.rateLimit.requestsPerSecond() };
}

function summaryOf(service: string, estimate: ServiceEstimate, now: number): Record<string, number> {
    return {
        [`service.${service}.callMs`]: Math.round(estimate.baselineLatency),
        [`service.${service}.delayMs`]: Math.round(estimate.excessLatency(now)),
        [`service.${service}.occupancy`]: Math.round((estimate.occupancy(now) ?? 0) * 100) / 100,
        [`service.${service}.tokensPerMs`]: Math.round(estimate.prefillTokensPerMs),
    };
}

/** How many upstreams of a service name a rate limit, and the sum of their limits in requests a second. */
function summaryOfLimits(service: string, limits: readonly number[]): Record<string, number> {
    return limits.length === 0 ? {} : {
        [`service.${service}.limited`]: limits.length,
        [`service.${service}.limitPerSecond`]: limits.reduce((sum, limit) => sum + limit, 0),
    };
}

/** Whether two entries describe the same process. If not, the state that was recorded for the old one is discarded. */
function isSameIncarnation(left: UpstreamEntry, right: UpstreamEntry): boolean {
    return incarnationOf(left) === incarnationOf(right);
}
