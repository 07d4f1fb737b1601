import type { Random } from "../clock.ts";

/** A call of the store that has not ended. */
export interface StoreObservation {
    answered(): void;
    failed(): void;
}

/** Whether the store can be expected to answer a call that is made now. Times are monotonic milliseconds. */
export interface StoreHealth {
    /** Notes that a call starts. A call that waits for changes may be silent for long. */
    begin(now: number, mayWait: boolean): StoreObservation;
    isAway(now: number): boolean;
}

/** Failures in a row after which the store counts as away, if the first of them is at least this old. */
const fewestFailures = 3;
const shortestFailure = 150;
/** A store without any answer counts as away after this long; a slow one takes half a second for an answer. */
const longestSilence = 1_000;

/** The mean time between two probes of a store that counts as away, in ms. */
const probeInterval = 250;

/** Milliseconds to the next probe, spread so that gateways that lost the store together do not ask together. */
export function probeDelay(random: Random): number {
    return probeInterval * (0.5 + random());
}

/** Judges the store by the calls that are made of it. */
export function createStoreHealth(): StoreHealth {
    const pending = new Set<{ readonly at: number; }>();
    /** Start of the newest call that was answered. */
    let answeredAt = -Infinity;
    let failures = 0;
    let failingSince = Infinity;

    function begin(now: number, mayWait: boolean): StoreObservation {
        const entry = { at: now };
        if (!mayWait) {
            pending.add(entry);
        }
        return {
            answered() {
                pending.delete(entry);
                answeredAt = Math.max(answeredAt, entry.at);
                // An answer to a call from before the failures says nothing about the store of now.
                if (entry.at >= failingSince || failures < fewestFailures) {
                    failures = 0;
                    failingSince = Infinity;
                }
            },
            failed() {
                pending.delete(entry);
                if (entry.at >= answeredAt) {
                    failures += 1;
                    failingSince = Math.min(failingSince, entry.at);
                }
            },
        };
    }

    function isSilent(now: number): boolean {
        return [...pending].some(({ at }) => at >= answeredAt && now - at > longestSilence);
    }

    return {
        begin,
        isAway: now =>
            (failures >= fewestFailures && now - failingSince > shortestFailure) ||
            now - failingSince > longestSilence || isSilent(now),
    };
}
