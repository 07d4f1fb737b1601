/** Whether a call may run again after a failed attempt (`repeatable`) or may run at most once. */
export type Execution = "repeatable" | "atMostOnce";

/** A service that receives a share of a route's calls. Weights are relative. */
export interface RouteShare {
    readonly service: string;
    readonly weight: number;
}

/** Services and limits for the calls under one path prefix. Times are in milliseconds. */
export interface ServiceRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly execution: Execution;
    /** The answer is a stream of events. */
    readonly streamed: boolean;
    /** An interrupted stream may be resumed at another upstream. */
    readonly resumable: boolean;
    /** Target for the maximum time between two events of a stream; undefined if the operators set none. */
    readonly maxEventInterval: number | undefined;
    /** How long a caller waits without a byte of the answer before it abandons the attempt. */
    readonly callerPatience: number;
    /** How long a turn is kept so that it can be continued; undefined if callers send the whole history themselves. */
    readonly retention: number | undefined;
    readonly timeout: number;
    /** Latency within which an answer has its full value. */
    readonly targetLatency: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of upstreams that one call may be sent to. */
    readonly maxUpstreams: number;
    readonly shares: readonly RouteShare[];
    /** Calls need no key, also where teams are declared. */
    readonly isPublic: boolean;
}

/** A service that upstreams belong to. */
export interface Service {
    readonly name: string;
    /** Maximum number of connections that an upstream accepts from all daemons together. */
    readonly maxConnections: number;
    /** Present only for services of model engines. */
    readonly model: ModelService | undefined;
}

/** Properties that only services of model engines have. */
export interface ModelService {
    readonly slots: number;
    readonly cacheTokens: number;
    readonly tokensPerEvent: number;
}

/** Limits on callers' requests. Times are in milliseconds. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: number;
    readonly idleTimeout: number;
}

/** Requests of a team that may reach upstreams, summed over all gateways. */
export interface Quota {
    readonly ratePerSecond: number;
    /** Requests beyond the rate that a window may hold. */
    readonly burst: number;
}

/** A group of callers that share keys, a priority and a quota. */
export interface Team {
    readonly name: string;
    readonly keys: readonly string[];
    /** Replaces the priority of the route; 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Undefined if the team may send any number of requests. */
    readonly quota: Quota | undefined;
}

/** Routes, services, limits and teams as declared by the operators. */
export interface Declaration {
    readonly version: number;
    readonly routes: readonly ServiceRoute[];
    readonly services: ReadonlyMap<string, Service>;
    readonly limits: CallerLimits;
    /** Undefined if no teams are declared, so that callers need no key. */
    readonly teams: readonly Team[] | undefined;
}

/** Finds routes by host and path. */
export interface RouteTable {
    find(host: string, path: string): ServiceRoute | undefined;
}

/** Creates a route table. If several routes match, the one with the longest prefix is used. */
export function createRouteTable(routes: readonly ServiceRoute[]): RouteTable {
    const byHost = new Map<string, ServiceRoute[]>();
    for (const route of routes) {
        const host = route.host.toLowerCase();
        byHost.set(host, [...byHost.get(host) ?? [], route]);
    }
    byHost.forEach(hostRoutes => hostRoutes.sort((left, right) => right.prefix.length - left.prefix.length));
    return {
        find: (host, path) => byHost.get(normalizeHost(host))?.find(route => path.startsWith(route.prefix)),
    };
}

function normalizeHost(host: string): string {
    return host.replace(/:\d+$/, "").toLowerCase();
}

/**
 * Picks the service of a call by weight. `point` is in [0, 1); the same point always gives the same service, so that a
 * program stays with one service.
 */
export function pickService(route: ServiceRoute, point: number): string {
    const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remaining = point * totalWeight;
    for (const share of route.shares) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return route.shares[route.shares.length - 1]!.service;
}
