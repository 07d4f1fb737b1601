import type { Random } from "../clock.ts";
import type { Engine, Job, LoadReport } from "../policy.ts";
import { serves } from "./baselines.ts";
import type { Health } from "./health.ts";
import { Window } from "./window.ts";

/** Counts of a peer older than this are dropped, in ms; a link without a frame for 3 s is dead. */
const peerCountsMs = 3_000;

/** Half-life of what a report or an own wait says about the queue of an engine, in ms. */
const reportHalfLifeMs = 5_000;
const waitHalfLifeMs = 1_000;

/** Cost of one more call in the batch, in ms; small against a prefill, so that it only spreads equal choices. */
const callMs = 5;

/** What is known of one engine. */
export class EngineState {
    readonly window = new Window();
    /** Own calls in flight, and the uncached prompt tokens of those that have not started. */
    inFlight = 0;
    pendingTokens = 0;
    /** Share of the believed cached tokens that the engine still had, averaged; cache events have gaps. */
    trust = 1;
    /** Calls in the batch when the engine last reported a queue: the size of its batch. */
    slots: number | undefined;
    private othersReported = 0;
    private reportedAt = -Infinity;
    private waitMs = 0;
    private waitAt = 0;

    constructor(public engine: Engine) {}

    /** Takes a load report; own calls are subtracted, as the own count is newer. */
    report(report: LoadReport, now: number): void {
        this.othersReported = Math.max(0, report.running + report.waiting - this.inFlight);
        this.reportedAt = now;
        if (report.waiting > 0) {
            this.slots = report.running;
        }
    }

    /** Calls of other daemons by the last report, aged. */
    reportedOthers(now: number): number {
        return this.othersReported * 0.5 ** ((now - this.reportedAt) / reportHalfLifeMs);
    }

    /** An own call waited this long at the engine beyond its prefill. */
    waited(ms: number, now: number): void {
        const current = this.wait(now);
        this.waitMs = current + 0.3 * (ms - current);
        this.waitAt = now;
    }

    wait(now: number): number {
        return this.waitMs * 0.5 ** ((now - this.waitAt) / waitHalfLifeMs);
    }
}

/** Calls in flight of the other daemons, from their heartbeats. */
export class PeerCounts {
    private readonly peers = new Map<string, { counts: Readonly<Record<string, number>>; at: number; }>();
    private readonly totals = new Map<string, number>();
    private checkedAt = -Infinity;

    set(daemon: string, counts: Readonly<Record<string, number>>, now: number): void {
        this.drop(daemon);
        this.peers.set(daemon, { counts, at: now });
        this.add(counts, 1);
    }

    /** Calls of others on the engine; undefined when no peer has reported lately. */
    total(engine: string, now: number): number | undefined {
        this.expire(now);
        return this.peers.size === 0 ? undefined : this.totals.get(engine) ?? 0;
    }

    private expire(now: number): void {
        if (now - this.checkedAt < peerCountsMs / 3) {
            return;
        }
        this.checkedAt = now;
        for (const [daemon, { at }] of this.peers) {
            if (now - at > peerCountsMs) {
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

/** Speeds of the pool, learned from own calls. */
export class Speeds {
    /** Time of a first token without queue: fixed part, and per uncached token; in ms. */
    private fixedMs = 20;
    prefillMs = 0.1;
    /** Mean time of a call in the batch, in ms, and mean generated tokens. */
    callMs = 1_000;
    outputTokens = 100;

    expectedFirstToken(uncached: number): number {
        return this.fixedMs + this.prefillMs * uncached;
    }

    /** Learns from a time to first token. Falls fast and rises slowly, as queueing only adds to it. */
    learnFirstToken(uncached: number, ms: number): void {
        if (uncached >= 256) {
            this.prefillMs = lean(this.prefillMs, Math.max(0, ms - this.fixedMs) / uncached);
        }
        else {
            this.fixedMs = lean(this.fixedMs, Math.max(1, ms - this.prefillMs * uncached));
        }
    }

    learnCall(ms: number, tokens: number): void {
        this.callMs += 0.02 * (ms - this.callMs);
        this.outputTokens += 0.02 * (tokens - this.outputTokens);
    }
}

function lean(value: number, sample: number): number {
    return value + (sample < value ? 0.2 : 0.02) * (sample - value);
}

/** A choice of engine with the uncached tokens expected there. */
export interface Route {
    readonly state: EngineState;
    readonly uncached: number;
}

/** Estimated times to first token per engine, and the choice among them. */
export class Router {
    readonly speeds = new Speeds();
    readonly peers = new PeerCounts();
    private readonly states = new Map<string, EngineState>();

    constructor(private readonly health: Health, private readonly random: Random) {}

    setEngines(engines: readonly Engine[]): void {
        const names = engines.map(engine => engine.name);
        this.health.setEngines(names);
        for (const name of this.states.keys()) {
            if (!names.includes(name)) {
                this.states.delete(name);
            }
        }
        for (const engine of engines) {
            const state = this.states.get(engine.name);
            if (state === undefined) {
                this.states.set(engine.name, new EngineState(engine));
            }
            else {
                state.engine = engine;
            }
        }
    }

    state(engine: string): EngineState | undefined {
        return this.states.get(engine);
    }

    isServed(job: Job): boolean {
        for (const state of this.states.values()) {
            if (serves(state.engine, job)) {
                return true;
            }
        }
        return false;
    }

    /** Whether any engine of the model takes one more call of the level. */
    hasRoom(model: string, level: number): boolean {
        for (const { engine, window } of this.states.values()) {
            if (!engine.leaving && window.hasRoom(level) && engine.models.includes(model)) {
                return true;
            }
        }
        return false;
    }

    /** Calls in flight on the engine, own and of others. */
    private total(state: EngineState, now: number): number {
        return state.inFlight + (this.peers.total(state.engine.name, now) ?? state.reportedOthers(now));
    }

    /** Estimated time to first token, in ms. */
    estimate(state: EngineState, uncached: number, now: number): number {
        const name = state.engine.name;
        const total = this.total(state, now);
        const over = state.slots === undefined ? 0 : Math.max(0, total + 1 - state.slots);
        const batchWait = over === 0 ? 0 : over * this.speeds.callMs / state.slots!;
        const prefill = this.speeds.expectedFirstToken(uncached + state.pendingTokens);
        return (prefill + batchWait + state.wait(now) + callMs * total) * this.health.slowness(name, now);
    }

    /**
     * The engine for a job, or undefined when it is to wait: no engine has room, or waiting for the engine that
     * holds the prefix is cheaper than computing the prefix elsewhere.
     */
    choose(job: Job, cached: ReadonlyMap<string, number> | undefined, level: number, now: number): Route | undefined {
        const usable: EngineState[] = [];
        const open: EngineState[] = [];
        for (const state of this.states.values()) {
            if (serves(state.engine, job) && !this.health.isSetAside(state.engine.name, now)) {
                usable.push(state);
                if (state.window.hasRoom(level)) {
                    open.push(state);
                }
            }
        }
        const home = this.home(job, cached, usable);
        const homeUncached = home === undefined ? job.promptTokens : this.uncached(job, cached, home);
        // Tokens computed again delay every call in the batch of the engine, not only this one.
        const cost = (state: EngineState) => {
            const uncached = this.uncached(job, cached, state);
            return this.estimate(state, uncached, now)
                + this.total(state, now) * this.speeds.prefillMs * Math.max(0, uncached - homeUncached);
        };
        const other = this.betterOfTwo(open.filter(state => state !== home), cost);
        const best = home !== undefined && (other === undefined || cost(home) <= cost(other)) ? home : other;
        if (best === undefined || !best.window.hasRoom(level)) {
            return undefined;
        }
        return { state: best, uncached: this.uncached(job, cached, best) };
    }

    private home(job: Job, cached: ReadonlyMap<string, number> | undefined, usable: readonly EngineState[]) {
        let home: EngineState | undefined;
        let fewest = job.promptTokens;
        if (cached !== undefined) {
            for (const state of usable) {
                const uncached = this.uncached(job, cached, state);
                if (uncached < fewest) {
                    fewest = uncached;
                    home = state;
                }
            }
        }
        return home;
    }

    private uncached(job: Job, cached: ReadonlyMap<string, number> | undefined, state: EngineState): number {
        const believed = Math.min(job.promptTokens, cached?.get(state.engine.name) ?? 0);
        return job.promptTokens - believed * state.trust;
    }

    /** Power of two choices: daemons with the same view do not all pick the same engine. */
    private betterOfTwo(open: readonly EngineState[], cost: (state: EngineState) => number) {
        if (open.length <= 1) {
            return open[0];
        }
        const first = Math.floor(this.random() * open.length);
        const second = (first + 1 + Math.floor(this.random() * (open.length - 1))) % open.length;
        const [left, right] = [open[first]!, open[second]!];
        return cost(right) < cost(left) ? right : left;
    }
}
