import type { Assignment, Engine, Job, JobResult, Policy, Refusal } from "../src/index.ts";
import { refuse } from "../src/index.ts";

/**
 * Reference for the highest possible throughput, which no daemon can reach: one queue with full knowledge pins each
 * program to the engine with the fewest programs and limits the programs per engine. The best limit, found by trial,
 * shows what the engines could complete.
 */
export class PinnedPolicy implements Policy {
    private readonly programCounts = new Map<string, number>();
    private readonly engineByProgram = new Map<string, string>();
    private queue: Job[] = [];

    constructor(private readonly programsPerEngine: number) {}

    setEngines(engines: readonly Engine[]): void {
        engines.forEach(engine => this.programCounts.set(engine.name, 0));
    }

    submit(job: Job): Refusal | undefined {
        if (!this.engineByProgram.has(job.program)) {
            const [engine, count] = [...this.programCounts].reduce((least, entry) =>
                entry[1] < least[1] ? entry : least
            );
            if (count >= this.programsPerEngine) {
                return refuse("overloaded", "notRun");
            }
            this.programCounts.set(engine, count + 1);
            this.engineByProgram.set(job.program, engine);
        }
        this.queue.push(job);
        return undefined;
    }

    nextAssignments(): readonly Assignment[] {
        return this.queue.splice(0).map(job => ({ job, engine: this.engineByProgram.get(job.program)!, priority: 0 }));
    }

    endProgram(program: string): readonly string[] {
        const engine = this.engineByProgram.get(program)!;
        this.engineByProgram.delete(program);
        this.programCounts.set(engine, this.programCounts.get(engine)! - 1);
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
