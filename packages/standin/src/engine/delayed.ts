/** A value that readers see with a lag. */
export interface Delayed<Value> {
    /** Sets the value that applies from `now` on. */
    set(value: Value, now: number): void;
    /** The value as it was one lag ago. */
    get(now: number): Value;
}

/** Creates a delayed value. Changes less than a twentieth of the lag apart are merged to keep the history short. */
export function createDelayed<Value>(initial: Value, lagMs: number): Delayed<Value> {
    let history: { at: number; value: Value; }[] = [{ at: -Infinity, value: initial }];

    function prune(now: number): void {
        const visibleIndex = history.findLastIndex(entry => entry.at <= now - lagMs);
        history = visibleIndex > 0 ? history.slice(visibleIndex) : history;
    }

    return {
        set(value, now) {
            const last = history.at(-1)!;
            if (history.length > 1 && now - last.at < lagMs / 20) {
                last.value = value;
                return;
            }
            prune(now);
            history.push({ at: now, value });
        },
        get(now) {
            prune(now);
            return history[0]!.value;
        },
    };
}
