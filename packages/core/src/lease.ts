import { z } from "zod";

/** A daemon's lease row. Each renewal changes the row's revision; the content identifies the writer. */
export const lease = z.object({
    incarnation: z.string(),
    /** Identity of the holder's last transaction; shows after a lost reply whether the transaction was applied. */
    transaction: z.string(),
    /** Set by the daemon that takes over; after that, writes of the holder fail. */
    fenced: z.boolean(),
});

/** A daemon's lease row. */
export type Lease = z.infer<typeof lease>;

/** The last lease revision of another daemon that this daemon has seen. */
export interface LeaseObservation {
    readonly revision: string;
    /** Monotonic time of the observer when it first saw this revision, in milliseconds. */
    readonly firstSeenAt: number;
}

/** Records an observed revision; the time of the first observation is kept while the revision is unchanged. */
export function observeLease(previous: LeaseObservation | undefined, revision: string, now: number): LeaseObservation {
    return previous?.revision === revision ? previous : { revision, firstSeenAt: now };
}

/** Whether the lease has expired for this observer: it saw no renewal for at least `ttlMs`. */
export function isLeaseExpired(observation: LeaseObservation, ttlMs: number, now: number): boolean {
    return now - observation.firstSeenAt >= ttlMs;
}
