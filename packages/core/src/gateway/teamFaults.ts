import { hashKey } from "../key.ts";
import { createFinding, type Finding, quoteName } from "./finding.ts";
import type { Declaration, Team } from "./route.ts";

const digestLength = 8;

/** Names a key without telling it: the first digits of its SHA-256. */
export function keyDigest(key: string): string {
    return hashKey(key).slice(0, digestLength);
}

/** Describes a team by its name. */
export function describeTeam({ name }: Team): string {
    return `team ${quoteName(name)}`;
}

/** Finds keys by which no team can be identified and quotas that admit nothing. */
export function findTeamFaults({ teams, routes }: Declaration): readonly Finding[] {
    if (teams === undefined) {
        return routes.flatMap((route, index) =>
            route.isPublic
                ? [createFinding("ineffectiveField", ["routes", index, "isPublic"],
                    "no teams are declared, so calls of all routes need no key")]
                : []
        );
    }
    return [
        ...teams.length > 0 ?
            [] :
            [createFinding("noTeams", ["teams"],
                "the list of teams is empty, so every call of a route that is not public is answered 401")],
        ...findDuplicateTeams(teams),
        ...findSharedKeys(teams),
        ...teams.flatMap((team, index) => findFaultsOfTeam(team, index)),
    ];
}

function findDuplicateTeams(teams: readonly Team[]): readonly Finding[] {
    const seen = new Set<string>();
    return teams.flatMap((team, index) => {
        const isDuplicate = seen.has(team.name);
        seen.add(team.name);
        return isDuplicate ?
            [createFinding("duplicateTeam", ["teams", index, "name"],
                `${describeTeam(team)} is declared twice; its turns are shared and its quota is ambiguous`)] :
            [];
    });
}

/** A key of two entries identifies neither, so its callers are refused. */
function findSharedKeys(teams: readonly Team[]): readonly Finding[] {
    const holders = new Map<string, number>();
    return teams.flatMap((team, index) =>
        team.keys.flatMap((key, keyIndex) => {
            const holder = holders.get(key);
            holders.set(key, holder ?? index);
            if (holder === undefined) {
                return [];
            }
            const path = ["teams", index, "keys", keyIndex];
            return [
                holder === index
                    ? createFinding("duplicateKey", path, `the key ${keyDigest(key)} is listed twice`)
                    : createFinding("sharedKey", path,
                        `the key ${keyDigest(key)} identifies nobody, as ${describeTeam(teams[holder]!)} and ` +
                            `${describeTeam(team)} hold it; its callers are answered 401`),
            ];
        })
    );
}

/** The name is sent to upstreams as a header and is part of the ids of turns. */
const teamNamePattern = /^[!-~](?:[ -~]*[!-~])?$/;
/** What a caller can send as a bearer token. */
const keyPattern = /^[!-~]+$/;

function findFaultsOfTeam(team: Team, index: number): readonly Finding[] {
    const path = ["teams", index];
    const subject = describeTeam(team);
    return [
        ...teamNamePattern.test(team.name) ?
            [] :
            [createFinding("unusableTeamName", [...path, "name"],
                `${subject}: a name needs visible ASCII characters, as it is sent in a header`)],
        ...team.keys.length > 0 ?
            [] :
            [createFinding("teamWithoutKeys", path, `${subject} has no key, so no call belongs to it`)],
        ...team.keys.flatMap((key, keyIndex) =>
            keyPattern.test(key) ?
                [] :
                [createFinding("unusableKey", [...path, "keys", keyIndex],
                    `the key ${
                        keyDigest(key)
                    } of ${subject} cannot be sent as a bearer token: it is empty or has blanks or ` +
                        "other characters than visible ASCII")]
        ),
        ...team.quota === undefined || team.quota.burst >= 1 ?
            [] :
            [createFinding("burstBelowRequest", [...path, "burst"],
                `${subject} has a burst of ${team.quota.burst}, which is below one request`)],
    ];
}
