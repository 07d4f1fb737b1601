import type { Heartbeat } from "@tamarackgauge/core";
import { z } from "zod";
import { ProtocolError } from "./reason.ts";
import { pack, readBody } from "./wire.ts";

/** The highest versions that a daemon knows of, each with a daemon that holds it. */
export interface KnownVersions {
    readonly configuration: VersionHolder;
    readonly ownership: VersionHolder;
}

/** A version, and a daemon that reported in its own heartbeat that it holds this version. */
export interface VersionHolder {
    readonly version: number;
    readonly holder: string;
}

const version = z.int().min(0);
/** A custom check, because validating 46 numbers with a schema each took most of the CPU time of a heartbeat. */
const nonNegativeIntegers = z.custom<readonly number[]>(value =>
    Array.isArray(value) && value.length <= 2048 && value.every(item => Number.isSafeInteger(item) && item >= 0)
);
const heartbeatSchema = z.tuple([
    /** Time since the store last responded, rounded to milliseconds. */
    z.int().min(0).nullish(),
    version,
    version,
    z.boolean(),
    /** Names that were not sent on this link before; they are numbered consecutively after the earlier ones. */
    z.array(z.string().min(1).max(128)).max(1024),
    /** Pairs of engine number and calls in flight. Engines that are not listed have none. */
    nonNegativeIntegers,
    /**
     * Relayed versions of configuration and ownership (version, holder, version, holder), present if one of them is
     * higher than the sender's own.
     */
    z.tuple([version, z.string().max(128), version, z.string().max(128)]).nullish(),
    /**
     * Pairs of model number and waiting calls, absent if no call waits. Models and engines share one table of names.
     */
    nonNegativeIntegers.optional(),
]);

/** Maximum number of names in the table of a link; further names are omitted from heartbeats. */
const maxNames = 8192;

/**
 * Encodes the heartbeats of one link. The name of an engine is sent once on each link and then replaced by a number: 23
 * engines take 46 bytes instead of about 400.
 */
export function createHeartbeatWriter(maxEngines: number): (beat: Heartbeat, versions: KnownVersions) => Buffer {
    const numberByName = new Map<string, number>();
    return (beat, versions) => {
        const addedNames: string[] = [];
        const inFlightPairs = encodeCounts(beat.inFlight, maxEngines, numberByName, addedNames);
        const waitingPairs = encodeCounts(beat.waiting ?? {}, maxEngines, numberByName, addedNames);
        const age = beat.storeAge === undefined ? null : Math.max(0, Math.round(beat.storeAge));
        const body: unknown[] = [age, beat.configurationVersion, beat.ownershipVersion, beat.leaving, addedNames,
            inFlightPairs];
        if (versions.configuration.version > beat.configurationVersion ||
            versions.ownership.version > beat.ownershipVersion) {
            body.push([versions.configuration.version, versions.configuration.holder, versions.ownership.version,
                versions.ownership.holder]);
        }
        else {
            body.push(null);
        }
        if (waitingPairs.length > 0) {
            body.push(waitingPairs);
        }
        return pack(body);
    };
}

/** Pairs of name number and count. A name without a number gets the next one and is added to `addedNames`. */
function encodeCounts(
    counts: Readonly<Record<string, number>>,
    limit: number,
    numberByName: Map<string, number>,
    addedNames: string[],
): number[] {
    const pairs: number[] = [];
    for (const [name, count] of highestCounts(counts, limit)) {
        let number = numberByName.get(name);
        if (number === undefined) {
            if (numberByName.size >= maxNames) {
                continue;
            }
            number = numberByName.size;
            numberByName.set(name, number);
            addedNames.push(name);
        }
        pairs.push(number, count);
    }
    return pairs;
}

/** Decodes the heartbeats of one link, which must be passed in the order received. Throws ProtocolError. */
export function createHeartbeatReader(): (
    bytes: Uint8Array,
) => { readonly beat: Heartbeat; readonly versions: KnownVersions | undefined; } {
    const knownNames: string[] = [];
    return bytes => {
        const [age, configurationVersion, ownershipVersion, leaving, addedNames, inFlightPairs, relayed, waitingPairs] =
            readBody(
                heartbeatSchema,
                bytes,
                "heartbeat",
            );
        if (knownNames.length + addedNames.length > maxNames || inFlightPairs.length % 2 !== 0 ||
            (waitingPairs?.length ?? 0) % 2 !== 0) {
            throw new ProtocolError("malformed", "the heartbeat has too many names or an incomplete pair");
        }
        knownNames.push(...addedNames);
        const storeAge = age ?? undefined;
        return {
            beat: {
                storeAge,
                configurationVersion,
                ownershipVersion,
                leaving,
                inFlight: decodeCounts(knownNames, inFlightPairs),
                ...waitingPairs === undefined ? {} : { waiting: decodeCounts(knownNames, waitingPairs) },
            },
            versions: relayed === null || relayed === undefined ? undefined : {
                configuration: { version: relayed[0], holder: relayed[1] },
                ownership: { version: relayed[2], holder: relayed[3] },
            },
        };
    };
}

function decodeCounts(names: readonly string[], numberedCounts: readonly number[]): Record<string, number> {
    const pairs: [string, number][] = [];
    for (let index = 0; index < numberedCounts.length; index += 2) {
        const name = names[numberedCounts[index] ?? 0];
        if (name === undefined) {
            throw new ProtocolError("malformed", "the heartbeat contains an unknown name number");
        }
        pairs.push([name, numberedCounts[index + 1] ?? 0]);
    }
    return Object.fromEntries(pairs);
}

function highestCounts(counts: Readonly<Record<string, number>>,
    limit: number): readonly (readonly [string, number])[] {
    const nonZero = Object.entries(counts).filter(([, count]) => count > 0);
    return nonZero.length <= limit ? nonZero : nonZero.sort((left, right) => right[1] - left[1]).slice(0, limit);
}
