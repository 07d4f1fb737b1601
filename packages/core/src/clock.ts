/** A source of time. The core never reads the system clock directly, so that replays are deterministic. */
export interface Clock {
    /** Monotonic time in milliseconds since an arbitrary origin. */
    monotonic(): number;
    /** Milliseconds since 1970, for records that are shown to people. */
    wall(): number;
}

/** A source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** Creates a seeded random source (mulberry32) with the same sequence on every machine. */
export function createRandom(seed: number): Random {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
}

/** The clock of this process. */
export const systemClock: Clock = {
    monotonic: () => performance.now(),
    wall: () => Date.now(),
};
