import assert from "node:assert/strict";
import { test } from "node:test";
import { checkDeclaration, type Declaration, type ListedDeclaration, quoteName, type Service, type ServiceRoute,
    type Team } from "../../src/gateway/index.ts";

const route: ServiceRoute = { name: "turn", host: "h.example", prefix: "/turn/", execution: "atMostOnce",
    streamed: true, resumable: false, maxEventInterval: undefined, callerPatience: 2_000, retention: 60_000,
    timeout: 1_000, targetLatency: 100, priority: 0, maxUpstreams: 2, shares: [{ service: "models", weight: 1 }],
    isPublic: false };
const tool: ServiceRoute = { ...route, name: "tool", prefix: "/tool/", streamed: false, retention: undefined,
    shares: [{ service: "tools", weight: 1 }] };
const team: Team = { name: "riders", keys: ["k1", "k2"], priority: undefined, quota: { ratePerSecond: 4, burst: 8 } };
const otherTeam: Team = { ...team, name: "signatures", keys: ["k3"] };
const models = { name: "models", maxConnections: 9, model: { slots: 4, cacheTokens: 1_000, tokensPerEvent: 10 } };
const tools: Service = { name: "tools", maxConnections: 9, model: undefined };
const sound: Declaration = {
    version: 2,
    routes: [route, tool],
    services: new Map<string, Service>([["models", models], ["tools", tools]]),
    limits: { headerBytes: 100, bodyBytes: 1_000, headerTimeout: 10, idleTimeout: 10 },
    teams: [team, otherTeam],
};

function listed(changes: Partial<Declaration>, serviceNames?: readonly string[]): ListedDeclaration {
    const declaration = { ...sound, ...changes };
    return { declaration, serviceNames: serviceNames ?? [...declaration.services.keys()] };
}

function kindsOf(next: ListedDeclaration, current?: ListedDeclaration, upstreams?: ReadonlyMap<string, number>) {
    return checkDeclaration({ next, current, upstreams, bufferedBytes: 1_000 }).map(({ kind }) => kind);
}

test("a sound declaration gives no finding (guards against warnings that operators learn to ignore)", () => {
    assert.deepEqual(kindsOf(listed({}), listed({ version: 1 }), new Map([["models", 2], ["tools", 2]])), []);
});

const faults: readonly (readonly [string, ListedDeclaration])[] = [
    ["hiddenRoute", listed({ routes: [route, tool, { ...route, name: "new", host: "H.example" }] })],
    ["duplicateRouteName", listed({ routes: [route, { ...tool, name: "turn" }] })],
    ["unreachableRoute", listed({ routes: [route, { ...tool, host: "" }] })],
    ["unreachableRoute", listed({ routes: [route, { ...tool, host: "h.example:80" }] })],
    ["unreachableRoute", listed({ routes: [route, { ...tool, prefix: "tool/" }] })],
    ["openPrefix", listed({ routes: [route, { ...tool, prefix: "/tool" }] })],
    ["undeclaredService", listed({ services: new Map([["tools", tools]]) })],
    ["zeroWeight",
        listed({ routes: [{ ...route, shares: [...route.shares, { service: "tools", weight: 0 }] }, tool] })],
    ["duplicateShare", listed({ routes: [{ ...route, shares: [...route.shares, ...route.shares] }, tool] })],
    ["unusedService", listed({}, ["models", "tools", "old"])],
    ["duplicateService", listed({}, ["models", "tools", "tools"])],
    ["noRoutes", listed({ routes: [], services: new Map() })],
    ["ineffectiveField", listed({ routes: [route, { ...tool, retention: 60_000 }] })],
    ["ineffectiveField", listed({ teams: undefined, routes: [route, { ...tool, isPublic: true }] })],
    ["timeoutBelowTarget", listed({ routes: [route, { ...tool, targetLatency: 1_001 }] })],
    ["intervalAboveTimeout", listed({ routes: [{ ...route, maxEventInterval: 1_000 }, tool] })],
    ["retentionBelowPause", listed({ routes: [route, { ...tool, timeout: 60_001 }] })],
    ["bodyAboveMemory", listed({ limits: { ...sound.limits, bodyBytes: 1_001 } })],
    ["refusingLimit", listed({ limits: { ...sound.limits, idleTimeout: 0 } })],
    ["sharedKey", listed({ teams: [team, { ...otherTeam, keys: ["k1"] }] })],
    ["duplicateKey", listed({ teams: [{ ...team, keys: ["k1", "k1"] }, otherTeam] })],
    ["duplicateTeam", listed({ teams: [team, { ...otherTeam, name: "riders" }] })],
    ["unusableTeamName", listed({ teams: [team, { ...otherTeam, name: "a\r\nb" }] })],
    ["unusableKey", listed({ teams: [team, { ...otherTeam, keys: ["a b"] }] })],
    ["teamWithoutKeys", listed({ teams: [team, { ...otherTeam, keys: [] }] })],
    ["burstBelowRequest", listed({ teams: [team, { ...otherTeam, quota: { ratePerSecond: 1, burst: 0.9 } }] })],
    ["noTeams", listed({ teams: [] })],
];

test("each fault of a declaration is found, alone (guards against a mistake that is noticed by callers first)", () => {
    faults.forEach(([kind, next]) => assert.deepEqual(kindsOf(next), [kind]));
});

test("routes are compared with the upstreams there are (guards against a route to a service that nobody runs)", () => {
    assert.deepEqual(kindsOf(listed({}), undefined, new Map([["models", 1], ["tools", 2]])), [
        "attemptsAboveUpstreams",
    ]);
    assert.deepEqual(kindsOf(listed({}), undefined, new Map([["models", 2]])), ["noUpstreams"]);
});

const changes: readonly (readonly [string, Partial<Declaration>])[] = [
    ["staleVersion", { version: 1 }],
    ["keyWithdrawn", { teams: [{ ...team, keys: ["k1"] }, otherTeam] }],
    ["keyMoved", { teams: [{ ...team, keys: ["k1"] }, { ...otherTeam, keys: ["k2", "k3"] }] }],
    ["teamDropped", { teams: [{ ...team, keys: ["k1", "k2", "k3"] }] }],
    ["quotaLowered", { teams: [{ ...team, quota: { ratePerSecond: 9, burst: 7 } }, otherTeam] }],
    ["limitRaised", { teams: [{ ...team, quota: undefined }, otherTeam] }],
    ["keysNotRequired", { teams: undefined }],
    ["keysNotRequired", { routes: [{ ...route, isPublic: true }, tool] }],
    ["routeRepeatable", { routes: [{ ...route, execution: "repeatable" }, tool] }],
    ["routeTypeChanged", { routes: [route, { ...tool, streamed: true }] }],
    ["limitLowered", { routes: [{ ...route, retention: undefined }, tool] }],
    ["limitLowered", { routes: [route, { ...tool, timeout: 999 }] }],
    ["limitLowered", { limits: { ...sound.limits, headerBytes: 99 } }],
    ["capacityRaised", {
        services: new Map<string, Service>([["models", { ...models, model: { ...models.model, cacheTokens: 1_001 } }], [
            "tools",
            tools,
        ]]),
    }],
    ["modelChanged", {
        services: new Map<string, Service>([["models", models], ["tools", { ...tools, model: models.model }]]),
    }],
    ["added", { routes: [route, tool, { ...tool, name: "new", prefix: "/new/" }] }],
];

test("what changes is found and ordered by risk (guards against a withdrawn key that is overlooked among notes)", () => {
    const current = listed({ version: 1 });
    for (const [kind, change] of changes) {
        const kinds = kindsOf(listed(change), current);
        assert.ok(kinds.includes(kind as (typeof kinds)[number]), `${kind} is not in ${kinds.join(", ")}`);
    }
    assert.ok(kindsOf(listed({}), listed({ version: 1, teams: undefined })).includes("keysRequired"));
    const all = kindsOf(
        listed({ teams: [{ ...team, keys: ["k1"], quota: { ratePerSecond: 1, burst: 8 }, priority: 3 }, {
            ...otherTeam,
            keys: ["k3", "k4"],
        }], routes: [route, { ...tool, prefix: "/tools/" }] }),
        current,
    );
    assert.deepEqual(all, ["keyWithdrawn", "quotaLowered", "routeDropped", "changed", "added", "added"]);
});

test("names are quoted without what a terminal interprets (guards against a file that hides lines of the output)", () => {
    assert.equal(quoteName("a\u001b[2K\"\u202eb"), "\"a\\u{1b}[2K\\\"\\u{202e}b\"");
    assert.equal(quoteName("x".repeat(90)).length, 85);
});
