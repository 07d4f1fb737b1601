import type { Random } from "../clock.ts";
import type { Engine, Job, LoadReport } from "../policy.ts";
import { canServe } from "./baselines.ts";
import type { HealthTracker } from "./health.ts";
import { PendingWindow } from "./window.ts";

/** Counts of a peer older than this are dropped; a link without a frame for 3 s counts as dead. */
const peerCountsExpiryMs = 3_000;

/** Half-lives of a reported load and of this daemon's measured wait as estimates of an engine's queue. */
const reportHalfLifeMs = 5_000;
const waitHalfLifeMs = 1_000;

/** Cost of one more call in the batch; small compared with a prefill, so that it only breaks ties between engines. */
const batchedCallCostMs = 5;

/** What this daemon knows about one engine. */
export class EngineState {
    readonly pendingWindow = new PendingWindow();
    /** This daemon's calls in flight, and the uncached prompt tokens of those without a first token. */
    inFlight = 0;
    pendingTokens = 0;
    /** Average share of the expected cached tokens that the engine still had; below 1, as cache events get lost. */
    cacheRetention = 1;
    /** Batch size, learned as the running calls when the engine last reported waiting ones. */
    batchSize: number | undefined;
    private reportedPeerCalls = 0;
    private reportedAt = -Infinity;
    private waitMs = 0;
    private waitUpdatedAt = 0;

    constructor(public engine: Engine) {}

    /** Records a load report. This daemon's calls are subtracted, as its own count is newer than the report. */
    recordLoad(report: LoadReport, now: number): void {
        this.reportedPeerCalls = Math.max(0, report.running + report.waiting - this.inFlight);
        this.reportedAt = now;
        if (report.waiting > 0) {
            this.batchSize = report.running;
        }
    }

    /** Calls of other daemons by the last report, decayed by its age. */
    estimatedPeerCalls(now: number): number {
        return this.reportedPeerCalls * 0.5 ** ((now - this.reportedAt) / reportHalfLifeMs);
    }

    /** Records how long a call of this daemon waited at the engine, prefill excluded. */
    recordWait(sampleMs: number, now: number): void {
        const current = this.estimatedWaitMs(now);
        this.waitMs = current + 0.3 * (sampleMs - current);
        this.waitUpdatedAt = now;
    }

    estimatedWaitMs(now: number): number {
        return this.waitMs * 0.5 ** ((now - this.waitUpdatedAt) / waitHalfLifeMs);
    }
}

/** Calls in flight of other daemons, from their heartbeats. */
export class PeerCounts {
    private readonly peers = new Map<string, { counts: Readonly<Record<string, number>>; receivedAt: number; }>();
    private readonly totals = new Map<string, number>();
    private expiryCheckedAt = -Infinity;

    set(daemon: string, counts: Readonly<Record<string, number>>, now: number): void {
        this.drop(daemon);
        this.peers.set(daemon, { counts, receivedAt: now });
        this.add(counts, 1);
    }

    /** Calls of other daemons on the engine; undefined when there is no recent heartbeat of any peer. */
    total(engine: string, now: number): number | undefined {
        this.dropExpired(now);
        return this.peers.size === 0 ? undefined : this.totals.get(engine) ?? 0;
    }

    private dropExpired(now: number): void {
        if (now - this.expiryCheckedAt < peerCountsExpiryMs / 3) {
            return;
        }
        this.expiryCheckedAt = now;
        for (const [daemon, { receivedAt }] of this.peers) {
            if (now - receivedAt > peerCountsExpiryMs) {
                this.drop(daemon);
            }
        }
    }

    private drop(daemon: string): void {
        const peer = this.peers.get(daemon);
        if (peer !== undefined) {
            this.add(peer.counts, -1);
            this.peers.delete(daemon);
        }
    }

    private add(counts: Readonly<Record<string, number>>, sign: 1 | -1): void {
        for (const engine in counts) {
            this.totals.set(engine, (this.totals.get(engine) ?? 0) + sign * counts[engine]!);
        }
    }
}

/** Latency estimates for the pool, learned from this daemon's calls. */
export class LatencyEstimates {
    /** Time to first token without queueing, in ms: a fixed part, and a part per uncached token. */
    private fixedLatencyMs = 20;
    prefillMsPerToken = 0.1;
    /** Mean duration of a call in ms, and mean number of generated tokens. */
    meanCallMs = 1_000;
    meanOutputTokens = 100;

    expectedFirstTokenMs(uncachedTokens: number): number {
        return this.fixedLatencyMs + this.prefillMsPerToken * uncachedTokens;
    }

    /** Records a time to first token. Estimates fall fast and rise slowly, as queueing can only lengthen a sample. */
    recordFirstToken(uncachedTokens: number, sampleMs: number): void {
        if (uncachedTokens >= 256) {
            this.prefillMsPerToken = asymmetricAverage(this.prefillMsPerToken,
                Math.max(0, sampleMs - this.fixedLatencyMs) / uncachedTokens);
        }
        else {
            this.fixedLatencyMs = asymmetricAverage(this.fixedLatencyMs,
                Math.max(1, sampleMs - this.prefillMsPerToken * uncachedTokens));
        }
    }

    recordCall(durationMs: number, tokens: number): void {
        this.meanCallMs += 0.02 * (durationMs - this.meanCallMs);
        this.meanOutputTokens += 0.02 * (tokens - this.meanOutputTokens);
    }
}

function asymmetricAverage(value: number, sample: number): number {
    return value + (sample < value ? 0.2 : 0.02) * (sample - value);
}

/** A chosen engine, and the prompt tokens expected to be uncached there. */
export interface Route {
    readonly engineState: EngineState;
    readonly uncachedTokens: number;
}

/** Chooses engines by estimated time to first token. */
export class Router {
    readonly latencies = new LatencyEstimates();
    readonly peerCounts = new PeerCounts();
    private readonly engineStates = new Map<string, EngineState>();

    constructor(private readonly health: HealthTracker, private readonly random: Random) {}

    setEngines(engines: readonly Engine[]): void {
        const names = engines.map(engine => engine.name);
        this.health.setEngines(names);
        for (const name of this.engineStates.keys()) {
            if (!names.includes(name)) {
                this.engineStates.delete(name);
            }
        }
        for (const engine of engines) {
            const state = this.engineStates.get(engine.name);
            if (state === undefined) {
                this.engineStates.set(engine.name, new EngineState(engine));
            }
            else {
                state.engine = engine;
            }
        }
    }

    state(engine: string): EngineState | undefined {
        return this.engineStates.get(engine);
    }

    hasEngineFor(job: Job): boolean {
        for (const state of this.engineStates.values()) {
            if (canServe(state.engine, job)) {
                return true;
            }
        }
        return false;
    }

    /** Whether any engine of the model can take one more call of the level. */
    hasCapacity(model: string, level: number): boolean {
        for (const { engine, pendingWindow } of this.engineStates.values()) {
            if (!engine.leaving && pendingWindow.hasCapacity(level) && engine.models.includes(model)) {
                return true;
            }
        }
        return false;
    }

    /** Calls in flight on the engine, of this daemon and of others. */
    private callsInFlight(state: EngineState, now: number): number {
        return state.inFlight + (this.peerCounts.total(state.engine.name, now) ?? state.estimatedPeerCalls(now));
    }

    /** Estimated time to first token, in ms. */
    estimateFirstTokenMs(state: EngineState, uncachedTokens: number, now: number): number {
        const name = state.engine.name;
        const calls = this.callsInFlight(state, now);
        const excessCalls = state.batchSize === undefined ? 0 : Math.max(0, calls + 1 - state.batchSize);
        const batchWaitMs = excessCalls === 0 ? 0 : excessCalls * this.latencies.meanCallMs / state.batchSize!;
        const prefillMs = this.latencies.expectedFirstTokenMs(uncachedTokens + state.pendingTokens);
        return (prefillMs + batchWaitMs + state.estimatedWaitMs(now) + batchedCallCostMs * calls) *
            this.health.slowdown(name, now);
    }

    /**
     * Chooses the engine for a job. Undefined when the job should wait: no engine has capacity, or waiting for the
     * engine that caches the prefix costs less than recomputing the prefix elsewhere.
     */
    choose(job: Job, cached: ReadonlyMap<string, number> | undefined, level: number, now: number): Route | undefined {
        const eligible: EngineState[] = [];
        const available: EngineState[] = [];
        for (const state of this.engineStates.values()) {
            if (canServe(state.engine, job) && !this.health.isEjected(state.engine.name, now)) {
                eligible.push(state);
                if (state.pendingWindow.hasCapacity(level)) {
                    available.push(state);
                }
            }
        }
        const cacheHolder = this.findCacheHolder(job, cached, eligible);
        const minUncachedTokens = cacheHolder === undefined
            ? job.promptTokens
            : this.estimateUncachedTokens(job, cached, cacheHolder);
        // Recomputed tokens delay every call in the engine's batch, not only this one.
        const cost = (state: EngineState) => {
            const uncachedTokens = this.estimateUncachedTokens(job, cached, state);
            return this.estimateFirstTokenMs(state, uncachedTokens, now)
                + this.callsInFlight(state, now) * this.latencies.prefillMsPerToken *
                    Math.max(0, uncachedTokens - minUncachedTokens);
        };
        const alternative = this.cheaperOfTwo(available.filter(state => state !== cacheHolder), cost);
        const best = cacheHolder !== undefined && (alternative === undefined || cost(cacheHolder) <= cost(alternative))
            ? cacheHolder
            : alternative;
        if (best === undefined || !best.pendingWindow.hasCapacity(level)) {
            return undefined;
        }
        return { engineState: best, uncachedTokens: this.estimateUncachedTokens(job, cached, best) };
    }

    private findCacheHolder(job: Job, cachedByEngine: ReadonlyMap<string, number> | undefined,
        eligible: readonly EngineState[]) {
        let holder: EngineState | undefined;
        let minUncachedTokens = job.promptTokens;
        if (cachedByEngine !== undefined) {
            for (const state of eligible) {
                const uncachedTokens = this.estimateUncachedTokens(job, cachedByEngine, state);
                if (uncachedTokens < minUncachedTokens) {
                    minUncachedTokens = uncachedTokens;
                    holder = state;
                }
            }
        }
        return holder;
    }

    private estimateUncachedTokens(job: Job, cachedByEngine: ReadonlyMap<string, number> | undefined,
        state: EngineState): number {
        const expectedCachedTokens = Math.min(job.promptTokens, cachedByEngine?.get(state.engine.name) ?? 0);
        return job.promptTokens - expectedCachedTokens * state.cacheRetention;
    }

    /** Power of two random choices, so that daemons with the same view do not all choose the same engine. */
    private cheaperOfTwo(available: readonly EngineState[], cost: (state: EngineState) => number) {
        if (available.length <= 1) {
            return available[0];
        }
        const first = Math.floor(this.random() * available.length);
        const second = (first + 1 + Math.floor(this.random() * (available.length - 1))) % available.length;
        const [left, right] = [available[first]!, available[second]!];
        return cost(right) < cost(left) ? right : left;
    }
}
