import type { Random } from "../clock.ts";
import { type Refusal, refuse } from "../code.ts";
import type { Assignment, CacheEvent, Engine, Job, JobResult, LoadReport, Policy } from "../policy.ts";
import { Admission } from "./admission.ts";
import { Health } from "./health.ts";
import { agedLevel, AttainedService, type Offer, opensTree, type Waiting, WaitingQueue } from "./order.ts";
import { type EngineState, type Route, Router } from "./routing.ts";

/** Settings of the policy. */
export interface PolicySettings {
    /** Longest wait that callers accept for a first token, in ms. */
    readonly patienceMs: number;
    /** Weight of a plan when calls wait; 1 gives equal shares. */
    readonly weightOf: (plan: string) => number;
}

/** Settings of a daemon without configuration. */
export const usualSettings: PolicySettings = { patienceMs: 5_000, weightOf: () => 1 };

/** A job that waits is offered again after this time, as estimates change with time; in ms. */
const offerMs = 50;

/** Up to this level (below 8,192 tokens) a program counts as short. */
const shortLevel = 3;

/** An eviction is ignored when an own call of the program ended there within the usual lag of events, in ms. */
const eventLagMs = 2_000;

/** A first token counts as queued when it took longer than expected by this factor and these ms. */
const queuedFactor = 1.5;
const queuedMs = 20;

interface ProgramState {
    /** Tokens believed cached per engine that served the program, and when that was learned. */
    readonly cached: Map<string, number>;
    learnedAt: number;
    /** A call of the program has been dispatched, so the program counts as under way. */
    begun: boolean;
}

interface Flight {
    readonly job: Job;
    readonly state: EngineState;
    readonly level: number;
    readonly uncached: number;
    readonly believed: number;
    readonly since: number;
    readonly sentAt: number;
    /** Tokens charged to the plan at dispatch. */
    readonly charged: number;
    startedAt: number | undefined;
    progressAt: number;
    tokens: number;
}

/** One round of offers of the jobs of one model. */
interface Round {
    readonly queue: WaitingQueue;
    readonly assignments: Assignment[];
    /** The lowest level at which no engine has room. */
    fullLevel: number;
}

/** Least attained service per program tree, with routing, health, windows and admission. */
export class AttainedServicePolicy implements Policy {
    private readonly service = new AttainedService();
    private readonly health = new Health();
    private readonly router: Router;
    private readonly admission: Admission;
    private readonly queues = new Map<string, WaitingQueue>();
    private readonly waitingJobs = new Map<string, Waiting>();
    private readonly flights = new Map<string, Flight>();
    /** Calls that open a program and have no first token, and since when there was always one. */
    private openings = 0;
    private openingsSince = 0;
    private readonly programs = new Map<string, ProgramState>();

    constructor(private readonly settings: PolicySettings, random: Random) {
        this.router = new Router(this.health, random);
        this.admission = new Admission(settings.patienceMs, random);
    }

    setEngines(engines: readonly Engine[]): void {
        this.router.setEngines(engines);
    }

    submit(job: Job, now: number): Refusal | undefined {
        const refusal = this.refusalOf(job, now);
        if (refusal !== undefined) {
            return refusal;
        }
        this.programOf(job.program, job.root);
        const waiting = { job, level: this.service.level(job.root), since: now };
        this.waitingJobs.set(job.id, waiting);
        if (opensTree(job)) {
            this.openingsSince = this.openings === 0 ? now : this.openingsSince;
            this.openings += 1;
        }
        this.queueOf(job.model).add(waiting);
        return undefined;
    }

    withdraw(job: string, now: number): void {
        const waiting = this.waitingJobs.get(job);
        if (waiting !== undefined) {
            this.countWait(waiting.job, now - waiting.since, now);
            this.waitingJobs.delete(job);
            this.openings -= opensTree(waiting.job) ? 1 : 0;
            this.queueOf(waiting.job.model).remove(waiting);
        }
    }

    next(now: number): readonly Assignment[] {
        const assignments: Assignment[] = [];
        if (this.waitingJobs.size > 0) {
            const take = this.admission.hasRoom() ? "all" : "underWay";
            for (const queue of this.queues.values()) {
                const round = { queue, assignments, fullLevel: Infinity };
                queue.offer(now, take, waiting => this.place(waiting, round, now));
            }
        }
        return assignments;
    }

    wakeAt(now: number): number | undefined {
        return this.waitingJobs.size === 0 ? undefined : now + offerMs;
    }

    firstToken(job: string, now: number): void {
        const flight = this.flights.get(job);
        if (flight === undefined || flight.startedAt !== undefined) {
            return;
        }
        const { state, uncached } = flight;
        this.leaveWindow(flight);
        flight.startedAt = now;
        flight.progressAt = now;
        const speeds = this.router.speeds;
        const ms = now - flight.sentAt;
        const expected = speeds.expectedFirstToken(uncached);
        state.window.adapt(ms > queuedFactor * expected + queuedMs);
        state.waited(Math.max(0, ms - expected), now);
        this.countWait(flight.job, now - flight.since - expected, now);
        if (opensTree(flight.job)) {
            this.admission.serve(now);
        }
        speeds.learnFirstToken(uncached, ms);
        this.health.started(state.engine.name, now);
    }

    progress(job: string, tokens: number, now: number): void {
        const flight = this.flights.get(job);
        if (flight === undefined || tokens <= 0) {
            return;
        }
        if (flight.startedAt !== undefined && now > flight.progressAt) {
            this.health.token(flight.state.engine.name, (now - flight.progressAt) / tokens, now);
        }
        flight.progressAt = now;
        flight.tokens += tokens;
        this.service.charge(flight.job.root, tokens);
    }

    finish(job: string, result: JobResult, now: number): void {
        const flight = this.flights.get(job);
        if (flight === undefined) {
            return;
        }
        this.flights.delete(job);
        this.leave(flight);
        if (flight.startedAt === undefined) {
            this.countWait(flight.job, now - flight.since, now);
        }
        if (result.outcome === "failed") {
            this.health.failed(flight.state.engine.name);
        }
        if (result.outcome === "done") {
            this.learn(flight, result, now);
        }
        const computed = Math.max(0, result.promptTokens - result.cachedTokens);
        this.service.charge(flight.job.root, computed + Math.max(0, result.tokens - flight.tokens));
        this.queueOf(flight.job.model).charge(flight.job.plan, computed + result.tokens - flight.charged);
    }

    report(engine: string, report: LoadReport, now: number): void {
        this.router.state(engine)?.report(report, now);
    }

    cacheEvent(engine: string, event: CacheEvent, now: number): void {
        const program = this.programs.get(event.program);
        if (program === undefined) {
            return;
        }
        if (event.kind === "stored") {
            program.cached.set(engine, Math.max(event.tokens, program.cached.get(engine) ?? 0));
        }
        else if (program.cached.has(engine) && now - program.learnedAt > eventLagMs) {
            program.cached.set(engine, 0);
        }
    }

    peerCounts(daemon: string, inFlight: Readonly<Record<string, number>>, now: number): void {
        this.router.peers.set(daemon, inFlight, now);
    }

    endProgram(program: string, now: number): readonly string[] {
        const state = this.programs.get(program);
        const engines = [...state?.cached.keys() ?? []];
        if (state?.begun === true) {
            this.admission.end(now);
        }
        this.programs.delete(program);
        this.service.end(program);
        return engines;
    }

    restoreProgram(program: string, root: string, tokens: number, engine: string | undefined, now: number): void {
        const state = this.programOf(program, root);
        this.service.charge(root, tokens);
        if (engine !== undefined) {
            state.cached.set(engine, tokens);
            state.learnedAt = now;
        }
    }

    waiting(): number {
        return this.waitingJobs.size;
    }

    private refusalOf(job: Job, now: number): Refusal | undefined {
        if (!this.router.isServed(job)) {
            return refuse("upstream_missing", "notRun", job.model);
        }
        if (job.excluded.length > 0) {
            // The failed attempt may have run, so the refusal of a retry cannot promise the contrary.
            return this.admission.takeRetry() ?
                undefined
                : refuse("upstream_failed", "unknown", "the retry budget is spent");
        }
        this.admission.countRequest();
        const retryAfterMs = opensTree(job)
            ? this.admission.refuses(this.openings, now - this.openingsSince, now)
            : undefined;
        return retryAfterMs === undefined ? undefined : refuse("overloaded", "notRun", undefined, retryAfterMs);
    }

    /** Waits of short programs under way say whether more can be served; new ones do not wait for long ones. */
    private countWait(job: Job, ms: number, now: number): void {
        if (!opensTree(job) && this.service.level(job.root) <= shortLevel) {
            this.admission.waited(Math.max(0, ms), now);
        }
    }

    private place(waiting: Waiting, round: Round, now: number): Offer {
        const { job } = waiting;
        if (opensTree(job) && !this.admission.hasRoom()) {
            return "blocked";
        }
        const level = this.levelOf(waiting, now);
        if (level >= round.fullLevel) {
            return "closed";
        }
        const route = this.router.choose(job, this.programs.get(job.program)?.cached, level, now);
        if (route === undefined) {
            return this.blocked(job, level, round);
        }
        this.waitingJobs.delete(job.id);
        const charged = route.uncached + Math.min(job.maxTokens, this.router.speeds.outputTokens);
        round.queue.charge(job.plan, charged);
        this.send(waiting, route, level, charged, now);
        round.assignments.push({ job, engine: route.state.engine.name, priority: level });
        return "placed";
    }

    /** Pairs of levels are merged in overload: fewer calls under way then wait beyond the patience of their callers. */
    private levelOf(waiting: Waiting, now: number): number {
        const level = agedLevel(waiting, now);
        return this.admission.hasRoom() ? level : level >> 1;
    }

    /** When no engine of the model has room at a level, no job of this or a higher level can be placed. */
    private blocked(job: Job, level: number, round: Round): Offer {
        if (this.router.hasRoom(job.model, level)) {
            return "blocked";
        }
        round.fullLevel = level;
        return level === 0 ? "full" : "closed";
    }

    private send(waiting: Waiting, { state, uncached }: Route, level: number, charged: number, now: number): void {
        const { job, since } = waiting;
        const name = state.engine.name;
        const program = this.programs.get(job.program);
        if (program !== undefined && !program.begun) {
            program.begun = true;
            this.admission.begin();
        }
        const cached = program?.cached;
        const believed = Math.min(job.promptTokens, cached?.get(name) ?? 0);
        cached?.set(name, cached.get(name) ?? 0);
        state.inFlight += 1;
        state.pendingTokens += uncached;
        state.window.add(level);
        this.health.dispatched(name, now);
        this.flights.set(job.id, { job, state, level, uncached, believed, since, sentAt: now, charged,
            startedAt: undefined, progressAt: now, tokens: 0 });
    }

    private leaveWindow({ job, state, level, uncached }: Flight): void {
        this.openings -= opensTree(job) ? 1 : 0;
        state.window.remove(level);
        state.pendingTokens -= uncached;
    }

    private leave(flight: Flight): void {
        flight.state.inFlight -= 1;
        if (flight.startedAt === undefined) {
            this.leaveWindow(flight);
        }
        else {
            this.health.stopped(flight.state.engine.name);
        }
    }

    private learn(flight: Flight, result: JobResult, now: number): void {
        const { state, believed, job } = flight;
        this.router.speeds.learnCall(now - flight.sentAt, result.tokens);
        if (believed > 0) {
            const kept = Math.min(1, result.cachedTokens / believed);
            state.trust += 0.1 * (kept - state.trust);
        }
        const program = this.programs.get(job.program);
        if (program !== undefined) {
            program.cached.set(state.engine.name, result.promptTokens + result.tokens);
            program.learnedAt = now;
        }
    }

    private programOf(name: string, root: string): ProgramState {
        let program = this.programs.get(name);
        if (program === undefined) {
            program = { cached: new Map(), learnedAt: -Infinity, begun: false };
            this.programs.set(name, program);
            this.service.join(name, root);
        }
        return program;
    }

    private queueOf(model: string): WaitingQueue {
        let queue = this.queues.get(model);
        if (queue === undefined) {
            queue = new WaitingQueue(this.settings.weightOf);
            this.queues.set(model, queue);
        }
        return queue;
    }
}
