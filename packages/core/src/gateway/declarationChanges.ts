import { describeRoute, routeAddress } from "./declarationFaults.ts";
import { createFinding, type Finding, type FindingKind, type FindingPath, quoteName } from "./finding.ts";
import type { CallerLimits, Declaration, Service, ServiceRoute } from "./route.ts";
import { compareTeams } from "./teamChanges.ts";

/** The indexes of the services in the order of the file, by name. */
type Indexes = ReadonlyMap<string, number>;

/** A declaration and the names of its services in the order of its file. */
export interface ListedDeclaration {
    readonly declaration: Declaration;
    readonly serviceNames: readonly string[];
}

/** Finds what changes for callers and upstreams if `next` replaces `current`. */
export function findDeclarationChanges(next: ListedDeclaration, current: ListedDeclaration): readonly Finding[] {
    return [
        ...compareVersions(next.declaration.version, current.declaration.version),
        ...compareRoutes(next.declaration.routes, current.declaration.routes),
        ...compareServices(next, current),
        ...compareTeams(next.declaration.teams, current.declaration.teams),
        ...comparePublicRoutes(next.declaration, current.declaration),
        ...compareLimits(next.declaration.limits, current.declaration.limits),
    ];
}

function compareVersions(next: number, current: number): readonly Finding[] {
    return next > current ?
        [] :
        [createFinding("staleVersion", ["version"],
            `gateways ignore version ${next}, as version ${current} is in force; a new declaration needs a higher version`)];
}

interface IndexedRoute {
    readonly route: ServiceRoute;
    readonly index: number;
}

/** The routes that get calls, by host and prefix; later ones with the same address are hidden. */
function indexRoutes(routes: readonly ServiceRoute[]): ReadonlyMap<string, IndexedRoute> {
    const byAddress = new Map<string, IndexedRoute>();
    routes.forEach((route, index) => {
        const address = routeAddress(route);
        byAddress.set(address, byAddress.get(address) ?? { route, index });
    });
    return byAddress;
}

function compareRoutes(next: readonly ServiceRoute[], current: readonly ServiceRoute[]): readonly Finding[] {
    const nextRoutes = indexRoutes(next);
    const currentRoutes = indexRoutes(current);
    const dropped = [...currentRoutes].filter(([address]) => !nextRoutes.has(address)).map(([, { route, index }]) =>
        createFinding("routeDropped", ["routes", index],
            `${describeRoute(route)} on host ${quoteName(route.host)} and prefix ${quoteName(route.prefix)} is dropped`,
            "inForce")
    );
    const kept = [...nextRoutes].flatMap(([address, { route, index }]) => {
        const before = currentRoutes.get(address);
        return before === undefined
            ? [createFinding("added", ["routes", index], `${describeRoute(route)} is new`)]
            : compareRoute(route, before.route, ["routes", index]);
    });
    return [...dropped, ...kept];
}

function compareRoute(next: ServiceRoute, current: ServiceRoute, path: FindingPath): readonly Finding[] {
    const subject = describeRoute(next);
    const change = (kind: FindingKind, field: string, before: FieldValue, after: FieldValue) =>
        before === after ?
            [] :
            [createFinding(kind, [...path, field], `${subject}: ${formatValue(before)} becomes ${formatValue(after)}`)];
    return [
        ...next.execution === "repeatable" && current.execution === "atMostOnce"
            ? [createFinding("routeRepeatable", [...path, "execution"],
                `calls of ${subject} run at most once today and may be repeated from now on`)]
            : change("changed", "execution", current.execution, next.execution),
        ...change("routeTypeChanged", "streamed", current.streamed, next.streamed),
        ...next.resumable ? [] : change("routeTypeChanged", "resumable", current.resumable, next.resumable),
        ...compareShares(next, current, path),
        ...compareLimit(subject, [...path, "timeout"], next.timeout, current.timeout, " ms"),
        ...compareRetention(next, current, path),
        ...compareLimit(subject, [...path, "maxUpstreams"], next.maxUpstreams, current.maxUpstreams, ""),
        ...change("changed", "targetLatency", current.targetLatency, next.targetLatency),
        ...change("changed", "maxEventInterval", current.maxEventInterval, next.maxEventInterval),
        ...change("changed", "priority", current.priority, next.priority),
        ...change("changed", "name", current.name, next.name),
    ];
}

/** A field of a route that is compared as it is. */
type FieldValue = string | number | boolean | undefined;

function formatValue(value: FieldValue): string {
    return value === undefined ? "none" : typeof value === "string" ? quoteName(value) : String(value);
}

/** Whether calls of kept routes need a key; without teams none does. */
function comparePublicRoutes(next: Declaration, current: Declaration): readonly Finding[] {
    if (next.teams === undefined || current.teams === undefined) {
        return [];
    }
    const before = indexRoutes(current.routes);
    return [...indexRoutes(next.routes)].flatMap(([address, { route, index }]) => {
        const earlier = before.get(address)?.route;
        if (earlier === undefined || earlier.isPublic === route.isPublic) {
            return [];
        }
        const path = ["routes", index, "isPublic"];
        return [
            route.isPublic
                ? createFinding("keysNotRequired", path, `calls of ${describeRoute(route)} need no key any more`)
                : createFinding("keysRequired", path, `calls of ${describeRoute(route)} need a key from now on`),
        ];
    });
}

/** Units of limits, as they are printed behind a number. */
type Unit = "" | " ms" | " bytes";

function compareLimit(subject: string, path: FindingPath, next: number, current: number,
    unit: Unit): readonly Finding[] {
    if (next === current) {
        return [];
    }
    const isLowered = next < current;
    return [
        createFinding(isLowered ? "limitLowered" : "limitRaised", path,
            `${subject}: the limit of ${current}${unit} is ${isLowered ? "lowered" : "raised"} to ${next}${unit}`),
    ];
}

/** Turns that callers expect to continue are unknown once they are kept for a shorter time. */
function compareRetention(next: ServiceRoute, current: ServiceRoute, path: FindingPath): readonly Finding[] {
    if (current.retention !== undefined && next.retention === undefined) {
        return [
            createFinding("limitLowered", [...path, "retention"],
                `${describeRoute(next)}: turns were kept for ${current.retention} ms and are not kept any more`),
        ];
    }
    if (current.retention === undefined && next.retention !== undefined) {
        return [
            createFinding("changed", [...path, "retention"],
                `${describeRoute(next)}: turns were not kept and are kept for ${next.retention} ms`),
        ];
    }
    return compareLimit(describeRoute(next), [...path, "retention"], next.retention ?? 0, current.retention ?? 0,
        " ms");
}

function compareShares(next: ServiceRoute, current: ServiceRoute, path: FindingPath): readonly Finding[] {
    const after = formatShares(next);
    const before = formatShares(current);
    if (after.text === before.text) {
        return [];
    }
    return [
        createFinding(after.services === before.services ? "changed" : "routeServicesChanged", [...path, "shares"],
            `${describeRoute(next)}: calls went to ${before.text} and go to ${after.text}`),
    ];
}

/** The services that get calls, and the same with their parts of the calls in per cent. */
function formatShares({ shares }: ServiceRoute): { readonly services: string; readonly text: string; } {
    const total = shares.reduce((sum, { weight }) => sum + weight, 0);
    const weights = new Map<string, number>();
    // With all weights 0, the last service gets every call.
    const effective = total > 0 ? shares : shares.slice(-1).map(share => ({ ...share, weight: 1 }));
    effective.forEach(({ service, weight }) => weights.set(service, (weights.get(service) ?? 0) + weight));
    const sum = total > 0 ? total : 1;
    const used = [...weights].filter(([, weight]) => weight > 0).sort(([left], [right]) => left < right ? -1 : 1);
    return {
        services: used.map(([service]) => quoteName(service)).join(", "),
        text: used.map(([service, weight]) => `${quoteName(service)} (${(weight / sum * 100).toFixed(1)} %)`).join(
            ", ",
        ),
    };
}

function indexNames(names: readonly string[]): Indexes {
    return new Map(names.map((name, index) => [name, index]));
}

function compareServices(next: ListedDeclaration, current: ListedDeclaration): readonly Finding[] {
    const nextIndexes = indexNames(next.serviceNames);
    const dropped = [...indexNames(current.serviceNames)].filter(([name]) => !nextIndexes.has(name)).map((
        [name, index],
    ) => createFinding("serviceDropped", ["services", index], `the service ${quoteName(name)} is dropped`, "inForce"));
    const kept = [...next.declaration.services.values()].flatMap(service => {
        const before = current.declaration.services.get(service.name);
        const path = ["services", nextIndexes.get(service.name) ?? 0];
        return before === undefined
            ? [createFinding("added", path, `the service ${quoteName(service.name)} is new`)]
            : compareService(service, before, path);
    });
    return [...dropped, ...kept];
}

/** Upstreams that are declared larger than they are end or reset connections. */
function compareService(next: Service, current: Service, path: FindingPath): readonly Finding[] {
    const subject = `the service ${quoteName(next.name)}`;
    const compareSize = (field: string, after: number, before: number) =>
        after === before ?
            [] :
            [createFinding(after > before ? "capacityRaised" : "changed", [...path, field],
                `${subject}: ${before} becomes ${after}${
                    after > before ? "; its upstreams must have room for it" : ""
                }`)];
    const connections = compareSize("maxConnections", next.maxConnections, current.maxConnections);
    if (next.model === undefined || current.model === undefined) {
        return next.model === current.model ?
            connections :
            [...connections,
                createFinding("modelChanged", [...path, "model"],
                    `${subject} ${
                        next.model === undefined ? "has no model engines any more" : "has model engines from now on"
                    }`)];
    }
    return [
        ...connections,
        ...compareSize("model.slots", next.model.slots, current.model.slots),
        ...compareSize("model.cacheTokens", next.model.cacheTokens, current.model.cacheTokens),
        ...next.model.tokensPerEvent === current.model.tokensPerEvent ? [] : [
            createFinding("modelChanged", [...path, "model.tokensPerEvent"],
                `${subject}: budgets are charged ${next.model.tokensPerEvent} tokens an event instead of ` +
                    String(current.model.tokensPerEvent)),
        ],
    ];
}

function compareLimits(next: CallerLimits, current: CallerLimits): readonly Finding[] {
    return (Object.keys(next) as (keyof CallerLimits)[]).flatMap(field =>
        compareLimit("all callers", ["limits", field], next[field], current[field],
            field.endsWith("Bytes") ? " bytes" : " ms")
    );
}
