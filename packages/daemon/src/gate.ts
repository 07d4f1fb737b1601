import { refuse } from "@tamarackgauge/core";
import type { Heartbeat, Refusal } from "@tamarackgauge/core";
import { movedRefusal } from "./running.ts";

/** Conditions that decide whether a daemon may serve calls. Ages and times are in milliseconds. */
export interface AdmissionConditions {
    readonly leaseValid: boolean;
    readonly ttl: number;
    /** Number of daemons in the ownership map, including this one. */
    readonly members: number;
    /** The latest heartbeat of each peer, with its age. */
    readonly heartbeats: readonly { readonly heartbeat: Heartbeat; readonly age: number; }[];
    readonly queuedBytes: number;
}

/** Maximum size of history that is queued for the store; it is lost if the daemon fails. */
export const maxQueuedBytes = 64 * 1024 * 1024;
const retryAfterMs = 2_000;

/**
 * Decides whether an owner may serve a call; returns the refusal if not. With a valid lease it may. When the store does
 * not answer, it may continue only if the store is down for all daemons, since a daemon that alone has lost the store
 * is about to be taken over.
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
