/** What was told counts for half of its weight after this time, in ms, and for nothing below the least weight. */
const recentHalfLife = 1_000;
const leastWeight = 0.02;

/** A mean of what was told lately: each value counts for half after a half-life, in ms. */
export class RecentMean {
    private sum = 0;
    private weight = 0;
    private at = 0;

    take(value: number, now: number): void {
        const fade = this.fade(now);
        this.sum = this.sum * fade + value;
        this.weight = this.weight * fade + 1;
        this.at = now;
    }

    /** Undefined if nothing was told lately. */
    value(now: number): number | undefined {
        return this.weight * this.fade(now) < leastWeight ? undefined : this.sum / this.weight;
    }

    private fade(now: number): number {
        return 0.5 ** (Math.max(0, now - this.at) / recentHalfLife);
    }
}

/** A median is of the values of this time, in ms; of fewer than the least number it is of the last ones of the longer time. */
const medianWindow = 1_500;
const longestWindow = 5_000;
const fewestTold = 3;
const mostTold = 64;

/**
 * The median of what was told lately. A load holds up all calls, so it moves the median; a few calls at a slow upstream, which
 * would move a mean of few values, do not.
 */
export class RecentMedian {
    private told: readonly { readonly value: number; readonly at: number; }[] = [];

    take(value: number, now: number): void {
        this.told = [...this.told.slice(1 - mostTold), { value, at: now }];
    }

    /** Undefined if nothing was told lately. */
    value(now: number): number | undefined {
        const late = this.told.filter(({ at }) => now - at <= medianWindow);
        const few = this.told.slice(-fewestTold).filter(({ at }) => now - at <= longestWindow);
        const sorted = (late.length < fewestTold ? few : late).map(({ value }) => value).sort((left, right) =>
            left - right
        );
        return sorted[Math.floor((sorted.length - 1) / 2)];
    }
}

/** Calls below the low quantile, how many make the first one, and the part of it by which a later call moves it. */
const lowShare = 0.25;
const firstValues = 48;
const smallStep = 0.004;

/** Follows the value that a quarter of all values stay below: calls that nothing holds up. */
export class LowQuantile {
    private quantile: number;
    private first: number[] = [];

    constructor(preset: number) {
        this.quantile = preset;
    }

    get value(): number {
        return this.quantile;
    }

    take(value: number): void {
        if (this.first.length < firstValues) {
            this.first = [...this.first, value].sort((left, right) => left - right);
            this.quantile = this.first[Math.floor(this.first.length * lowShare)]!;
            return;
        }
        // Steps so small that a load of some seconds does not pass for usual.
        const step = this.quantile * smallStep;
        this.quantile += value < this.quantile ? -step * (1 - lowShare) : step * lowShare;
    }
}
