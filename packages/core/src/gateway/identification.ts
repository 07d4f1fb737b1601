import type { Team } from "./route.ts";

/** Who has sent a call: a team, nobody in particular, or a caller without a valid key. */
export type Identification =
    /** No teams are declared. */
    | { readonly kind: "notNeeded"; }
    /** `team` is undefined for a call on a public route that no team's key came with. */
    | { readonly kind: "identified"; readonly team: Team | undefined; }
    | { readonly kind: "rejected"; readonly reason: KeyProblem; };

/** Why a key is not accepted. */
export type KeyProblem = "noKey" | "malformedKey" | "unknownKey";

/** Finds the team that a call belongs to. */
export interface KeyRing {
    /** `authorization` holds the values of all headers of that name. */
    identify(authorization: readonly string[], isPublic: boolean): Identification;
}

/** A bearer token, the scheme in any case (RFC 6750). Operators may choose keys of any visible characters. */
const bearerPattern = /^bearer +(\S+)$/i;

/** Creates the key ring of a declaration; `teams` is undefined if it declares none. A key held by two teams names neither. */
export function createKeyRing(teams: readonly Team[] | undefined): KeyRing {
    if (teams === undefined) {
        return { identify: () => ({ kind: "notNeeded" }) };
    }
    const teamsByKey = indexByKey(teams);

    function identify(authorization: readonly string[], isPublic: boolean): Identification {
        const found = findTeam(authorization);
        if (typeof found !== "string") {
            return { kind: "identified", team: found };
        }
        return isPublic ? { kind: "identified", team: undefined } : { kind: "rejected", reason: found };
    }

    function findTeam(authorization: readonly string[]): Team | KeyProblem {
        if (authorization.length === 0) {
            return "noKey";
        }
        const key = authorization.length === 1 ? bearerPattern.exec(authorization[0]!.trim())?.[1] : undefined;
        return key === undefined ? "malformedKey" : teamsByKey.get(key) ?? "unknownKey";
    }

    return { identify };
}

function indexByKey(teams: readonly Team[]): ReadonlyMap<string, Team> {
    const teamsByKey = new Map<string, Team>();
    const sharedKeys = new Set<string>();
    for (const team of teams) {
        for (const key of new Set(team.keys)) {
            if (teamsByKey.has(key)) {
                sharedKeys.add(key);
            }
            teamsByKey.set(key, team);
        }
    }
    sharedKeys.forEach(key => teamsByKey.delete(key));
    return teamsByKey;
}

/**
 * What ids of turns and programs belong to: the name of a team, or an empty text for callers without a team; undefined where
 * no teams are declared.
 */
export type Scope = string | undefined;

const scopeSeparator = "@";

/** The key under which a turn or a program is kept. Two scopes never give the same key, whatever their names and ids are. */
export function scopedId(scope: Scope, id: string): string {
    return scope === undefined ? id : `${encodeURIComponent(scope)}${scopeSeparator}${id}`;
}

/**
 * The key under which an earlier declaration without teams kept a turn; undefined if the id could be read as the key of a
 * scope, as no caller may reach into one.
 */
export function unscopedId(id: string): string | undefined {
    return id.includes(scopeSeparator) ? undefined : id;
}
