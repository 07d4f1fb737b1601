/** Events on virtual time, in order of time and, at one time, in order of planning. */
export interface EventQueue {
    readonly now: () => number;
    schedule(time: number, act: () => void): void;
    /** Runs all events, and those that they plan, until none is left or `limit` have run; false at the limit. */
    run(maxEvents: number): boolean;
}

/** Creates an empty timetable at time 0. */
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
