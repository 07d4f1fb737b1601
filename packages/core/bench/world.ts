import type { Assignment, Engine, Job, Policy, Random } from "../src/index.ts";
import { type EngineModel, FakeEngine, type StepEvent, usualModel } from "./engine.ts";

/** A turn of a program: tokens that are new in its prompt, tokens generated, pause before the next turn in ms. */
export interface Turn {
    readonly fresh: number;
    readonly output: number;
    readonly pauseMs: number;
}

/** A program of a trace. */
export interface Program {
    readonly name: string;
    readonly plan: string;
    readonly kind: string;
    readonly startMs: number;
    readonly turns: readonly Turn[];
}

/** What became of a program. */
export interface Outcome {
    readonly program: Program;
    readonly outcome: "done" | "refused" | "left";
    /** Turns that were completed, and whether the last one had reached an engine. */
    readonly turns: number;
    readonly dispatched: boolean;
    readonly latencyMs: number;
    readonly endMs: number;
}

/** What is set for one run. */
export interface Scenario {
    readonly programs: readonly Program[];
    readonly engines: number;
    readonly daemons: number;
    readonly model?: EngineModel;
    /** A caller leaves when a first token takes longer. */
    readonly patienceMs?: number;
    /** Engines slowed by a factor from one time to another. */
    readonly slow?: { readonly engines: number; readonly factor: number; readonly from: number; readonly to: number; };
    readonly random: Random;
    readonly createPolicy: (daemon: number) => Policy;
}

/** The figures of one run. */
export interface RunResult {
    readonly outcomes: readonly Outcome[];
    readonly promptTokens: number;
    /** Prompt tokens computed again although an engine had computed them for this program. */
    readonly wastedTokens: number;
    /** Order in which first tokens arrived, by job. */
    readonly served: readonly string[];
}

const reportLagMs = 1_000;
const beatMs = 1_000;
const cacheEventLagMs = 800;
const cacheEventLoss = 0.2;

interface ProgramRun {
    readonly program: Program;
    readonly daemon: number;
    turn: number;
    history: number;
    /** Tokens of the history that some engine has computed. */
    computed: number;
    submittedMs: number;
    started: boolean;
    ended: boolean;
    engine: string | undefined;
}

/** Runs a scenario on virtual time: daemons with one policy each before fake engines. */
export function runScenario(scenario: Scenario): RunResult {
    return new World(scenario).run();
}

class World {
    private now = 0;
    private order = 0;
    private readonly events: { at: number; order: number; act: () => void; }[] = [];
    private readonly policies: Policy[];
    private readonly engines = new Map<string, FakeEngine>();
    private readonly busy = new Set<string>();
    private readonly runs = new Map<string, ProgramRun>();
    private readonly inFlight: Map<string, number>[];
    private readonly outcomes: Outcome[] = [];
    private readonly served: string[] = [];
    private readonly wakes: (number | undefined)[];
    private promptTokens = 0;
    private wastedTokens = 0;

    constructor(private readonly scenario: Scenario) {
        const list: Engine[] = [];
        for (let index = 0; index < scenario.engines; index += 1) {
            const name = `e${index}`;
            this.engines.set(name, new FakeEngine(name, scenario.model ?? usualModel));
            list.push({ name, dataCentre: "x", models: ["m"], leaving: false });
        }
        this.policies = Array.from({ length: scenario.daemons }, (_, daemon) => scenario.createPolicy(daemon));
        this.inFlight = this.policies.map(() => new Map<string, number>());
        this.wakes = this.policies.map(() => undefined);
        for (const policy of this.policies) {
            policy.setEngines(list, 0);
        }
    }

    run(): RunResult {
        this.scenario.programs.forEach((program, index) => {
            this.at(program.startMs, () => this.start(program, index % this.policies.length));
        });
        this.scheduleSlowness();
        this.observe();
        const total = this.scenario.programs.length;
        while (this.outcomes.length < total && this.events.length > 0) {
            const event = this.pop();
            this.now = event.at;
            event.act();
        }
        return { outcomes: this.outcomes, promptTokens: this.promptTokens, wastedTokens: this.wastedTokens,
            served: this.served };
    }

    private scheduleSlowness(): void {
        const slow = this.scenario.slow;
        if (slow === undefined) {
            return;
        }
        const chosen = [...this.engines.values()].slice(0, slow.engines);
        this.at(slow.from, () => chosen.forEach(engine => engine.slowness = slow.factor));
        this.at(slow.to, () => chosen.forEach(engine => engine.slowness = 1));
    }

    private start(program: Program, daemon: number): void {
        const run = { program, daemon, turn: 0, history: 0, computed: 0, submittedMs: 0, started: false, ended: false,
            engine: undefined };
        this.runs.set(program.name, run);
        this.submit(run);
    }

    private submit(run: ProgramRun): void {
        const turn = run.program.turns[run.turn]!;
        const id = `${run.program.name}#${run.turn}`;
        const job: Job = { id, plan: run.program.plan, program: run.program.name, root: run.program.name, model: "m",
            promptTokens: run.history + turn.fresh, newTokens: turn.fresh, maxTokens: 1_000, firstCall: run.turn === 0,
            repeatable: true, excluded: [] };
        run.submittedMs = this.now;
        run.started = false;
        if (this.policies[run.daemon]!.submit(job, this.now) !== undefined) {
            this.conclude(run, "refused");
            return;
        }
        if (this.scenario.patienceMs !== undefined) {
            this.at(this.now + this.scenario.patienceMs, () => this.leave(run, id));
        }
        this.pump(run.daemon);
    }

    private leave(run: ProgramRun, id: string): void {
        if (run.ended || run.started || `${run.program.name}#${run.turn}` !== id) {
            return;
        }
        const policy = this.policies[run.daemon]!;
        if (run.engine === undefined) {
            policy.withdraw(id, this.now);
        }
        else {
            this.engines.get(run.engine)!.cancel(id);
            this.count(run.daemon, run.engine, -1);
            policy.finish(id, { outcome: "cancelled", promptTokens: 0, cachedTokens: 0, tokens: 0 }, this.now);
        }
        this.conclude(run, "left");
        this.pump(run.daemon);
    }

    private conclude(run: ProgramRun, outcome: Outcome["outcome"]): void {
        run.ended = true;
        this.runs.delete(run.program.name);
        const latencyMs = this.now - run.program.startMs;
        this.outcomes.push({ program: run.program, outcome, turns: run.turn, dispatched: run.engine !== undefined,
            latencyMs, endMs: this.now });
        if (outcome !== "refused") {
            for (const name of this.policies[run.daemon]!.endProgram(run.program.name, this.now)) {
                this.engines.get(name)!.release(run.program.name);
            }
        }
    }

    private pump(daemon: number): void {
        const policy = this.policies[daemon]!;
        for (const assignment of policy.nextAssignments(this.now)) {
            this.dispatch(daemon, assignment);
        }
        const wake = policy.nextCheckAt(this.now);
        if (wake !== undefined && (this.wakes[daemon] === undefined || wake < this.wakes[daemon])) {
            this.wakes[daemon] = wake;
            this.at(Math.max(wake, this.now + 0.1), () => {
                this.wakes[daemon] = undefined;
                this.pump(daemon);
            });
        }
    }

    private dispatch(daemon: number, { job, engine, priority }: Assignment): void {
        const run = this.runs.get(job.program)!;
        run.engine = engine;
        this.count(daemon, engine, 1);
        this.engines.get(engine)!.submit({ id: job.id, program: job.program, prompt: job.promptTokens,
            output: run.program.turns[run.turn]!.output, priority });
        this.step(engine);
    }

    private step(name: string): void {
        const engine = this.engines.get(name)!;
        if (this.busy.has(name)) {
            return;
        }
        const duration = engine.begin();
        if (duration === undefined) {
            return;
        }
        this.busy.add(name);
        this.at(this.now + duration, () => {
            this.busy.delete(name);
            const daemons = new Set<number>();
            for (const event of engine.end()) {
                this.apply(name, event, daemons);
            }
            this.loseCacheEvents(engine);
            daemons.forEach(daemon => this.pump(daemon));
            this.step(name);
        });
    }

    private apply(engine: string, event: StepEvent, daemons: Set<number>): void {
        const run = this.runs.get(event.id.slice(0, event.id.indexOf("#")))!;
        const policy = this.policies[run.daemon]!;
        if (event.kind === "first") {
            run.started = true;
            this.served.push(event.id);
            policy.recordFirstToken(event.id, this.now);
            daemons.add(run.daemon);
            return;
        }
        policy.recordTokens(event.id, 1, this.now);
        if (event.kind === "done") {
            daemons.add(run.daemon);
            this.complete(run, engine, event);
        }
    }

    private complete(run: ProgramRun, engine: string, { id, cached, tokens }: StepEvent): void {
        const turn = run.program.turns[run.turn]!;
        const promptTokens = run.history + turn.fresh;
        this.promptTokens += promptTokens;
        this.wastedTokens += Math.max(0, run.computed - cached);
        this.count(run.daemon, engine, -1);
        this.policies[run.daemon]!.finish(id, { outcome: "done", promptTokens, cachedTokens: cached, tokens },
            this.now);
        run.history = promptTokens + tokens;
        run.computed = run.history;
        run.turn += 1;
        run.engine = undefined;
        if (run.turn === run.program.turns.length) {
            this.conclude(run, "done");
            return;
        }
        this.at(this.now + turn.pauseMs, () => this.submit(run));
    }

    private loseCacheEvents(engine: FakeEngine): void {
        for (const { program, tokens } of engine.evicted.splice(0)) {
            if (this.scenario.random() >= cacheEventLoss) {
                this.at(this.now + cacheEventLagMs, () => {
                    for (const policy of this.policies) {
                        policy.recordCacheEvent(engine.name, { kind: "evicted", program, tokens }, this.now);
                    }
                });
            }
        }
    }

    /** Load reports that lag, and heartbeats, each daemon at its own moment of the second. */
    private observe(): void {
        this.policies.forEach((policy, daemon) => {
            const repeat = () => {
                const beat = Object.fromEntries(this.inFlight[daemon]!);
                this.policies.forEach((peer, other) => {
                    if (other !== daemon) {
                        peer.setPeerCounts(`d${daemon}`, beat, this.now);
                    }
                });
                for (const engine of this.engines.values()) {
                    const report = { running: engine.running, waiting: engine.waiting,
                        cachedTokens: engine.cachedTokens };
                    this.at(this.now + reportLagMs, () => policy.recordLoad(engine.name, report, this.now));
                }
                this.at(this.now + beatMs, repeat);
            };
            this.at(beatMs * daemon / this.policies.length, repeat);
        });
    }

    private count(daemon: number, engine: string, change: number): void {
        const counts = this.inFlight[daemon]!;
        counts.set(engine, (counts.get(engine) ?? 0) + change);
    }

    private at(at: number, act: () => void): void {
        const heap = this.events;
        const event = { at, order: this.order++, act };
        let index = heap.length;
        heap.push(event);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!before(event, heap[parent]!)) {
                break;
            }
            heap[index] = heap[parent]!;
            index = parent;
        }
        heap[index] = event;
    }

    private pop(): { at: number; order: number; act: () => void; } {
        const heap = this.events;
        const top = heap[0]!;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return top;
        }
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= heap.length) {
                break;
            }
            if (child + 1 < heap.length && before(heap[child + 1]!, heap[child]!)) {
                child += 1;
            }
            if (!before(heap[child]!, last)) {
                break;
            }
            heap[index] = heap[child]!;
            index = child;
        }
        heap[index] = last;
        return top;
    }
}

function before(left: { at: number; order: number; }, right: { at: number; order: number; }): boolean {
    return left.at < right.at || (left.at === right.at && left.order < right.order);
}
