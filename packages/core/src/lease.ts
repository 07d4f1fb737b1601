import { z } from "zod";

/** A daemon's lease row. Its revision changes with every renewal; its content says who wrote it. */
export const lease = z.object({
    incarnation: z.string(),
    /** Identity of the last transaction of the holder, to tell after a lost reply whether it was applied. */
    transaction: z.string(),
    /** Set by a successor: no later write of the holder succeeds. */
    fenced: z.boolean(),
});

/** A daemon's lease row. */
export type Lease = z.infer<typeof lease>;

/** What an observer knows of another daemon's lease. */
export interface LeaseObservation {
    readonly revision: string;
    /** Monotonic time of the observer at which it first saw this revision, in milliseconds. */
    readonly firstSeenAt: number;
}

/** Keeps the time of the first sighting while the revision stays. */
export function observeLease(previous: LeaseObservation | undefined, revision: string, now: number): LeaseObservation {
    return previous?.revision === revision ? previous : { revision, firstSeenAt: now };
}

/** Whether a lease has expired for this observer: no renewal for a whole time to live (milliseconds). */
export function isLeaseExpired(observation: LeaseObservation, ttlMs: number, now: number): boolean {
    return now - observation.firstSeenAt >= ttlMs;
}
