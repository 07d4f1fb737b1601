import { type Refusal, refuse } from "../code.ts";
import { hash } from "../hash.ts";
import type { Assignment, CacheEvent, Engine, Job, JobResult, LoadReport, Policy } from "../policy.ts";

/** Whether a live engine may take the job. */
export function serves(engine: Engine, job: Job): boolean {
    return !engine.leaving && engine.models.includes(job.model) && !job.excluded.includes(engine.name);
}

/** First come, first served: each job is dispatched at once, and only the choice of the engine varies. */
abstract class FirstComePolicy implements Policy {
    protected readonly inFlight = new Map<string, number>();
    private engines: readonly Engine[] = [];
    private readonly queue = new Map<string, Job>();
    private readonly assigned = new Map<string, string>();
    private readonly visited = new Map<string, Set<string>>();

    /** Chooses one of at least one candidate. */
    protected abstract choose(job: Job, candidates: readonly Engine[]): Engine;

    setEngines(engines: readonly Engine[]): void {
        this.engines = engines;
    }

    submit(job: Job): Refusal | undefined {
        if (!this.engines.some(engine => serves(engine, job))) {
            return refuse("upstream_missing", "notRun", job.model);
        }
        this.queue.set(job.id, job);
        return undefined;
    }

    withdraw(job: string): void {
        this.queue.delete(job);
    }

    next(): readonly Assignment[] {
        const assignments: Assignment[] = [];
        for (const job of this.queue.values()) {
            const candidates = this.engines.filter(engine => serves(engine, job));
            if (candidates.length > 0) {
                assignments.push(this.assign(job, this.choose(job, candidates).name));
            }
        }
        return assignments;
    }

    wakeAt(): undefined {
        return undefined;
    }

    firstToken(): void {}

    progress(): void {}

    finish(job: string, _result: JobResult): void {
        const engine = this.assigned.get(job);
        if (engine !== undefined) {
            this.assigned.delete(job);
            this.inFlight.set(engine, (this.inFlight.get(engine) ?? 1) - 1);
        }
    }

    report(_engine: string, _report: LoadReport): void {}

    cacheEvent(_engine: string, _event: CacheEvent): void {}

    peerCounts(_daemon: string, _inFlight: Readonly<Record<string, number>>): void {}

    endProgram(program: string): readonly string[] {
        const engines = [...this.visited.get(program) ?? []];
        this.visited.delete(program);
        return engines;
    }

    restoreProgram(program: string, _root: string, _tokens: number, engine: string | undefined): void {
        if (engine !== undefined) {
            this.visit(program, engine);
        }
    }

    waiting(): number {
        return this.queue.size;
    }

    private assign(job: Job, engine: string): Assignment {
        this.queue.delete(job.id);
        this.assigned.set(job.id, engine);
        this.inFlight.set(engine, (this.inFlight.get(engine) ?? 0) + 1);
        this.visit(job.program, engine);
        return { job, engine, priority: 0 };
    }

    private visit(program: string, engine: string): void {
        const engines = this.visited.get(program);
        if (engines === undefined) {
            this.visited.set(program, new Set([engine]));
        }
        else {
            engines.add(engine);
        }
    }
}

/** Baseline: engines in turn, first come, first served. */
export class RoundRobinPolicy extends FirstComePolicy {
    private turn = 0;

    protected override choose(_job: Job, candidates: readonly Engine[]): Engine {
        this.turn += 1;
        return candidates[this.turn % candidates.length]!;
    }
}

/** Baseline: the engine with the fewest calls in flight of this daemon, ties in turn; first come, first served. */
export class LeastConnectionsPolicy extends FirstComePolicy {
    private turn = 0;

    protected override choose(_job: Job, candidates: readonly Engine[]): Engine {
        this.turn += 1;
        let best = candidates[this.turn % candidates.length]!;
        for (let step = 1; step < candidates.length; step += 1) {
            const engine = candidates[(this.turn + step) % candidates.length]!;
            if (this.connections(engine) < this.connections(best)) {
                best = engine;
            }
        }
        return best;
    }

    private connections(engine: Engine): number {
        return this.inFlight.get(engine.name) ?? 0;
    }
}

/** Baseline: the engine that a rendezvous hash gives the program; first come, first served. */
export class ConsistentHashPolicy extends FirstComePolicy {
    protected override choose(job: Job, candidates: readonly Engine[]): Engine {
        let best = candidates[0]!;
        let highest = -1;
        for (const engine of candidates) {
            const score = hash(`${job.program}\n${engine.name}`);
            if (score > highest) {
                highest = score;
                best = engine;
            }
        }
        return best;
    }
}
