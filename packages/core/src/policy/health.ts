/** An engine this many times slower than the median of its pool is set aside; below the second it comes back. */
const slowRatio = 3;
const usualRatio = 1.5;

/** At most this share of a pool is set aside. */
const setAsideShare = 1 / 3;

/** How often the comparison with the pool is made, in ms. */
const refreshMs = 50;

/** An engine without own calls gets a probe this often while it is set aside, in ms. */
const probeMs = 1_000;

/** Samples older than this say nothing, in ms. */
const staleMs = 10_000;

/** Weight of a new sample of the time between tokens; a slowdown shows after about ten tokens. */
const gain = 0.1;

interface EngineHealth {
    tokenMs: number;
    sampledAt: number;
    running: number;
    failures: number;
    ratio: number;
    setAside: boolean;
    probedAt: number;
}

/** Slow engines, seen from the daemon's own calls against the median of the pool. */
export class Health {
    private readonly engines = new Map<string, EngineHealth>();
    private refreshedAt = -Infinity;

    setEngines(names: readonly string[]): void {
        for (const name of this.engines.keys()) {
            if (!names.includes(name)) {
                this.engines.delete(name);
            }
        }
        for (const name of names) {
            if (!this.engines.has(name)) {
                this.engines.set(name, { tokenMs: 0, sampledAt: -Infinity, running: 0, failures: 0, ratio: 1,
                    setAside: false, probedAt: -Infinity });
            }
        }
    }

    /** A call produced its first token. */
    started(name: string, now: number): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.running += 1;
            engine.failures = 0;
            if (engine.tokenMs > 0) {
                engine.sampledAt = now;
            }
        }
    }

    /** A started call ended. */
    stopped(name: string): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.running = Math.max(0, engine.running - 1);
        }
    }

    /** Time per token since the last tokens of a call, in ms. */
    token(name: string, tokenMs: number, now: number): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            const stale = engine.tokenMs === 0 || now - engine.sampledAt > staleMs;
            engine.tokenMs = stale ? tokenMs : engine.tokenMs + gain * (tokenMs - engine.tokenMs);
            engine.sampledAt = now;
        }
    }

    failed(name: string): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.failures += 1;
        }
    }

    /** How many times slower than the pool the engine is; at least 1. */
    slowness(name: string, now: number): number {
        this.refresh(now);
        return this.engines.get(name)?.ratio ?? 1;
    }

    /** Whether the engine gets no work now, other than a probe that is due. */
    isSetAside(name: string, now: number): boolean {
        this.refresh(now);
        const engine = this.engines.get(name);
        return engine !== undefined && engine.setAside
            && (engine.running > 0 || now - Math.max(engine.probedAt, engine.sampledAt) < probeMs);
    }

    /** A call was sent; on an engine that is set aside it is the probe. */
    dispatched(name: string, now: number): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.probedAt = now;
        }
    }

    private refresh(now: number): void {
        if (now - this.refreshedAt < refreshMs) {
            return;
        }
        this.refreshedAt = now;
        const all = [...this.engines.values()];
        const median = medianTokenMs(all, now);
        for (const engine of all) {
            engine.ratio = ratioOf(engine, median, now);
        }
        this.setAside(all);
    }

    /** The slowest are set aside first; hysteresis between the two ratios avoids alternating at the bound. */
    private setAside(all: EngineHealth[]): void {
        all.sort((left, right) => right.ratio - left.ratio);
        const most = Math.floor(all.length * setAsideShare);
        all.forEach((engine, rank) => {
            engine.setAside = rank < most && engine.ratio > (engine.setAside ? usualRatio : slowRatio);
        });
    }
}

function medianTokenMs(engines: readonly EngineHealth[], now: number): number {
    const samples = engines.filter(engine => engine.tokenMs > 0 && now - engine.sampledAt < staleMs)
        .map(engine => engine.tokenMs).sort((left, right) => left - right);
    return samples.length === 0 ? 0 : samples[samples.length >> 1]!;
}

/** Time between tokens against the median, silence of calls that run, and failures in a row, whichever is worst. */
function ratioOf(engine: EngineHealth, median: number, now: number): number {
    const failing = 1 + 2 * engine.failures;
    if (median === 0 || engine.tokenMs === 0) {
        return failing;
    }
    const silent = engine.running > 0 ? (now - engine.sampledAt) / (4 * median) : 0;
    const recent = now - engine.sampledAt < staleMs ? engine.tokenMs / median : 1;
    return Math.max(1, recent, silent, failing);
}
