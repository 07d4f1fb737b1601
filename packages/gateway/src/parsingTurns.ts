/** Shares the time for parsing among connections, as what some of them send takes far longer than its size suggests. */
export interface ParsingTurns {
    /** Begins the turn of a connection. Returns a function that tells whether it is over. */
    begin(): () => boolean;
    /** Continues a connection whose turn is over when the connections before it have had theirs. */
    enqueue(readOn: () => void): void;
}

/** Time for which a connection is parsed before others get their turn. */
const maxTurnMs = 2;

/** Creates turns; `now` is the monotonic clock in milliseconds. */
export function createParsingTurns(now: () => number): ParsingTurns {
    const waiting: (() => void)[] = [];

    /** One connection at a time, so that those which do not wait, and all else of the process, go on in between. */
    function continueNext(): void {
        waiting.shift()?.();
        if (waiting.length > 0) {
            setImmediate(continueNext);
        }
    }

    return {
        begin() {
            const endsAt = now() + maxTurnMs;
            return () => now() >= endsAt;
        },
        enqueue(readOn) {
            waiting.push(readOn);
            if (waiting.length === 1) {
                setImmediate(continueNext);
            }
        },
    };
}
