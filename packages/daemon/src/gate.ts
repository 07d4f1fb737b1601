import { refuse } from "@tamarackgauge/core";
import type { Heartbeat, Refusal } from "@tamarackgauge/core";
import { movedRefusal } from "./running.ts";

/** What a daemon knows about its right to serve. Ages and times are in milliseconds. */
export interface AdmissionConditions {
    readonly leaseValid: boolean;
    readonly ttl: number;
    /** Daemons in the ownership map, this one included. */
    readonly members: number;
    /** The last heartbeats of peers, with their age. */
    readonly heartbeats: readonly { readonly heartbeat: Heartbeat; readonly age: number; }[];
    readonly queuedBytes: number;
}

/** History that may wait for the store, in bytes; it is lost with the daemon. */
export const maxQueuedBytes = 64 * 1024 * 1024;
const retryAfterMs = 2_000;

/**
 * Judges whether an owner may serve a call. While its lease is valid it may. When the store does not answer it goes
 * on only if the store is down for all: a daemon that is cut off alone is about to be taken over.
 */
export function admit(conditions: AdmissionConditions, atMostOnce: boolean): Refusal | undefined {
    if (conditions.queuedBytes > maxQueuedBytes) {
        return refuse("journal_full", "notRun", undefined, retryAfterMs);
    }
    if (conditions.leaseValid) {
        return undefined;
    }
    const recentHeartbeats = conditions.heartbeats.filter(({ age }) => age < conditions.ttl);
    if (recentHeartbeats.some(({ heartbeat, age }) =>
        heartbeat.storeAge !== undefined && heartbeat.storeAge + age < conditions.ttl
    )) {
        return movedRefusal("the daemon is cut off from the store");
    }
    if ((recentHeartbeats.length + 1) * 2 < conditions.members ||
        (recentHeartbeats.length === 0 && conditions.members > 1)) {
        return refuse("isolated", "notRun", undefined, retryAfterMs);
    }
    return atMostOnce ? refuse("store_unavailable", "notRun", undefined, retryAfterMs) : undefined;
}
