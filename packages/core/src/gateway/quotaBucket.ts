import type { BucketShape } from "./teamQuota.ts";

/** Credits that come back later than this after they were issued are forgotten. */
export const maxReturnAgeMs = 1_000;
const slotMs = 250;
const msPerSecond = 1_000;
/** Sums of fractions may fall short of a whole credit by a rounding error. */
const roundingError = 1e-9;
/** Longest delay that is told, also if there will never be a credit. */
const maxDelayMs = 60_000;

/** The highest level within a slot of time. */
interface Peak {
    readonly slot: number;
    level: number;
}

/** A token bucket; it is empty at first. Times are monotonic milliseconds and don't decrease. */
export class QuotaBucket {
    private level = 0;
    private shape: BucketShape = { ratePerSecond: 0, capacity: 0 };
    /** Of late, the oldest first. */
    private peaks: Peak[] = [];
    /** Credits issued before are not taken back, as the level has not followed from takes and refills alone since. */
    private continuousSince: number;

    constructor(private updatedAt: number) {
        this.continuousSince = updatedAt;
    }

    /** Changes the shape from a time on; a level above the new capacity is lowered. */
    reshape(shape: BucketShape, now: number): void {
        const { ratePerSecond, capacity } = this.shape;
        this.advance(now);
        if (shape.ratePerSecond !== ratePerSecond || shape.capacity !== capacity) {
            this.shape = shape;
            this.setLevel(Math.min(this.level, shape.capacity), now);
        }
    }

    /** Takes as many whole credits as there are, up to `count`. */
    take(count: number, now: number): number {
        this.advance(now);
        const taken = Math.min(count, Math.floor(this.level + roundingError));
        this.level = Math.max(0, this.level - taken);
        return taken;
    }

    /**
     * Takes credits back that were not used. The level becomes what it would be if they had not been issued, so that what
     * the refills since then have replaced is not added again.
     */
    takeBack(count: number, issuedAt: number, now: number): void {
        this.advance(now);
        if (issuedAt < this.continuousSince || issuedAt > now || now - issuedAt > maxReturnAgeMs) {
            return;
        }
        const peaks = this.peaks.filter(({ slot }) => slot >= slotOf(issuedAt));
        const peak = Math.max(this.level, ...peaks.map(({ level }) => level));
        const added = Math.max(0, Math.min(count, this.shape.capacity - peak));
        peaks.forEach(each => each.level += added);
        this.level += added;
        this.notePeak(now);
    }

    /** Empties the bucket; returns what was in it. */
    drain(now: number): number {
        this.advance(now);
        const drained = this.level;
        this.setLevel(0, now);
        return drained;
    }

    /** Adds what another bucket was drained of. */
    fill(tokens: number, now: number): void {
        this.advance(now);
        if (tokens > 0) {
            this.setLevel(Math.min(this.shape.capacity, this.level + tokens), now);
        }
    }

    /** Credits at hand. */
    available(now: number): number {
        this.advance(now);
        return this.level;
    }

    /** Milliseconds until there is a whole credit. */
    delay(now: number): number {
        this.advance(now);
        const missing = 1 - roundingError - this.level;
        return missing <= 0
            ? 0
            : Math.min(maxDelayMs, missing * msPerSecond / Math.max(this.shape.ratePerSecond, roundingError));
    }

    private advance(now: number): void {
        if (now > this.updatedAt) {
            const refill = this.shape.ratePerSecond * (now - this.updatedAt) / msPerSecond;
            this.level = Math.max(this.level, Math.min(this.shape.capacity, this.level + refill));
            this.updatedAt = now;
        }
        this.notePeak(now);
    }

    private setLevel(level: number, now: number): void {
        this.level = level;
        this.peaks = [];
        this.continuousSince = now;
        this.notePeak(now);
    }

    private notePeak(now: number): void {
        const slot = slotOf(now);
        const last = this.peaks.at(-1);
        if (last !== undefined && last.slot >= slot) {
            last.level = Math.max(last.level, this.level);
            return;
        }
        // The level has risen through all slots since the last one, so that their peaks are at most that of this slot.
        this.peaks.push({ slot, level: this.level });
        while (this.peaks[0]!.slot < slot - maxReturnAgeMs / slotMs - 1) {
            this.peaks.shift();
        }
    }
}

function slotOf(time: number): number {
    return Math.floor(time / slotMs);
}
