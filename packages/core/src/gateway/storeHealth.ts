/** Reports the outcome of a store call. */
export interface StoreObservation {
    answered(): void;
    failed(): void;
}

/**
 * Failure detector for the store: whether a call made now can be expected to succeed. Some parts of the store can be
 * unavailable while others answer. Times are monotonic milliseconds.
 */
export interface StoreHealth {
    /** Records the start of a call to a part. A long poll waits for changes, so its silence is no sign of a failure. */
    begin(now: number, part: string, isLongPoll: boolean): StoreObservation;
    /** Whether no part is expected to answer. */
    isUnavailable(now: number): boolean;
    isPartUnavailable(part: string, now: number): boolean;
    /** Whether calls have failed or are late, so that other parts should be probed. */
    isSuspected(now: number): boolean;
}

/** Consecutive failures after which a part is unavailable, and consecutively failing parts after which the store is. */
const minFailures = 3;
/** Minimum age of the first of these failures. */
const minFailureAgeMs = 150;
/** Time without any answer after which a part or the store is unavailable. A slow store takes 500 ms for an answer. */
const maxSilenceMs = 1_000;
/** Age of an unanswered call after which other parts are probed. */
const suspectAfterMs = 300;

/** Outcomes of the calls to one part, or to the whole store. */
class CallHistory {
    private readonly pending = new Set<{ readonly at: number; }>();
    /** Start time of the most recently started call that was answered. */
    private lastAnsweredStart = -Infinity;
    private failingSince = Infinity;
    /** Keys of the failures since the last answer. */
    private readonly failureKeys = new Set<unknown>();

    begin(at: number, isLongPoll: boolean, failureKeyOf: (failure: object) => unknown): StoreObservation {
        const entry = { at };
        if (!isLongPoll) {
            this.pending.add(entry);
        }
        return { answered: () => this.recordAnswer(entry),
            failed: () => this.recordFailure(entry, failureKeyOf(entry)) };
    }

    isUnavailable(now: number): boolean {
        return (this.failureKeys.size >= minFailures && now - this.failingSince > minFailureAgeMs) ||
            now - this.failingSince > maxSilenceMs || this.isSilentFor(maxSilenceMs, now);
    }

    isSuspected(now: number): boolean {
        return this.failureKeys.size > 0 || this.isSilentFor(suspectAfterMs, now);
    }

    private recordAnswer(entry: { readonly at: number; }): void {
        this.pending.delete(entry);
        this.lastAnsweredStart = Math.max(this.lastAnsweredStart, entry.at);
        // An answer to a call that started before the failures says nothing about the current state of the store.
        if (entry.at >= this.failingSince || this.failureKeys.size < minFailures) {
            this.failureKeys.clear();
            this.failingSince = Infinity;
        }
    }

    private recordFailure(entry: { readonly at: number; }, failureKey: unknown): void {
        this.pending.delete(entry);
        if (entry.at >= this.lastAnsweredStart) {
            this.failureKeys.add(failureKey);
            this.failingSince = Math.min(this.failingSince, entry.at);
        }
    }

    private isSilentFor(time: number, now: number): boolean {
        return [...this.pending].some(({ at }) => at >= this.lastAnsweredStart && now - at > time);
    }
}

/** Creates a failure detector that is based on the outcomes of the store calls. */
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
            // Repeated failures of one part count once, as the other parts may still answer.
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
