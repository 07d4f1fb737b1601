import { createFinding, type Finding, type FindingPath } from "./finding.ts";
import type { Quota, Team } from "./route.ts";
import { describeTeam, keyDigest } from "./teamFaults.ts";

/** A list of teams; undefined if callers need no key. */
type Teams = readonly Team[] | undefined;

/** Finds keys and teams that are withdrawn, and quotas that change. */
export function compareTeams(next: Teams, current: Teams): readonly Finding[] {
    if (next === undefined && current === undefined) {
        return [];
    }
    if (current === undefined) {
        return [
            createFinding("keysRequired", ["teams"],
                "calls needed no key and are answered 401 without one from now on, except on public routes; earlier turns " +
                    "belong to no team"),
        ];
    }
    if (next === undefined) {
        return [
            createFinding("keysNotRequired", ["teams"],
                "calls need no key any more, quotas end, and turns of teams cannot be continued", "inForce"),
        ];
    }
    return [...compareKeys(next, current), ...compareEntries(next, current)];
}

interface KeyPlace {
    readonly team: Team;
    readonly path: FindingPath;
}

/** Where each key stands first. */
function indexKeys(teams: readonly Team[]): ReadonlyMap<string, KeyPlace> {
    const places = new Map<string, KeyPlace>();
    teams.forEach((team, index) =>
        team.keys.forEach((key, keyIndex) => {
            places.set(key, places.get(key) ?? { team, path: ["teams", index, "keys", keyIndex] });
        })
    );
    return places;
}

function compareKeys(next: readonly Team[], current: readonly Team[]): readonly Finding[] {
    const nextKeys = indexKeys(next);
    const currentKeys = indexKeys(current);
    const changed = [...currentKeys].flatMap(([key, { team, path }]) => {
        const place = nextKeys.get(key);
        if (place === undefined) {
            return [
                createFinding("keyWithdrawn", path,
                    `the key ${keyDigest(key)} of ${describeTeam(team)} is withdrawn; its callers are answered 401`,
                    "inForce"),
            ];
        }
        return place.team.name === team.name ?
            [] :
            [createFinding("keyMoved", place.path,
                `the key ${keyDigest(key)} moves from ${describeTeam(team)} to ${
                    describeTeam(place.team)
                }; its callers ` +
                    "cannot continue their turns")];
    });
    const added = [...nextKeys].filter(([key]) => !currentKeys.has(key)).map(([key, { team, path }]) =>
        createFinding("added", path, `the key ${keyDigest(key)} of ${describeTeam(team)} is new`)
    );
    return [...changed, ...added];
}

function compareEntries(next: readonly Team[], current: readonly Team[]): readonly Finding[] {
    const nextNames = new Set(next.map(({ name }) => name));
    const before = new Map(current.map(team => [team.name, team]));
    const dropped = current.flatMap((team, index) =>
        nextNames.has(team.name)
            ? []
            : [createFinding("teamDropped", ["teams", index], `${describeTeam(team)} is dropped`, "inForce")]
    );
    const kept = next.flatMap((team, index) => {
        const earlier = before.get(team.name);
        return earlier === undefined
            ? [createFinding("added", ["teams", index], `${describeTeam(team)} is new`)]
            : compareTeam(team, earlier, ["teams", index]);
    });
    return [...dropped, ...kept];
}

function compareTeam(next: Team, current: Team, path: FindingPath): readonly Finding[] {
    const quotas = `${formatQuota(current.quota)} becomes ${formatQuota(next.quota)}`;
    return [
        ...formatQuota(next.quota) === formatQuota(current.quota) ? [] : [
            isLowered(next.quota, current.quota)
                ? createFinding("quotaLowered", [...path, "quota"],
                    `the quota of ${describeTeam(next)} is lowered: ${quotas}; compare it with what the team sends`)
                : createFinding("limitRaised", [...path, "quota"],
                    `the quota of ${describeTeam(next)} is raised: ${quotas}`),
        ],
        ...next.priority === current.priority ?
            [] :
            [createFinding("changed", [...path, "priority"],
                `the priority of ${describeTeam(next)}: ${formatPriority(current)} becomes ${formatPriority(next)}`)],
    ];
}

/** A quota of which one part is lowered and the other raised counts as lowered. */
function isLowered(next: Quota | undefined, current: Quota | undefined): boolean {
    return next !== undefined &&
        (current === undefined || next.ratePerSecond < current.ratePerSecond || next.burst < current.burst);
}

function formatQuota(quota: Quota | undefined): string {
    return quota === undefined ? "no limit" : `${quota.ratePerSecond}/s with a burst of ${quota.burst}`;
}

function formatPriority({ priority }: Team): string {
    return priority === undefined ? "that of the route" : String(priority);
}
