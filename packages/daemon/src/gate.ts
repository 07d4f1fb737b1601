import { refuse } from "@tamarackgauge/core";
import type { Heartbeat, Refusal } from "@tamarackgauge/core";
import { movedRefusal } from "./running.ts";

/** What a daemon knows about its right to serve. Ages and times are in milliseconds. */
export interface Standing {
    readonly leaseValid: boolean;
    readonly ttl: number;
    /** Daemons in the ownership map, this one included. */
    readonly members: number;
    /** The last heartbeats of peers, with their age. */
    readonly beats: readonly { readonly beat: Heartbeat; readonly age: number; }[];
    readonly queuedBytes: number;
}

/** History that may wait for the store, in bytes; it is lost with the daemon. */
export const mostQueuedBytes = 64 * 1024 * 1024;
const retryAfter = 2_000;

/**
 * Judges whether an owner may serve a call. While its lease is valid it may. When the store does not answer it goes
 * on only if the store is down for all: a daemon that is cut off alone is about to be taken over.
 */
export function judge(standing: Standing, atMostOnce: boolean): Refusal | undefined {
    if (standing.queuedBytes > mostQueuedBytes) {
        return refuse("journal_full", "notRun", undefined, retryAfter);
    }
    if (standing.leaseValid) {
        return undefined;
    }
    const heard = standing.beats.filter(({ age }) => age < standing.ttl);
    if (heard.some(({ beat, age }) => beat.storeAge !== undefined && beat.storeAge + age < standing.ttl)) {
        return movedRefusal("the daemon is cut off from the store");
    }
    if ((heard.length + 1) * 2 < standing.members || (heard.length === 0 && standing.members > 1)) {
        return refuse("isolated", "notRun", undefined, retryAfter);
    }
    return atMostOnce ? refuse("store_unavailable", "notRun", undefined, retryAfter) : undefined;
}
