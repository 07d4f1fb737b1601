/** An engine this many times slower than the median of its pool is set aside; below the second it comes back. */
const ejectionThreshold = 3;
const recoveryThreshold = 1.5;

/** At most this share of a pool is set aside. */
const maxEjectedShare = 1 / 3;

/** How often the comparison with the pool is made, in ms. */
const refreshIntervalMs = 50;

/** An engine without own calls gets a probe this often while it is set aside, in ms. */
const probeIntervalMs = 1_000;

/** Samples older than this say nothing, in ms. */
const maxSampleAgeMs = 10_000;

/** Weight of a new sample of the time between tokens; a slowdown shows after about ten tokens. */
const smoothingFactor = 0.1;

interface EngineHealth {
    tokenMs: number;
    sampledAt: number;
    running: number;
    consecutiveFailures: number;
    slowdown: number;
    ejected: boolean;
    dispatchedAt: number;
}

/** Slow engines, seen from the daemon's own calls against the median of the pool. */
export class HealthTracker {
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
                this.engines.set(name, { tokenMs: 0, sampledAt: -Infinity, running: 0, consecutiveFailures: 0,
                    slowdown: 1, ejected: false, dispatchedAt: -Infinity });
            }
        }
    }

    /** A call produced its first token. */
    recordFirstToken(name: string, now: number): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.running += 1;
            engine.consecutiveFailures = 0;
            if (engine.tokenMs > 0) {
                engine.sampledAt = now;
            }
        }
    }

    /** A started call ended. */
    recordEnd(name: string): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.running = Math.max(0, engine.running - 1);
        }
    }

    /** Time per token since the last tokens of a call, in ms. */
    recordTokenTime(name: string, tokenMs: number, now: number): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            const isStale = engine.tokenMs === 0 || now - engine.sampledAt > maxSampleAgeMs;
            engine.tokenMs = isStale ? tokenMs : engine.tokenMs + smoothingFactor * (tokenMs - engine.tokenMs);
            engine.sampledAt = now;
        }
    }

    recordFailure(name: string): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.consecutiveFailures += 1;
        }
    }

    /** How many times slower than the pool the engine is; at least 1. */
    slowdown(name: string, now: number): number {
        this.refresh(now);
        return this.engines.get(name)?.slowdown ?? 1;
    }

    /** Whether the engine gets no work now, other than a probe that is due. */
    isEjected(name: string, now: number): boolean {
        this.refresh(now);
        const engine = this.engines.get(name);
        return engine !== undefined && engine.ejected
            && (engine.running > 0 || now - Math.max(engine.dispatchedAt, engine.sampledAt) < probeIntervalMs);
    }

    /** A call was sent; on an engine that is set aside it is the probe. */
    recordDispatch(name: string, now: number): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.dispatchedAt = now;
        }
    }

    private refresh(now: number): void {
        if (now - this.refreshedAt < refreshIntervalMs) {
            return;
        }
        this.refreshedAt = now;
        const engines = [...this.engines.values()];
        const medianMs = medianTokenMs(engines, now);
        for (const engine of engines) {
            engine.slowdown = slowdownOf(engine, medianMs, now);
        }
        this.updateEjected(engines);
    }

    /** The slowest are set aside first; hysteresis between the two ratios avoids alternating at the bound. */
    private updateEjected(engines: EngineHealth[]): void {
        engines.sort((left, right) => right.slowdown - left.slowdown);
        const maxEjected = Math.floor(engines.length * maxEjectedShare);
        engines.forEach((engine, rank) => {
            engine.ejected = rank < maxEjected &&
                engine.slowdown > (engine.ejected ? recoveryThreshold : ejectionThreshold);
        });
    }
}

function medianTokenMs(engines: readonly EngineHealth[], now: number): number {
    const samples = engines.filter(engine => engine.tokenMs > 0 && now - engine.sampledAt < maxSampleAgeMs)
        .map(engine => engine.tokenMs).sort((left, right) => left - right);
    return samples.length === 0 ? 0 : samples[samples.length >> 1]!;
}

/** Time between tokens against the median, silence of calls that run, and failures in a row, whichever is worst. */
function slowdownOf(engine: EngineHealth, medianMs: number, now: number): number {
    const failureSlowdown = 1 + 2 * engine.consecutiveFailures;
    if (medianMs === 0 || engine.tokenMs === 0) {
        return failureSlowdown;
    }
    const silenceSlowdown = engine.running > 0 ? (now - engine.sampledAt) / (4 * medianMs) : 0;
    const tokenSlowdown = now - engine.sampledAt < maxSampleAgeMs ? engine.tokenMs / medianMs : 1;
    return Math.max(1, tokenSlowdown, silenceSlowdown, failureSlowdown);
}
