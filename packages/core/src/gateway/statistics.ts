/** Half-life of a sample's weight. Below the minimum total weight the mean is undefined. */
const meanHalfLifeMs = 1_000;
const minMeanWeight = 0.02;

/** Exponentially weighted mean of recent samples: the weight of a sample halves with each half-life. */
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

    /** Undefined if there are no recent samples. */
    value(now: number): number | undefined {
        return this.weight * this.decayFactor(now) < minMeanWeight ? undefined : this.sum / this.weight;
    }

    private decayFactor(now: number): number {
        return 0.5 ** (Math.max(0, now - this.updatedAt) / meanHalfLifeMs);
    }
}

/**
 * The median covers the samples of `medianWindowMs`. If these are fewer than `minMedianSamples`, it covers the last
 * `minMedianSamples` of the longer window.
 */
const medianWindowMs = 1_500;
const maxMedianWindowMs = 5_000;
const minMedianSamples = 3;
const maxMedianSamples = 64;

/**
 * Median of recent samples. High load delays all calls and so raises the median. A few calls at a slow upstream do not
 * raise it, although they would raise a mean of few samples.
 */
export class RecentMedian {
    private samples: readonly { readonly value: number; readonly at: number; }[] = [];

    add(value: number, now: number): void {
        this.samples = [...this.samples.slice(1 - maxMedianSamples), { value, at: now }];
    }

    /** Undefined if there are no recent samples. */
    value(now: number): number | undefined {
        const recent = this.samples.filter(({ at }) => now - at <= medianWindowMs);
        const fallback = this.samples.slice(-minMedianSamples).filter(({ at }) => now - at <= maxMedianWindowMs);
        const sorted = (recent.length < minMedianSamples ? fallback : recent).map(({ value }) => value).sort((left,
            right) => left - right
        );
        return sorted[Math.floor((sorted.length - 1) / 2)];
    }
}

/**
 * Rank of the low quantile, number of samples from which its initial value is computed, and relative step by which each
 * later sample moves it.
 */
const lowQuantileRank = 0.25;
const initialSampleCount = 48;
const stepShare = 0.004;

/** Rank of the high quantile, and relative step by which each sample moves it. */
const highQuantileRank = 0.95;
const highQuantileStepShare = 0.1;

/** Tracks the 95th percentile of recent samples. It rises faster than it falls. */
export class HighQuantile {
    private quantile: number | undefined;

    /** Undefined before the first sample. */
    get value(): number | undefined {
        return this.quantile;
    }

    add(value: number): void {
        if (this.quantile === undefined) {
            this.quantile = value;
            return;
        }
        const step = this.quantile * highQuantileStepShare;
        this.quantile += value > this.quantile ? step * highQuantileRank : -step * (1 - highQuantileRank);
    }
}

/** Tracks the first quartile of all samples, as an estimate of the latency without load. */
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
        // The steps are so small that a few seconds of high load hardly change the baseline.
        const baseStep = this.quantile * stepShare;
        this.quantile += value < this.quantile ? -baseStep * (1 - lowQuantileRank) : baseStep * lowQuantileRank;
    }
}

/** Share of the weight of a steady rate from which a rate is derived at the earliest. */
const minRateCoverage = 0.05;

/** Rate of recent events, in events per millisecond: the weight of an event halves with each half-life. */
export class Rate {
    private weight = 0;
    private startedAt: number | undefined;
    private updatedAt = -Infinity;

    constructor(private readonly halfLife: number) {}

    record(now: number, events = 1): void {
        this.startedAt ??= now;
        this.weight = this.decayed(now) + events;
        this.updatedAt = now;
    }

    value(now: number): number {
        const coverage = 1 - 0.5 ** ((now - (this.startedAt ?? now)) / this.halfLife);
        return this.decayed(now) * Math.LN2 / this.halfLife / Math.max(minRateCoverage, coverage);
    }

    private decayed(now: number): number {
        return this.weight === 0 ? 0 : this.weight * 0.5 ** (Math.max(0, now - this.updatedAt) / this.halfLife);
    }
}
