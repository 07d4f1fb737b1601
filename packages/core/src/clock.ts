/** A source of time. The core never reads the system clock, so that a replay is exact. */
export interface Clock {
    /** Milliseconds that only grow; the origin is arbitrary. */
    monotonic(): number;
    /** Milliseconds since 1970, for records that people read. */
    wall(): number;
}

/** A source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** A seeded random source (mulberry32), the same sequence on every machine. */
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
