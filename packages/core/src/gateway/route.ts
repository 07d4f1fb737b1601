/** What a failed send of a call allows: `repeatable` calls may run again, the others run at most once. */
export type Execution = "repeatable" | "atMostOnce";

/** A service that takes a share of a route. Weights are relative. */
export interface RouteShare {
    readonly service: string;
    readonly weight: number;
}

/** Where the calls of one path prefix go, and what they may use. Times are in milliseconds. */
export interface ServiceRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly execution: Execution;
    /** The answer is a stream of events. */
    readonly streamed: boolean;
    /** A broken stream may go on at another upstream. */
    readonly resumable: boolean;
    /** The longest time between two events of a stream that is on time; undefined if the operators name none. */
    readonly maxEventInterval: number | undefined;
    /** How long a turn can be continued; undefined where the caller sends the whole history itself. */
    readonly retention: number | undefined;
    readonly timeout: number;
    /** The time within which an answer earns its full value. */
    readonly targetLatency: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The most upstreams that one call may be sent to. */
    readonly maxUpstreams: number;
    readonly shares: readonly RouteShare[];
}

/** A service that upstreams belong to. */
export interface Service {
    readonly name: string;
    /** Connections that an upstream accepts from all daemons together. */
    readonly maxConnections: number;
    /** Present for model engines. */
    readonly model: ModelService | undefined;
}

/** What is special about a service of model engines. */
export interface ModelService {
    readonly slots: number;
    readonly cacheTokens: number;
    readonly tokensPerEvent: number;
}

/** Limits on what a caller may send. Sizes are in bytes, times in milliseconds. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: number;
    readonly idleTimeout: number;
}

/** The routes and services that operators declare. */
export interface Declaration {
    readonly version: number;
    readonly routes: readonly ServiceRoute[];
    readonly services: ReadonlyMap<string, Service>;
    readonly limits: CallerLimits;
}

/** Finds routes by host and path. */
export interface RouteTable {
    find(host: string, path: string): ServiceRoute | undefined;
}

/** Creates the table of a declaration's routes; of several routes that match, the longest prefix counts. */
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

/** Picks the service of a call. The same key always gets the same service, so that a program stays with one. */
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
