import type { Random } from "../clock.ts";
import { type Refusal, refuse } from "../code.ts";
import type { Assignment, CacheEvent, Engine, Job, JobResult, LoadReport, Policy } from "../policy.ts";
import { Admission } from "./admission.ts";
import { HealthTracker } from "./health.ts";
import { agedLevel, AttainedService, type OfferResult, startsTree, type WaitingJob, WaitingQueue } from "./order.ts";
import { type EngineState, type Route, Router } from "./routing.ts";

/** Settings of `AttainedServicePolicy`. */
export interface PolicySettings {
    /** How long callers wait for a first token before they give up. */
    readonly patienceMs: number;
    /** Weight of a plan in weighted fair queueing; equal weights give equal shares. */
    readonly weightOf: (plan: string) => number;
}

/** Settings that apply unless others are given. */
export const defaultPolicySettings: PolicySettings = { patienceMs: 5_000, weightOf: () => 1 };

/** Waiting jobs are offered again at this interval, as estimates change with time. */
const offerIntervalMs = 50;

/** A program counts as short up to this level, which is below 8,192 attained tokens. */
const maxShortLevel = 3;

/** Usual lag of cache events: an eviction this soon after a call of the program ended may predate it and is ignored. */
const cacheEventLagMs = 2_000;

/** A first token counts as delayed by queueing when it took longer than `factor * expected + margin`. */
const queueingFactor = 1.5;
const queueingMarginMs = 20;

interface ProgramState {
    /** Tokens expected in the cache of each engine that served the program, and the time of the last update. */
    readonly cachedByEngine: Map<string, number>;
    cacheUpdatedAt: number;
    /** Whether a call of the program has been dispatched, so that it counts towards the program limit. */
    active: boolean;
}

interface InFlightCall {
    readonly job: Job;
    readonly engineState: EngineState;
    readonly level: number;
    readonly uncachedTokens: number;
    readonly expectedCachedTokens: number;
    readonly queuedAt: number;
    readonly dispatchedAt: number;
    /** Estimated tokens charged to the plan at dispatch. */
    readonly chargedTokens: number;
    firstTokenAt: number | undefined;
    lastTokenAt: number;
    generatedTokens: number;
}

/** One round in which the waiting jobs of one model are offered for placement. */
interface OfferRound {
    readonly queue: WaitingQueue;
    readonly assignments: Assignment[];
    /** The lowest level at which no engine has capacity. */
    minFullLevel: number;
}

/** Least attained service per program tree, with cache-aware routing, outlier ejection and admission control. */
export class AttainedServicePolicy implements Policy {
    private readonly service = new AttainedService();
    private readonly health = new HealthTracker();
    private readonly router: Router;
    private readonly admission: Admission;
    private readonly queues = new Map<string, WaitingQueue>();
    private readonly waitingJobs = new Map<string, WaitingJob>();
    private readonly inFlightCalls = new Map<string, InFlightCall>();
    /** First calls of program trees without a first token, and since when there has been at least one. */
    private pendingFirstCalls = 0;
    private backlogSince = 0;
    private readonly programs = new Map<string, ProgramState>();

    constructor(private readonly settings: PolicySettings, random: Random) {
        this.router = new Router(this.health, random);
        this.admission = new Admission(settings.patienceMs, random);
    }

    setEngines(engines: readonly Engine[]): void {
        this.router.setEngines(engines);
    }

    submit(job: Job, now: number): Refusal | undefined {
        const refusal = this.refusalFor(job, now);
        if (refusal !== undefined) {
            return refusal;
        }
        this.programState(job.program, job.root);
        const waiting = { job, level: this.service.level(job.root), queuedAt: now };
        this.waitingJobs.set(job.id, waiting);
        if (startsTree(job)) {
            this.backlogSince = this.pendingFirstCalls === 0 ? now : this.backlogSince;
            this.pendingFirstCalls += 1;
        }
        this.queueFor(job.model).add(waiting);
        return undefined;
    }

    withdraw(job: string, now: number): void {
        const waiting = this.waitingJobs.get(job);
        if (waiting !== undefined) {
            this.recordWait(waiting.job, now - waiting.queuedAt, now);
            this.waitingJobs.delete(job);
            this.pendingFirstCalls -= startsTree(waiting.job) ? 1 : 0;
            this.queueFor(waiting.job.model).remove(waiting);
        }
    }

    nextAssignments(now: number): readonly Assignment[] {
        const assignments: Assignment[] = [];
        if (this.waitingJobs.size > 0) {
            const jobClass = this.admission.hasCapacity() ? "all" : "active";
            for (const queue of this.queues.values()) {
                const round = { queue, assignments, minFullLevel: Infinity };
                queue.offer(now, jobClass, waiting => this.tryPlace(waiting, round, now));
            }
        }
        return assignments;
    }

    nextCheckAt(now: number): number | undefined {
        return this.waitingJobs.size === 0 ? undefined : now + offerIntervalMs;
    }

    recordFirstToken(job: string, now: number): void {
        const call = this.inFlightCalls.get(job);
        if (call === undefined || call.firstTokenAt !== undefined) {
            return;
        }
        const { engineState, uncachedTokens } = call;
        this.removePending(call);
        call.firstTokenAt = now;
        call.lastTokenAt = now;
        const latencies = this.router.latencies;
        const firstTokenMs = now - call.dispatchedAt;
        const expectedMs = latencies.expectedFirstTokenMs(uncachedTokens);
        engineState.pendingWindow.adapt(firstTokenMs > queueingFactor * expectedMs + queueingMarginMs);
        engineState.recordWait(Math.max(0, firstTokenMs - expectedMs), now);
        this.recordWait(call.job, now - call.queuedAt - expectedMs, now);
        if (startsTree(call.job)) {
            this.admission.recordProgramStarted(now);
        }
        latencies.recordFirstToken(uncachedTokens, firstTokenMs);
        this.health.recordFirstToken(engineState.engine.name, now);
    }

    recordTokens(job: string, tokens: number, now: number): void {
        const call = this.inFlightCalls.get(job);
        if (call === undefined || tokens <= 0) {
            return;
        }
        if (call.firstTokenAt !== undefined && now > call.lastTokenAt) {
            this.health.recordTokenTime(call.engineState.engine.name, (now - call.lastTokenAt) / tokens, now);
        }
        call.lastTokenAt = now;
        call.generatedTokens += tokens;
        this.service.charge(call.job.root, tokens);
    }

    finish(job: string, result: JobResult, now: number): void {
        const call = this.inFlightCalls.get(job);
        if (call === undefined) {
            return;
        }
        this.inFlightCalls.delete(job);
        this.removeInFlight(call);
        if (call.firstTokenAt === undefined) {
            this.recordWait(call.job, now - call.queuedAt, now);
        }
        if (result.outcome === "failed") {
            this.health.recordFailure(call.engineState.engine.name);
        }
        if (result.outcome === "done") {
            this.updateEstimates(call, result, now);
        }
        const computedTokens = Math.max(0, result.promptTokens - result.cachedTokens);
        this.service.charge(call.job.root, computedTokens + Math.max(0, result.tokens - call.generatedTokens));
        this.queueFor(call.job.model).charge(call.job.plan, computedTokens + result.tokens - call.chargedTokens);
    }

    recordLoad(engine: string, report: LoadReport, now: number): void {
        this.router.state(engine)?.recordLoad(report, now);
    }

    recordCacheEvent(engine: string, event: CacheEvent, now: number): void {
        const program = this.programs.get(event.program);
        if (program === undefined) {
            return;
        }
        if (event.kind === "stored") {
            program.cachedByEngine.set(engine, Math.max(event.tokens, program.cachedByEngine.get(engine) ?? 0));
        }
        else if (program.cachedByEngine.has(engine) && now - program.cacheUpdatedAt > cacheEventLagMs) {
            program.cachedByEngine.set(engine, 0);
        }
    }

    setPeerCounts(daemon: string, inFlight: Readonly<Record<string, number>>, now: number): void {
        this.router.peerCounts.set(daemon, inFlight, now);
    }

    endProgram(program: string, now: number): readonly string[] {
        const state = this.programs.get(program);
        const engines = [...state?.cachedByEngine.keys() ?? []];
        if (state?.active === true) {
            this.admission.recordProgramEnded(now);
        }
        this.programs.delete(program);
        this.service.endProgram(program);
        return engines;
    }

    restoreProgram(program: string, root: string, tokens: number, engine: string | undefined, now: number): void {
        const state = this.programState(program, root);
        this.service.charge(root, tokens);
        if (engine !== undefined) {
            state.cachedByEngine.set(engine, tokens);
            state.cacheUpdatedAt = now;
        }
    }

    waitingCount(): number {
        return this.waitingJobs.size;
    }

    private refusalFor(job: Job, now: number): Refusal | undefined {
        if (!this.router.hasEngineFor(job)) {
            return refuse("upstream_missing", "notRun", job.model);
        }
        if (job.excluded.length > 0) {
            // The failed attempt may have run, so the refusal of its retry must not say `notRun`.
            return this.admission.spendRetry() ?
                undefined
                : refuse("upstream_failed", "unknown", "the retry budget is spent");
        }
        this.admission.earnRetry();
        const retryAfterMs = startsTree(job)
            ? this.admission.retryAfterMs(this.pendingFirstCalls, now - this.backlogSince, now)
            : undefined;
        return retryAfterMs === undefined ? undefined : refuse("overloaded", "notRun", undefined, retryAfterMs);
    }

    /** Adapts admission to the waits of short active programs only; waits of long ones do not limit new programs. */
    private recordWait(job: Job, waitMs: number, now: number): void {
        if (!startsTree(job) && this.service.level(job.root) <= maxShortLevel) {
            this.admission.recordWait(Math.max(0, waitMs), now);
        }
    }

    private tryPlace(waiting: WaitingJob, round: OfferRound, now: number): OfferResult {
        const { job } = waiting;
        if (startsTree(job) && !this.admission.hasCapacity()) {
            return "blocked";
        }
        const level = this.effectiveLevel(waiting, now);
        if (level >= round.minFullLevel) {
            return "closed";
        }
        const route = this.router.choose(job, this.programs.get(job.program)?.cachedByEngine, level, now);
        if (route === undefined) {
            return this.resultWithoutEngine(job, level, round);
        }
        this.waitingJobs.delete(job.id);
        const chargedTokens = route.uncachedTokens + Math.min(job.maxTokens, this.router.latencies.meanOutputTokens);
        round.queue.charge(job.plan, chargedTokens);
        this.dispatch(waiting, route, level, chargedTokens, now);
        round.assignments.push({ job, engine: route.engineState.engine.name, priority: level });
        return "placed";
    }

    /** Merges pairs of levels under overload, so that fewer calls of active programs exceed their callers' patience. */
    private effectiveLevel(waiting: WaitingJob, now: number): number {
        const level = agedLevel(waiting, now);
        return this.admission.hasCapacity() ? level : level >> 1;
    }

    /** If no engine of the model has capacity at a level, no job of this or a higher level can be placed. */
    private resultWithoutEngine(job: Job, level: number, round: OfferRound): OfferResult {
        if (this.router.hasCapacity(job.model, level)) {
            return "blocked";
        }
        round.minFullLevel = level;
        return level === 0 ? "full" : "closed";
    }

    private dispatch(waiting: WaitingJob, { engineState, uncachedTokens }: Route, level: number, chargedTokens: number,
        now: number): void {
        const { job, queuedAt } = waiting;
        const name = engineState.engine.name;
        const program = this.programs.get(job.program);
        if (program !== undefined && !program.active) {
            program.active = true;
            this.admission.recordProgramDispatched();
        }
        const cachedByEngine = program?.cachedByEngine;
        const expectedCachedTokens = Math.min(job.promptTokens, cachedByEngine?.get(name) ?? 0);
        cachedByEngine?.set(name, cachedByEngine.get(name) ?? 0);
        engineState.inFlight += 1;
        engineState.pendingTokens += uncachedTokens;
        engineState.pendingWindow.add(level);
        this.health.recordDispatch(name, now);
        this.inFlightCalls.set(job.id, { job, engineState, level, uncachedTokens, expectedCachedTokens, queuedAt,
            dispatchedAt: now, chargedTokens, firstTokenAt: undefined, lastTokenAt: now, generatedTokens: 0 });
    }

    private removePending({ job, engineState, level, uncachedTokens }: InFlightCall): void {
        this.pendingFirstCalls -= startsTree(job) ? 1 : 0;
        engineState.pendingWindow.remove(level);
        engineState.pendingTokens -= uncachedTokens;
    }

    private removeInFlight(call: InFlightCall): void {
        call.engineState.inFlight -= 1;
        if (call.firstTokenAt === undefined) {
            this.removePending(call);
        }
        else {
            this.health.recordEnd(call.engineState.engine.name);
        }
    }

    private updateEstimates(call: InFlightCall, result: JobResult, now: number): void {
        const { engineState, expectedCachedTokens, job } = call;
        this.router.latencies.recordCall(now - call.dispatchedAt, result.tokens);
        if (expectedCachedTokens > 0) {
            const retention = Math.min(1, result.cachedTokens / expectedCachedTokens);
            engineState.cacheRetention += 0.1 * (retention - engineState.cacheRetention);
        }
        const program = this.programs.get(job.program);
        if (program !== undefined) {
            program.cachedByEngine.set(engineState.engine.name, result.promptTokens + result.tokens);
            program.cacheUpdatedAt = now;
        }
    }

    private programState(name: string, root: string): ProgramState {
        let program = this.programs.get(name);
        if (program === undefined) {
            program = { cachedByEngine: new Map(), cacheUpdatedAt: -Infinity, active: false };
            this.programs.set(name, program);
            this.service.addProgram(name, root);
        }
        return program;
    }

    private queueFor(model: string): WaitingQueue {
        let queue = this.queues.get(model);
        if (queue === undefined) {
            queue = new WaitingQueue(this.settings.weightOf);
            this.queues.set(model, queue);
        }
        return queue;
    }
}
