/** What was told counts for half of its weight after this time, in ms, and for nothing below the least weight. */
const meanHalfLifeMs = 1_000;
const minMeanWeight = 0.02;

/** A mean of what was told lately: each value counts for half after a half-life, in ms. */
export class RecentMean {
    private sum = 0;
    private weight = 0;
    private updatedAt = 0;

    add(value: number, now: number): void {
        const decay = this.decayFactor(now);
        this.sum = this.sum * decay + value;
        this.weight = this.weight * decay + 1;
        this.updatedAt = now;
    }

    /** Undefined if nothing was told lately. */
    value(now: number): number | undefined {
        return this.weight * this.decayFactor(now) < minMeanWeight ? undefined : this.sum / this.weight;
    }

    private decayFactor(now: number): number {
        return 0.5 ** (Math.max(0, now - this.updatedAt) / meanHalfLifeMs);
    }
}

/** A median is of the values of this time, in ms; of fewer than the least number it is of the last ones of the longer time. */
const medianWindowMs = 1_500;
const maxMedianWindowMs = 5_000;
const minMedianSamples = 3;
const maxMedianSamples = 64;

/**
 * The median of what was told lately. A load holds up all calls, so it moves the median; a few calls at a slow upstream, which
 * would move a mean of few values, do not.
 */
export class RecentMedian {
    private samples: readonly { readonly value: number; readonly at: number; }[] = [];

    add(value: number, now: number): void {
        this.samples = [...this.samples.slice(1 - maxMedianSamples), { value, at: now }];
    }

    /** Undefined if nothing was told lately. */
    value(now: number): number | undefined {
        const recent = this.samples.filter(({ at }) => now - at <= medianWindowMs);
        const fallback = this.samples.slice(-minMedianSamples).filter(({ at }) => now - at <= maxMedianWindowMs);
        const sorted = (recent.length < minMedianSamples ? fallback : recent).map(({ value }) => value).sort((left,
            right) => left - right
        );
        return sorted[Math.floor((sorted.length - 1) / 2)];
    }
}

/** Calls below the low quantile, how many make the first one, and the part of it by which a later call moves it. */
const lowQuantileRank = 0.25;
const initialSampleCount = 48;
const stepShare = 0.004;

/** Follows the value that a quarter of all values stay below: calls that nothing holds up. */
export class LowQuantile {
    private quantile: number;
    private initialSamples: number[] = [];

    constructor(defaultValue: number) {
        this.quantile = defaultValue;
    }

    get value(): number {
        return this.quantile;
    }

    add(value: number): void {
        if (this.initialSamples.length < initialSampleCount) {
            this.initialSamples = [...this.initialSamples, value].sort((left, right) => left - right);
            this.quantile = this.initialSamples[Math.floor(this.initialSamples.length * lowQuantileRank)]!;
            return;
        }
        // Steps so small that a load of some seconds does not pass for usual.
        const step = this.quantile * stepShare;
        this.quantile += value < this.quantile ? -step * (1 - lowQuantileRank) : step * lowQuantileRank;
    }
}
