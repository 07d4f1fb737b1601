import type { Assignment, Engine, Job, Policy, Random } from "../src/index.ts";
import { defaultEngineModel, type EngineModel, FakeEngine, type StepEvent } from "./engine.ts";

/** A turn of a program: new prompt tokens, generated tokens, and the pause before the next turn. */
export interface Turn {
    readonly newTokens: number;
    readonly outputTokens: number;
    readonly pauseMs: number;
}

export interface Program {
    readonly name: string;
    readonly plan: string;
    readonly kind: string;
    readonly startMs: number;
    readonly turns: readonly Turn[];
}

/** Result of a program. */
export interface Outcome {
    readonly program: Program;
    readonly outcome: "done" | "refused" | "left";
    /** Number of completed turns, and whether the turn in progress, if any, had been dispatched to an engine. */
    readonly turns: number;
    readonly dispatched: boolean;
    readonly latencyMs: number;
    readonly endMs: number;
}

/** Parameters of one run. */
export interface Scenario {
    readonly programs: readonly Program[];
    readonly engines: number;
    readonly daemons: number;
    readonly model?: EngineModel;
    /** A caller leaves when it has waited this long for a first token. */
    readonly patienceMs?: number;
    /** Number of engines to slow down, the factor, and the time span of the slowdown. */
    readonly slow?: { readonly engines: number; readonly factor: number; readonly fromMs: number;
        readonly toMs: number; };
    readonly random: Random;
    readonly createPolicy: (daemon: number) => Policy;
}

/** Results of one run. */
export interface RunResult {
    readonly outcomes: readonly Outcome[];
    readonly promptTokens: number;
    /** Prompt tokens recomputed although an engine had already computed them for the same program. */
    readonly recomputedTokens: number;
    /** Ids of jobs in the order in which their first tokens arrived. */
    readonly firstTokenOrder: readonly string[];
}

const reportLagMs = 1_000;
const heartbeatIntervalMs = 1_000;
const cacheEventLagMs = 800;
const cacheEventLossRate = 0.2;

interface ProgramRun {
    readonly program: Program;
    readonly daemon: number;
    turnIndex: number;
    historyTokens: number;
    /** Tokens of the history that an engine has computed. */
    computedTokens: number;
    submittedMs: number;
    started: boolean;
    ended: boolean;
    engine: string | undefined;
}

/** Runs a scenario on virtual time, with one policy per daemon and simulated engines. */
export function runScenario(scenario: Scenario): RunResult {
    return new Simulation(scenario).run();
}

class Simulation {
    private now = 0;
    private nextSequence = 0;
    private readonly eventHeap: { at: number; sequence: number; action: () => void; }[] = [];
    private readonly policies: Policy[];
    private readonly engines = new Map<string, FakeEngine>();
    private readonly steppingEngines = new Set<string>();
    private readonly runs = new Map<string, ProgramRun>();
    private readonly inFlight: Map<string, number>[];
    private readonly outcomes: Outcome[] = [];
    private readonly firstTokenOrder: string[] = [];
    private readonly scheduledChecks: (number | undefined)[];
    private promptTokens = 0;
    private recomputedTokens = 0;

    constructor(private readonly scenario: Scenario) {
        const list: Engine[] = [];
        for (let index = 0; index < scenario.engines; index += 1) {
            const name = `e${index}`;
            this.engines.set(name, new FakeEngine(name, scenario.model ?? defaultEngineModel));
            list.push({ name, dataCentre: "x", models: ["m"], leaving: false });
        }
        this.policies = Array.from({ length: scenario.daemons }, (_, daemon) => scenario.createPolicy(daemon));
        this.inFlight = this.policies.map(() => new Map<string, number>());
        this.scheduledChecks = this.policies.map(() => undefined);
        for (const policy of this.policies) {
            policy.setEngines(list, 0);
        }
    }

    run(): RunResult {
        this.scenario.programs.forEach((program, index) => {
            this.scheduleAt(program.startMs, () => this.start(program, index % this.policies.length));
        });
        this.scheduleSlowdown();
        this.scheduleReports();
        const total = this.scenario.programs.length;
        while (this.outcomes.length < total && this.eventHeap.length > 0) {
            const event = this.popEvent();
            this.now = event.at;
            event.action();
        }
        return { outcomes: this.outcomes, promptTokens: this.promptTokens, recomputedTokens: this.recomputedTokens,
            firstTokenOrder: this.firstTokenOrder };
    }

    private scheduleSlowdown(): void {
        const slow = this.scenario.slow;
        if (slow === undefined) {
            return;
        }
        const slowEngines = [...this.engines.values()].slice(0, slow.engines);
        this.scheduleAt(slow.fromMs, () => slowEngines.forEach(engine => engine.slowdown = slow.factor));
        this.scheduleAt(slow.toMs, () => slowEngines.forEach(engine => engine.slowdown = 1));
    }

    private start(program: Program, daemon: number): void {
        const run = { program, daemon, turnIndex: 0, historyTokens: 0, computedTokens: 0, submittedMs: 0,
            started: false, ended: false, engine: undefined };
        this.runs.set(program.name, run);
        this.submit(run);
    }

    private submit(run: ProgramRun): void {
        const turn = run.program.turns[run.turnIndex]!;
        const id = `${run.program.name}#${run.turnIndex}`;
        const job: Job = { id, plan: run.program.plan, program: run.program.name, root: run.program.name, model: "m",
            promptTokens: run.historyTokens + turn.newTokens, newTokens: turn.newTokens, maxTokens: 1_000,
            firstCall: run.turnIndex === 0, repeatable: true, excluded: [] };
        run.submittedMs = this.now;
        run.started = false;
        if (this.policies[run.daemon]!.submit(job, this.now) !== undefined) {
            this.endProgram(run, "refused");
            return;
        }
        if (this.scenario.patienceMs !== undefined) {
            this.scheduleAt(this.now + this.scenario.patienceMs, () => this.abandon(run, id));
        }
        this.dispatchReady(run.daemon);
    }

    private abandon(run: ProgramRun, id: string): void {
        if (run.ended || run.started || `${run.program.name}#${run.turnIndex}` !== id) {
            return;
        }
        const policy = this.policies[run.daemon]!;
        if (run.engine === undefined) {
            policy.withdraw(id, this.now);
        }
        else {
            this.engines.get(run.engine)!.cancel(id);
            this.changeInFlight(run.daemon, run.engine, -1);
            policy.finish(id, { outcome: "cancelled", promptTokens: 0, cachedTokens: 0, tokens: 0 }, this.now);
        }
        this.endProgram(run, "left");
        this.dispatchReady(run.daemon);
    }

    private endProgram(run: ProgramRun, outcome: Outcome["outcome"]): void {
        run.ended = true;
        this.runs.delete(run.program.name);
        const latencyMs = this.now - run.program.startMs;
        this.outcomes.push({ program: run.program, outcome, turns: run.turnIndex, dispatched: run.engine !== undefined,
            latencyMs, endMs: this.now });
        if (outcome !== "refused") {
            for (const name of this.policies[run.daemon]!.endProgram(run.program.name, this.now)) {
                this.engines.get(name)!.release(run.program.name);
            }
        }
    }

    private dispatchReady(daemon: number): void {
        const policy = this.policies[daemon]!;
        for (const assignment of policy.nextAssignments(this.now)) {
            this.dispatch(daemon, assignment);
        }
        const nextCheckAt = policy.nextCheckAt(this.now);
        if (nextCheckAt !== undefined &&
            (this.scheduledChecks[daemon] === undefined || nextCheckAt < this.scheduledChecks[daemon])) {
            this.scheduledChecks[daemon] = nextCheckAt;
            this.scheduleAt(Math.max(nextCheckAt, this.now + 0.1), () => {
                this.scheduledChecks[daemon] = undefined;
                this.dispatchReady(daemon);
            });
        }
    }

    private dispatch(daemon: number, { job, engine, priority }: Assignment): void {
        const run = this.runs.get(job.program)!;
        run.engine = engine;
        this.changeInFlight(daemon, engine, 1);
        this.engines.get(engine)!.submit({ id: job.id, program: job.program, promptTokens: job.promptTokens,
            outputTokens: run.program.turns[run.turnIndex]!.outputTokens, priority });
        this.startStep(engine);
    }

    private startStep(name: string): void {
        const engine = this.engines.get(name)!;
        if (this.steppingEngines.has(name)) {
            return;
        }
        const duration = engine.beginStep();
        if (duration === undefined) {
            return;
        }
        this.steppingEngines.add(name);
        this.scheduleAt(this.now + duration, () => {
            this.steppingEngines.delete(name);
            const daemons = new Set<number>();
            for (const event of engine.endStep()) {
                this.applyEvent(name, event, daemons);
            }
            this.deliverCacheEvents(engine);
            daemons.forEach(daemon => this.dispatchReady(daemon));
            this.startStep(name);
        });
    }

    private applyEvent(engine: string, event: StepEvent, daemons: Set<number>): void {
        const run = this.runs.get(event.id.slice(0, event.id.indexOf("#")))!;
        const policy = this.policies[run.daemon]!;
        if (event.kind === "first") {
            run.started = true;
            this.firstTokenOrder.push(event.id);
            policy.recordFirstToken(event.id, this.now);
            daemons.add(run.daemon);
            return;
        }
        policy.recordTokens(event.id, 1, this.now);
        if (event.kind === "done") {
            daemons.add(run.daemon);
            this.completeTurn(run, engine, event);
        }
    }

    private completeTurn(run: ProgramRun, engine: string, { id, cachedTokens, tokens }: StepEvent): void {
        const turn = run.program.turns[run.turnIndex]!;
        const promptTokens = run.historyTokens + turn.newTokens;
        this.promptTokens += promptTokens;
        this.recomputedTokens += Math.max(0, run.computedTokens - cachedTokens);
        this.changeInFlight(run.daemon, engine, -1);
        this.policies[run.daemon]!.finish(id, { outcome: "done", promptTokens, cachedTokens, tokens }, this.now);
        run.historyTokens = promptTokens + tokens;
        run.computedTokens = run.historyTokens;
        run.turnIndex += 1;
        run.engine = undefined;
        if (run.turnIndex === run.program.turns.length) {
            this.endProgram(run, "done");
            return;
        }
        this.scheduleAt(this.now + turn.pauseMs, () => this.submit(run));
    }

    private deliverCacheEvents(engine: FakeEngine): void {
        for (const { program, tokens } of engine.evicted.splice(0)) {
            if (this.scenario.random() >= cacheEventLossRate) {
                this.scheduleAt(this.now + cacheEventLagMs, () => {
                    for (const policy of this.policies) {
                        policy.recordCacheEvent(engine.name, { kind: "evicted", program, tokens }, this.now);
                    }
                });
            }
        }
    }

    /** Schedules delayed load reports and heartbeats; the daemons are spread evenly over the interval. */
    private scheduleReports(): void {
        this.policies.forEach((policy, daemon) => {
            const repeat = () => {
                const heartbeat = Object.fromEntries(this.inFlight[daemon]!);
                this.policies.forEach((peer, peerIndex) => {
                    if (peerIndex !== daemon) {
                        peer.setPeerCounts(`d${daemon}`, heartbeat, this.now);
                    }
                });
                for (const engine of this.engines.values()) {
                    const report = { running: engine.running, waiting: engine.waiting,
                        cachedTokens: engine.cachedTokens };
                    this.scheduleAt(this.now + reportLagMs, () => policy.recordLoad(engine.name, report, this.now));
                }
                this.scheduleAt(this.now + heartbeatIntervalMs, repeat);
            };
            this.scheduleAt(heartbeatIntervalMs * daemon / this.policies.length, repeat);
        });
    }

    private changeInFlight(daemon: number, engine: string, change: number): void {
        const counts = this.inFlight[daemon]!;
        counts.set(engine, (counts.get(engine) ?? 0) + change);
    }

    private scheduleAt(at: number, action: () => void): void {
        const eventHeap = this.eventHeap;
        const event = { at, sequence: this.nextSequence++, action };
        let index = eventHeap.length;
        eventHeap.push(event);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(event, eventHeap[parent]!)) {
                break;
            }
            eventHeap[index] = eventHeap[parent]!;
            index = parent;
        }
        eventHeap[index] = event;
    }

    private popEvent(): { at: number; sequence: number; action: () => void; } {
        const eventHeap = this.eventHeap;
        const top = eventHeap[0]!;
        const last = eventHeap.pop()!;
        if (eventHeap.length === 0) {
            return top;
        }
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= eventHeap.length) {
                break;
            }
            if (child + 1 < eventHeap.length && isBefore(eventHeap[child + 1]!, eventHeap[child]!)) {
                child += 1;
            }
            if (!isBefore(eventHeap[child]!, last)) {
                break;
            }
            eventHeap[index] = eventHeap[child]!;
            index = child;
        }
        eventHeap[index] = last;
        return top;
    }
}

function isBefore(left: { at: number; sequence: number; }, right: { at: number; sequence: number; }): boolean {
    return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
