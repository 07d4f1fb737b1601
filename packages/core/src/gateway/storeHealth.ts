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
    begin(now: number, part: string, isLongPoll: boolean): StoreObservation;
    /** No part is expected to answer. */
    isUnavailable(now: number): boolean;
    isPartUnavailable(part: string, now: number): boolean;
    /** Calls failed or are late, so that it is to be learned whether other parts answer. */
    isSuspected(now: number): boolean;
}

/** Failures in a row after which a part counts as away, and parts in a row that fail after which all do. */
const minFailures = 3;
/** The first of the failures is at least this old. */
const minFailureAgeMs = 150;
/** What does not answer at all counts as away after this long; a slow store takes half a second for an answer. */
const maxSilenceMs = 1_000;
/** A call without an answer for this long is late enough to ask another part. */
const suspectAfterMs = 300;

/** The mean time between two probes of a store that counts as away, in ms. */
const probeIntervalMs = 250;

/** Milliseconds to the next probe, spread so that gateways that lost the store together do not ask together. */
export function probeDelay(random: Random): number {
    return probeIntervalMs * (0.5 + random());
}

/** Bounds of the time after which a caller should come back, in ms. */
const minRetryDelayMs = 1_000;
const maxRetryDelayMs = 2_200;

/**
 * Milliseconds after which a caller should come back that was refused because no way to the store is open. An outage that
 * has lasted for a while is expected to last as long again, and a caller comes back only a few times. Spread by a quarter,
 * so that callers do not come back together.
 */
export function outageRetryDelay(outageAge: number, random: Random): number {
    const retryDelay = Math.min(maxRetryDelayMs, Math.max(minRetryDelayMs, outageAge * 2));
    return retryDelay * (0.875 + random() * 0.25);
}

/** Whether an outage that has lasted for `awayFor` is expected to end within a time; such an outage lasts as long again. */
export function outageEndsWithin(time: number, outageAge: number): boolean {
    return outageAge <= time;
}

/** What is known of the calls to one part, or to all. */
class CallHistory {
    private readonly pending = new Set<{ readonly at: number; }>();
    /** Start of the newest call that was answered. */
    private lastAnsweredStart = -Infinity;
    private failingSince = Infinity;
    /** What failed since the newest answer. */
    private readonly failures = new Set<unknown>();

    begin(at: number, isLongPoll: boolean, failureKeyOf: (failure: object) => unknown): StoreObservation {
        const entry = { at };
        if (!isLongPoll) {
            this.pending.add(entry);
        }
        return { answered: () => this.recordAnswer(entry),
            failed: () => this.recordFailure(entry, failureKeyOf(entry)) };
    }

    isUnavailable(now: number): boolean {
        return (this.failures.size >= minFailures && now - this.failingSince > minFailureAgeMs) ||
            now - this.failingSince > maxSilenceMs || this.isSilentFor(maxSilenceMs, now);
    }

    isSuspected(now: number): boolean {
        return this.failures.size > 0 || this.isSilentFor(suspectAfterMs, now);
    }

    private recordAnswer(entry: { readonly at: number; }): void {
        this.pending.delete(entry);
        this.lastAnsweredStart = Math.max(this.lastAnsweredStart, entry.at);
        // An answer to a call from before the failures says nothing about the store of now.
        if (entry.at >= this.failingSince || this.failures.size < minFailures) {
            this.failures.clear();
            this.failingSince = Infinity;
        }
    }

    private recordFailure(entry: { readonly at: number; }, failureKey: unknown): void {
        this.pending.delete(entry);
        if (entry.at >= this.lastAnsweredStart) {
            this.failures.add(failureKey);
            this.failingSince = Math.min(this.failingSince, entry.at);
        }
    }

    private isSilentFor(time: number, now: number): boolean {
        return [...this.pending].some(({ at }) => at >= this.lastAnsweredStart && now - at > time);
    }
}

/** Judges the store by the calls that are made of it. */
export function createStoreHealth(): StoreHealth {
    const storeHistory = new CallHistory();
    const partHistories = new Map<string, CallHistory>();

    function historyOf(part: string): CallHistory {
        const history = partHistories.get(part) ?? new CallHistory();
        partHistories.set(part, history);
        return history;
    }

    return {
        begin(now, part, isLongPoll) {
            const partObservation = historyOf(part).begin(now, isLongPoll, failure => failure);
            // However often one part fails, the others may answer.
            const storeObservation = storeHistory.begin(now, isLongPoll, () => part);
            return {
                answered() {
                    partObservation.answered();
                    storeObservation.answered();
                },
                failed() {
                    partObservation.failed();
                    storeObservation.failed();
                },
            };
        },
        isUnavailable: now => storeHistory.isUnavailable(now),
        isPartUnavailable: (part, now) => partHistories.get(part)?.isUnavailable(now) === true,
        isSuspected: now => storeHistory.isSuspected(now),
    };
}
