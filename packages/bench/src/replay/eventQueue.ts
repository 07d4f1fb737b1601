/** A queue of events on virtual time. Events with the same time run in the order in which they were scheduled. */
export interface EventQueue {
    readonly now: () => number;
    schedule(time: number, act: () => void): void;
    /** Runs events, including those scheduled meanwhile, until none is left; false if `maxEvents` ran before that. */
    run(maxEvents: number): boolean;
}

/** Creates an empty queue whose time is 0. */
export function createEventQueue(): EventQueue {
    const events: { readonly time: number; readonly action: () => void; }[] = [];
    let now = 0;
    return {
        now: () => now,
        schedule(time, action) {
            const index = events.findIndex(event => event.time > time);
            events.splice(index < 0 ? events.length : index, 0, { time: Math.max(now, time), action });
        },
        run(maxEvents) {
            for (let count = 0; count < maxEvents; count += 1) {
                const event = events.shift();
                if (event === undefined) {
                    return true;
                }
                now = event.time;
                event.action();
            }
            return false;
        },
    };
}
