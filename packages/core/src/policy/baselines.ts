import { type Refusal, refuse } from "../code.ts";
import { hash } from "../hash.ts";
import type { Assignment, CacheEvent, Engine, Job, JobResult, LoadReport, Policy } from "../policy.ts";

/** Whether a live engine may serve the job. */
export function canServe(engine: Engine, job: Job): boolean {
    return !engine.leaving && engine.models.includes(job.model) && !job.excluded.includes(engine.name);
}

/** Base of the baselines: dispatches each job at once, in order of arrival; subclasses choose the engine. */
abstract class FifoPolicy implements Policy {
    protected readonly inFlight = new Map<string, number>();
    private engines: readonly Engine[] = [];
    private readonly queue = new Map<string, Job>();
    private readonly engineByJob = new Map<string, string>();
    private readonly enginesByProgram = new Map<string, Set<string>>();

    /** Chooses an engine; there is at least one candidate. */
    protected abstract chooseEngine(job: Job, candidates: readonly Engine[]): Engine;

    setEngines(engines: readonly Engine[]): void {
        this.engines = engines;
    }

    submit(job: Job): Refusal | undefined {
        if (!this.engines.some(engine => canServe(engine, job))) {
            return refuse("upstream_missing", "notRun", job.model);
        }
        this.queue.set(job.id, job);
        return undefined;
    }

    withdraw(job: string): void {
        this.queue.delete(job);
    }

    nextAssignments(): readonly Assignment[] {
        const assignments: Assignment[] = [];
        for (const job of this.queue.values()) {
            const candidates = this.engines.filter(engine => canServe(engine, job));
            if (candidates.length > 0) {
                assignments.push(this.assign(job, this.chooseEngine(job, candidates).name));
            }
        }
        return assignments;
    }

    nextCheckAt(): undefined {
        return undefined;
    }

    recordFirstToken(): void {}

    recordTokens(): void {}

    finish(job: string, _result: JobResult): void {
        const engine = this.engineByJob.get(job);
        if (engine !== undefined) {
            this.engineByJob.delete(job);
            this.inFlight.set(engine, (this.inFlight.get(engine) ?? 1) - 1);
        }
    }

    recordLoad(_engine: string, _report: LoadReport): void {}

    recordCacheEvent(_engine: string, _event: CacheEvent): void {}

    setPeerCounts(_daemon: string, _inFlight: Readonly<Record<string, number>>): void {}

    endProgram(program: string): readonly string[] {
        const engines = [...this.enginesByProgram.get(program) ?? []];
        this.enginesByProgram.delete(program);
        return engines;
    }

    restoreProgram(program: string, _root: string, _tokens: number, engine: string | undefined): void {
        if (engine !== undefined) {
            this.recordEngine(program, engine);
        }
    }

    waitingCount(): number {
        return this.queue.size;
    }

    private assign(job: Job, engine: string): Assignment {
        this.queue.delete(job.id);
        this.engineByJob.set(job.id, engine);
        this.inFlight.set(engine, (this.inFlight.get(engine) ?? 0) + 1);
        this.recordEngine(job.program, engine);
        return { job, engine, priority: 0 };
    }

    private recordEngine(program: string, engine: string): void {
        const engines = this.enginesByProgram.get(program);
        if (engines === undefined) {
            this.enginesByProgram.set(program, new Set([engine]));
        }
        else {
            engines.add(engine);
        }
    }
}

/** Baseline: round robin over the engines, jobs in order of arrival. */
export class RoundRobinPolicy extends FifoPolicy {
    private counter = 0;

    protected override chooseEngine(_job: Job, candidates: readonly Engine[]): Engine {
        this.counter += 1;
        return candidates[this.counter % candidates.length]!;
    }
}

/** Baseline: the engine with the fewest calls in flight of this daemon, ties round robin; jobs as they arrive. */
export class LeastConnectionsPolicy extends FifoPolicy {
    private counter = 0;

    protected override chooseEngine(_job: Job, candidates: readonly Engine[]): Engine {
        this.counter += 1;
        let best = candidates[this.counter % candidates.length]!;
        for (let step = 1; step < candidates.length; step += 1) {
            const engine = candidates[(this.counter + step) % candidates.length]!;
            if (this.inFlightCalls(engine) < this.inFlightCalls(best)) {
                best = engine;
            }
        }
        return best;
    }

    private inFlightCalls(engine: Engine): number {
        return this.inFlight.get(engine.name) ?? 0;
    }
}

/** Baseline: the engine ranked highest by a rendezvous hash of the program; jobs in order of arrival. */
export class ConsistentHashPolicy extends FifoPolicy {
    protected override chooseEngine(job: Job, candidates: readonly Engine[]): Engine {
        let best = candidates[0]!;
        let highestScore = -1;
        for (const engine of candidates) {
            const score = hash(`${job.program}\n${engine.name}`);
            if (score > highestScore) {
                highestScore = score;
                best = engine;
            }
        }
        return best;
    }
}
