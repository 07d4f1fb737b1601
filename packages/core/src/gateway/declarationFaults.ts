import { createFinding, type Finding, quoteName } from "./finding.ts";
import type { Declaration, ServiceRoute } from "./route.ts";
import { findTeamFaults } from "./teamFaults.ts";

/** What a declaration is checked against, beside the one in force. */
export interface CheckContext {
    /** Names of the services in the order of the file; names that occur twice are still in it. */
    readonly serviceNames: readonly string[];
    /** Number of upstreams by service; undefined if it is not known. */
    readonly upstreams: ReadonlyMap<string, number> | undefined;
    /** Bytes that the smallest gateway holds for the bodies of all its calls. */
    readonly bufferedBytes: number;
}

/** Finds entries that have no effect and limits that contradict each other. */
export function findDeclarationFaults(declaration: Declaration, context: CheckContext): readonly Finding[] {
    const { routes } = declaration;
    return [
        ...findHiddenRoutes(routes),
        ...findDuplicateRouteNames(routes),
        ...routes.flatMap((route, index) => [
            ...findUnreachableRoute(route, index),
            ...findIneffectiveFields(route, index),
            ...findContradictions(route, index),
            ...findShareFaults(route, index, declaration, context),
        ]),
        ...findRetentionFaults(routes),
        ...findServiceFaults(declaration, context),
        ...findTeamFaults(declaration),
        ...findLimitFaults(declaration, context),
    ];
}

/** Describes a route by its name. */
export function describeRoute({ name }: ServiceRoute): string {
    return `route ${quoteName(name)}`;
}

/** The host and prefix by which calls are matched; two routes with the same one exclude each other. */
export function routeAddress({ host, prefix }: ServiceRoute): string {
    return `${host.toLowerCase()} ${prefix}`;
}

function findHiddenRoutes(routes: readonly ServiceRoute[]): readonly Finding[] {
    const first = new Map<string, ServiceRoute>();
    return routes.flatMap((route, index) => {
        const hiding = first.get(routeAddress(route));
        first.set(routeAddress(route), hiding ?? route);
        return hiding === undefined ?
            [] :
            [createFinding("hiddenRoute", ["routes", index, "prefix"],
                `${describeRoute(route)} gets no call: ${describeRoute(hiding)} has the same host ` +
                    `${quoteName(route.host)} and prefix ${quoteName(route.prefix)}`)];
    });
}

function findDuplicateRouteNames(routes: readonly ServiceRoute[]): readonly Finding[] {
    const seen = new Set<string>();
    return routes.flatMap((route, index) => {
        const isDuplicate = seen.has(route.name);
        seen.add(route.name);
        return isDuplicate
            ? [createFinding("duplicateRouteName", ["routes", index, "name"],
                `another route is named ${quoteName(route.name)}, so logs and metrics do not tell them apart`)]
            : [];
    });
}

/** Hosts as requests carry them, without a port: a name, an IPv4 address or an IPv6 address in brackets. */
const hostPattern = /^(?:[a-z0-9_](?:[a-z0-9._-]*[a-z0-9_.])?|\[[0-9a-f:.]+\])$/i;

function findUnreachableRoute(route: ServiceRoute, index: number): readonly Finding[] {
    const findings: Finding[] = [];
    if (!hostPattern.test(route.host)) {
        findings.push(
            createFinding("unreachableRoute", ["routes", index, "host"],
                `${describeRoute(route)} gets no call: ${quoteName(route.host)} is not a host name without port`),
        );
    }
    if (!route.prefix.startsWith("/")) {
        findings.push(
            createFinding("unreachableRoute", ["routes", index, "prefix"],
                `${describeRoute(route)} gets no call with a path: ${
                    quoteName(route.prefix)
                } does not begin with a slash`),
        );
    }
    else if (!route.prefix.endsWith("/")) {
        findings.push(
            createFinding("openPrefix", ["routes", index, "prefix"],
                `${describeRoute(route)} also takes paths that continue ${quoteName(route.prefix)} without a slash`),
        );
    }
    return findings;
}

function findIneffectiveFields(route: ServiceRoute, index: number): readonly Finding[] {
    if (route.streamed) {
        return [];
    }
    const fields = [
        ...route.retention === undefined ? [] : ["retention"],
        ...route.resumable ? ["resumable"] : [],
        ...route.maxEventInterval === undefined ? [] : ["maxEventInterval"],
    ];
    return fields.map(field =>
        createFinding("ineffectiveField", ["routes", index, field],
            `${describeRoute(route)} does not stream its answers, so this field does not do what it does for streams`)
    );
}

function findContradictions(route: ServiceRoute, index: number): readonly Finding[] {
    const { timeout, targetLatency, maxEventInterval } = route;
    const findings: Finding[] = [];
    if (timeout < targetLatency) {
        findings.push(
            createFinding("timeoutBelowTarget", ["routes", index, "timeout"],
                `the time limit of ${timeout} ms of ${
                    describeRoute(route)
                } is below its latency target of ${targetLatency} ms ` +
                    "(declared or by default)"),
        );
    }
    if (maxEventInterval !== undefined && maxEventInterval >= timeout) {
        findings.push(
            createFinding("intervalAboveTimeout", ["routes", index, "maxEventInterval"],
                `the longest interval between events of ${
                    describeRoute(route)
                } is ${maxEventInterval} ms, which its time limit ` +
                    `of ${timeout} ms does not exceed`),
        );
    }
    return findings;
}

function findShareFaults(route: ServiceRoute, index: number, { services }: Declaration,
    { upstreams }: CheckContext): readonly Finding[] {
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    const seen = new Set<string>();
    const findings = route.shares.flatMap(({ service, weight }, share) => {
        const path = ["routes", index, "shares", share];
        const isDuplicate = seen.has(service);
        seen.add(service);
        return [
            ...services.has(service) || (weight === 0 && total > 0) ?
                [] :
                [createFinding("undeclaredService", [...path, "service"],
                    `${describeRoute(route)} sends calls to the service ${quoteName(service)}, which is not declared`)],
            ...weight > 0 ? [] : [createFinding("zeroWeight", [...path, "weight"], total === 0
                ? `all weights of ${describeRoute(route)} are 0, so the last service gets every call`
                : `the service ${quoteName(service)} gets no call of ${describeRoute(route)}, as its weight is 0`)],
            ...isDuplicate ?
                [createFinding("duplicateShare", [...path, "service"],
                    `${describeRoute(route)} names the service ${quoteName(service)} twice`)] :
                [],
        ];
    });
    return [...findings, ...upstreams === undefined ? [] : findUpstreamFaults(route, index, upstreams)];
}

function findUpstreamFaults(route: ServiceRoute, index: number,
    upstreams: ReadonlyMap<string, number>): readonly Finding[] {
    return route.shares.filter(({ weight }) => weight > 0).flatMap(({ service }) => {
        const count = upstreams.get(service) ?? 0;
        if (count === 0) {
            return [
                createFinding("noUpstreams", ["routes", index],
                    `${describeRoute(route)} sends calls to the service ${
                        quoteName(service)
                    }, which has no upstream now`),
            ];
        }
        return route.maxUpstreams <= count ? [] : [
            createFinding("attemptsAboveUpstreams", ["routes", index, "maxUpstreams"],
                `${describeRoute(route)} may send a call to ${route.maxUpstreams} upstreams, but the service ` +
                    `${quoteName(service)} has ${count}`),
        ];
    });
}

/**
 * A program calls routes of the same host between two turns, so it may pause for the longest of their time limits before
 * it continues a turn.
 */
function findRetentionFaults(routes: readonly ServiceRoute[]): readonly Finding[] {
    const longest = new Map<string, ServiceRoute>();
    for (const route of routes) {
        const host = route.host.toLowerCase();
        const current = longest.get(host);
        longest.set(host, current === undefined || route.timeout > current.timeout ? route : current);
    }
    return routes.flatMap((route, index) => {
        const pause = longest.get(route.host.toLowerCase())!;
        return route.retention === undefined || route.retention >= pause.timeout ? [] : [
            createFinding("retentionBelowPause", ["routes", index, "retention"],
                `${describeRoute(route)} keeps a turn for ${route.retention} ms, but a call of ${
                    describeRoute(pause)
                } ` +
                    `before the next turn may take ${pause.timeout} ms`),
        ];
    });
}

function findServiceFaults({ routes }: Declaration, { serviceNames }: CheckContext): readonly Finding[] {
    const used = new Set(routes.flatMap(({ shares }) => shares.map(({ service }) => service)));
    const seen = new Set<string>();
    return serviceNames.flatMap((name, index) => {
        const isDuplicate = seen.has(name);
        seen.add(name);
        return [
            ...isDuplicate ?
                [createFinding("duplicateService", ["services", index, "name"],
                    `the service ${quoteName(name)} is declared twice; the last entry is used`)] :
                [],
            ...used.has(name) ?
                [] :
                [createFinding("unusedService", ["services", index], `no route names the service ${quoteName(name)}`)],
        ];
    });
}

function findLimitFaults({ routes, limits }: Declaration, { bufferedBytes }: CheckContext): readonly Finding[] {
    const refusing = Object.entries(limits).filter(([, value]) => (value as number) <= 0).map(([field, value]) =>
        createFinding("refusingLimit", ["limits", field],
            `a limit of ${value as number} refuses calls or closes their connections at once`)
    );
    return [
        ...routes.length > 0
            ? []
            : [createFinding("noRoutes", ["routes"], "without a route every call is answered 404")],
        ...refusing,
        ...limits.bodyBytes <= bufferedBytes ?
            [] :
            [createFinding("bodyAboveMemory", ["limits", "bodyBytes"],
                `a body of ${limits.bodyBytes} bytes is accepted, but a small gateway holds ${bufferedBytes} bytes for the ` +
                    "bodies of all its calls")],
    ];
}
