import type { Random } from "../clock.ts";

/** Bounds of the time after which a refused caller is to come back. */
const minDelayMs = 250;
const maxDelayMs = 60_000;
/** Callers come back up to this share later than told, so that those who were refused together do not collide. */
const jitterShare = 0.25;
/** A caller that comes this much earlier, or later, counts as one that returns as told. */
const earlyToleranceMs = 100;
const lateToleranceMs = 5_000;
/** Number of refused programs that are remembered. */
const maxPrograms = 8_192;

/** Tells refused callers when to come back, one after the other, and recognizes those that do. */
export class ReturnSchedule {
    /** Time at which the last refused caller of each class is due. */
    private readonly lastDueAt = new Map<string, number>();
    /** Time at which a program is due; the longest known one is first. */
    private readonly dueAt = new Map<number, number>();

    constructor(private readonly random: Random) {}

    /** Returns the time after which a caller is to come back, in ms. `rate`: callers that can be served per millisecond. */
    schedule(program: number | undefined, group: string, rate: number, now: number): number {
        const next = Math.max(now + minDelayMs, (this.lastDueAt.get(group) ?? -Infinity) + 1 / rate);
        const due = Math.min(now + maxDelayMs, next);
        this.lastDueAt.set(group, due);
        return this.remember(program, due - now, now);
    }

    /** Returns the time after which a caller is to come back that need not wait for its turn, in ms. */
    remember(program: number | undefined, delay: number, now: number): number {
        if (program !== undefined) {
            this.dueAt.delete(program);
            this.dueAt.set(program, now + delay);
            if (this.dueAt.size > maxPrograms) {
                const [oldest] = this.dueAt.keys();
                this.dueAt.delete(oldest!);
            }
        }
        return delay * (1 + this.random() * jitterShare);
    }

    /** Whether the program was refused before and returns as told. */
    isReturning(program: number | undefined, now: number): boolean {
        const due = program === undefined ? undefined : this.dueAt.get(program);
        return due !== undefined && now >= due - earlyToleranceMs && now <= due + lateToleranceMs;
    }

    /** Forgets a program that is served. */
    forget(program: number | undefined): void {
        if (program !== undefined) {
            this.dueAt.delete(program);
        }
    }
}
