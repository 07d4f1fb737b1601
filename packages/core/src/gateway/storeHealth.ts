import type { Random } from "../clock.ts";

/** A call of the store that has not ended. */
export interface StoreObservation {
    answered(): void;
    failed(): void;
}

/**
 * Whether the store can be expected to answer a call that is made now. Some of its parts can be away while others
 * answer. Times are monotonic milliseconds.
 */
export interface StoreHealth {
    /** Notes that a call of a part starts. A call that waits for changes may be silent for long. */
    begin(now: number, part: string, mayWait: boolean): StoreObservation;
    /** No part is expected to answer. */
    isAway(now: number): boolean;
    isPartAway(part: string, now: number): boolean;
    /** Calls failed or are late, so that it is to be learned whether other parts answer. */
    isInDoubt(now: number): boolean;
}

/** Failures in a row after which a part counts as away, and parts in a row that fail after which all do. */
const fewestFailures = 3;
/** The first of the failures is at least this old. */
const shortestFailure = 150;
/** What does not answer at all counts as away after this long; a slow store takes half a second for an answer. */
const longestSilence = 1_000;
/** A call without an answer for this long is late enough to ask another part. */
const doubtAfter = 300;

/** The mean time between two probes of a store that counts as away, in ms. */
const probeInterval = 250;

/** Milliseconds to the next probe, spread so that gateways that lost the store together do not ask together. */
export function probeDelay(random: Random): number {
    return probeInterval * (0.5 + random());
}

/** Bounds of the time after which a caller should come back, in ms. */
const shortestReturn = 1_000;
const longestReturn = 2_200;

/**
 * Milliseconds after which a caller should come back that was refused because no way to the store is open. An outage that
 * has lasted for a while is expected to last as long again, and a caller comes back only a few times. Spread by a quarter,
 * so that callers do not come back together.
 */
export function returnAfterOutage(awayFor: number, random: Random): number {
    const expected = Math.min(longestReturn, Math.max(shortestReturn, awayFor * 2));
    return expected * (0.875 + random() * 0.25);
}

/** Whether an outage that has lasted for `awayFor` is expected to end within a time; such an outage lasts as long again. */
export function endsWithin(time: number, awayFor: number): boolean {
    return awayFor <= time;
}

/** What is known of the calls to one part, or to all. */
class CallRecord {
    private readonly pending = new Set<{ readonly at: number; }>();
    /** Start of the newest call that was answered. */
    private answeredAt = -Infinity;
    private failingSince = Infinity;
    /** What failed since the newest answer. */
    private readonly failed = new Set<unknown>();

    begin(at: number, mayWait: boolean, identity: (failure: object) => unknown): StoreObservation {
        const entry = { at };
        if (!mayWait) {
            this.pending.add(entry);
        }
        return { answered: () => this.answer(entry), failed: () => this.fail(entry, identity(entry)) };
    }

    isAway(now: number): boolean {
        return (this.failed.size >= fewestFailures && now - this.failingSince > shortestFailure) ||
            now - this.failingSince > longestSilence || this.isSilentFor(longestSilence, now);
    }

    isInDoubt(now: number): boolean {
        return this.failed.size > 0 || this.isSilentFor(doubtAfter, now);
    }

    private answer(entry: { readonly at: number; }): void {
        this.pending.delete(entry);
        this.answeredAt = Math.max(this.answeredAt, entry.at);
        // An answer to a call from before the failures says nothing about the store of now.
        if (entry.at >= this.failingSince || this.failed.size < fewestFailures) {
            this.failed.clear();
            this.failingSince = Infinity;
        }
    }

    private fail(entry: { readonly at: number; }, identity: unknown): void {
        this.pending.delete(entry);
        if (entry.at >= this.answeredAt) {
            this.failed.add(identity);
            this.failingSince = Math.min(this.failingSince, entry.at);
        }
    }

    private isSilentFor(time: number, now: number): boolean {
        return [...this.pending].some(({ at }) => at >= this.answeredAt && now - at > time);
    }
}

/** Judges the store by the calls that are made of it. */
export function createStoreHealth(): StoreHealth {
    const whole = new CallRecord();
    const parts = new Map<string, CallRecord>();

    function recordOf(part: string): CallRecord {
        const record = parts.get(part) ?? new CallRecord();
        parts.set(part, record);
        return record;
    }

    return {
        begin(now, part, mayWait) {
            const ofPart = recordOf(part).begin(now, mayWait, failure => failure);
            // However often one part fails, the others may answer.
            const ofWhole = whole.begin(now, mayWait, () => part);
            return {
                answered() {
                    ofPart.answered();
                    ofWhole.answered();
                },
                failed() {
                    ofPart.failed();
                    ofWhole.failed();
                },
            };
        },
        isAway: now => whole.isAway(now),
        isPartAway: (part, now) => parts.get(part)?.isAway(now) === true,
        isInDoubt: now => whole.isInDoubt(now),
    };
}
