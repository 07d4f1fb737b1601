/** Shares the time for parsing among connections, as what some of them send takes far longer than its size suggests. */
export interface ParsingTurns {
    /** Begins the turn of a connection. Returns a function that tells whether it is over. */
    begin(): () => boolean;
    /** Continues a connection whose turn is over when those before it have had theirs. */
    enqueue(readOn: () => void): void;
    /** Forgets a connection that waits for its turn, if it does. */
    remove(readOn: () => void): void;
}

/** Time for which a connection is parsed before others get their turn. */
const maxTurnMs = 1;

/** Creates turns; `now` is the monotonic clock in milliseconds. */
export function createParsingTurns(now: () => number): ParsingTurns {
    const waiting = new Set<() => void>();
    let isScheduled = false;

    function schedule(): void {
        if (!isScheduled && waiting.size > 0) {
            isScheduled = true;
            setImmediate(continueNext);
        }
    }

    /** One connection at a time, so that those which do not wait, and all else of the process, go on in between. */
    function continueNext(): void {
        isScheduled = false;
        const [next] = waiting;
        if (next !== undefined) {
            waiting.delete(next);
            next();
        }
        schedule();
    }

    return {
        begin() {
            const endsAt = now() + maxTurnMs;
            return () => now() >= endsAt;
        },
        enqueue(readOn) {
            waiting.add(readOn);
            schedule();
        },
        remove: readOn => void waiting.delete(readOn),
    };
}
