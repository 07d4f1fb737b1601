import type { Assignment, Engine, Job, JobResult, Policy, Refusal } from "../src/index.ts";
import { refuse } from "../src/index.ts";

/**
 * A reference that no daemon can be: one queue with full knowledge, every program pinned to the engine with the
 * fewest programs, and at most a fixed number of programs per engine. The best number found by trial says what
 * the engines could complete.
 */
export class PinnedPolicy implements Policy {
    private readonly counts = new Map<string, number>();
    private readonly homes = new Map<string, string>();
    private queue: Job[] = [];

    constructor(private readonly programsPerEngine: number) {}

    setEngines(engines: readonly Engine[]): void {
        engines.forEach(engine => this.counts.set(engine.name, 0));
    }

    submit(job: Job): Refusal | undefined {
        if (!this.homes.has(job.program)) {
            const [engine, count] = [...this.counts].reduce((least, entry) => entry[1] < least[1] ? entry : least);
            if (count >= this.programsPerEngine) {
                return refuse("overloaded", "notRun");
            }
            this.counts.set(engine, count + 1);
            this.homes.set(job.program, engine);
        }
        this.queue.push(job);
        return undefined;
    }

    nextAssignments(): readonly Assignment[] {
        return this.queue.splice(0).map(job => ({ job, engine: this.homes.get(job.program)!, priority: 0 }));
    }

    endProgram(program: string): readonly string[] {
        const engine = this.homes.get(program)!;
        this.homes.delete(program);
        this.counts.set(engine, this.counts.get(engine)! - 1);
        return [engine];
    }

    withdraw(): void {}

    nextCheckAt(): undefined {
        return undefined;
    }

    recordFirstToken(): void {}

    recordTokens(): void {}

    finish(_job: string, _result: JobResult): void {}

    recordLoad(): void {}

    recordCacheEvent(): void {}

    setPeerCounts(): void {}

    restoreProgram(): void {}

    waitingCount(): number {
        return 0;
    }
}
