/** An engine this many times slower than the pool median is ejected; below the second ratio it is readmitted. */
const ejectionThreshold = 3;
const recoveryThreshold = 1.5;

/** Share of a pool that may be ejected at once. */
const maxEjectedShare = 1 / 3;

/** How often engines are compared with the pool. */
const refreshIntervalMs = 50;

/** How often an ejected engine without running calls of this daemon gets a probe call. */
const probeIntervalMs = 1_000;

/** Older samples are ignored. */
const maxSampleAgeMs = 10_000;

/** Weight of a new sample of the time between tokens; a slowdown becomes visible after about ten tokens. */
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

/** Outlier ejection: finds slow engines by comparing this daemon's own calls with the median of the pool. */
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

    /** A call received its first token. */
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

    /** A call that had received its first token ended. */
    recordEnd(name: string): void {
        const engine = this.engines.get(name);
        if (engine !== undefined) {
            engine.running = Math.max(0, engine.running - 1);
        }
    }

    /** Records the time per token, in ms, since the previous tokens of the same call. */
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

    /** How many times slower than the pool median the engine is; at least 1. */
    slowdown(name: string, now: number): number {
        this.refresh(now);
        return this.engines.get(name)?.slowdown ?? 1;
    }

    /** Whether the engine is ejected and no probe is due. */
    isEjected(name: string, now: number): boolean {
        this.refresh(now);
        const engine = this.engines.get(name);
        return engine !== undefined && engine.ejected
            && (engine.running > 0 || now - Math.max(engine.dispatchedAt, engine.sampledAt) < probeIntervalMs);
    }

    /** A call was sent to the engine; if the engine is ejected, this call is the probe. */
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

    /** Ejects the slowest engines first. The gap between the two thresholds (hysteresis) prevents flapping. */
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

/** The worst of three signals: time between tokens against the median, silence of running calls, failures in a row. */
function slowdownOf(engine: EngineHealth, medianMs: number, now: number): number {
    const failureSlowdown = 1 + 2 * engine.consecutiveFailures;
    if (medianMs === 0 || engine.tokenMs === 0) {
        return failureSlowdown;
    }
    const silenceSlowdown = engine.running > 0 ? (now - engine.sampledAt) / (4 * medianMs) : 0;
    const tokenSlowdown = now - engine.sampledAt < maxSampleAgeMs ? engine.tokenMs / medianMs : 1;
    return Math.max(1, tokenSlowdown, silenceSlowdown, failureSlowdown);
}
