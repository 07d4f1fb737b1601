import type { Random } from "../clock.ts";

/** Bounds of the time after which a refused caller is to come back. */
const minDelayMs = 250;
const maxDelayMs = 60_000;
/** After this time without a refusal the callers refused earlier no longer delay others: the overload has ended. */
const calmMs = 1_000;
/** Callers come back up to this share later than told, so that those who were refused together do not collide. */
const jitterShare = 0.25;
/** A caller that comes this much earlier, or later, counts as one that returns as told. */
const earlyToleranceMs = 100;
const lateToleranceMs = 5_000;
/** Number of refused programs that are remembered. */
const maxPrograms = 8_192;

/** Tells refused callers when to come back, one after the other, and recognizes those that do. */
export class ReturnSchedule {
    /** When the last refused caller of each class was refused, and when it is due. */
    private readonly last = new Map<string, { readonly refusedAt: number; readonly dueAt: number; }>();
    /** Time at which a program is due; the longest known one is first. */
    private readonly dueAt = new Map<number, number>();

    constructor(private readonly random: Random) {}

    /** Returns the time after which a caller is to come back, in ms. `rate`: callers that can be served per millisecond. */
    schedule(program: number | undefined, group: string, rate: number, now: number): number {
        const last = this.last.get(group);
        const lastDueAt = last === undefined || now - last.refusedAt > calmMs ? -Infinity : last.dueAt;
        const dueAt = Math.min(now + maxDelayMs, Math.max(now + minDelayMs, lastDueAt + 1 / rate));
        this.last.set(group, { refusedAt: now, dueAt });
        return this.remember(program, dueAt - now, now);
    }

    /** Returns the time after which a caller is to come back that need not wait for its turn, in ms. */
    remember(program: number | undefined, minDelay: number, now: number): number {
        const delay = minDelay * (1 + this.random() * jitterShare);
        if (program !== undefined) {
            this.dueAt.delete(program);
            this.dueAt.set(program, now + delay);
            if (this.dueAt.size > maxPrograms) {
                const [oldest] = this.dueAt.keys();
                this.dueAt.delete(oldest!);
            }
        }
        return delay;
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
