import type { Job } from "../policy.ts";

/** Number of priority levels; level 0 is served first. */
export const levels = 8;

/** Attained tokens below which a program tree stays in level 0; each further level doubles the bound. */
const firstLevelTokens = 1_024;

/** A call that has waited this long gains a level, and another for each such time after it. */
const ageingMs = 10_000;

/** Level by powers of two of attained tokens. */
export function levelOf(tokens: number): number {
    return Math.min(levels - 1, 32 - Math.clz32(Math.floor(tokens / firstLevelTokens)));
}

/** Whether the job is the first of a program tree; the first call of a sub-agent belongs to a program under way. */
export function opensTree(job: Job): boolean {
    return job.opening && job.root === job.program;
}

interface Tree {
    tokens: number;
    programs: number;
}

/** Service in tokens per program tree; sub-agents count towards their root. */
export class AttainedService {
    private readonly trees = new Map<string, Tree>();
    private readonly roots = new Map<string, string>();

    /** Adds a program to the tree of a root; repeated calls change nothing. */
    join(program: string, root: string): void {
        if (!this.roots.has(program)) {
            this.roots.set(program, root);
            const tree = this.trees.get(root) ?? { tokens: 0, programs: 0 };
            tree.programs += 1;
            this.trees.set(root, tree);
        }
    }

    charge(root: string, tokens: number): void {
        const tree = this.trees.get(root);
        if (tree !== undefined) {
            tree.tokens += tokens;
        }
    }

    level(root: string): number {
        return levelOf(this.trees.get(root)?.tokens ?? 0);
    }

    /** Drops a program, and its tree with the last program of it. */
    end(program: string): void {
        const root = this.roots.get(program);
        const tree = root === undefined ? undefined : this.trees.get(root);
        if (root === undefined || tree === undefined) {
            return;
        }
        this.roots.delete(program);
        tree.programs -= 1;
        if (tree.programs === 0) {
            this.trees.delete(root);
        }
    }
}

/** A job in the queue. */
export interface Waiting {
    readonly job: Job;
    /** Level when it was queued, before ageing. */
    readonly level: number;
    readonly since: number;
}

/**
 * What became of an offered job: `placed` leaves the queue, `blocked` stays, `closed` stays and ends the offers of
 * its plan, `full` ends all offers.
 */
export type Offer = "placed" | "blocked" | "closed" | "full";

/** Which waiting jobs are offered: first calls of programs, later ones, or both in order of level. */
export type JobClass = "opening" | "underWay" | "all";

/** The level of a waiting job with the levels gained by ageing. */
export function agedLevel(waiting: Waiting, now: number): number {
    return Math.max(0, waiting.level - Math.floor((now - waiting.since) / ageingMs));
}

/** Blocked jobs of one plan and of one round after which the others wait for the next round; bounds its cost. */
const blockedPerPlan = 8;
const blockedPerRound = 32;

/** Waiting jobs of one plan: a bucket per level, calls of programs under way before openings of the same level. */
class PlanQueue {
    /** Tokens served divided by the weight of the plan. */
    served = 0;
    size = 0;
    private readonly buckets = Array.from({ length: 2 * levels }, () => new Map<string, Waiting>());

    add(waiting: Waiting): void {
        this.bucketOf(waiting).set(waiting.job.id, waiting);
        this.size += 1;
    }

    remove(waiting: Waiting): void {
        if (this.bucketOf(waiting).delete(waiting.job.id)) {
            this.size -= 1;
        }
    }

    /** A reader that yields the waiting jobs of the class in order of service. */
    read(now: number, take: JobClass): () => Waiting | undefined {
        const readers = this.buckets.map((bucket, index) =>
            bucket.size === 0 || !isTaken(index, take) ? undefined : bucket.values()
        );
        const heads = readers.map(reader => reader?.next().value);
        return () => {
            const index = firstOf(heads, now);
            const head = heads[index];
            heads[index] = readers[index]?.next().value;
            return head;
        };
    }

    private bucketOf(waiting: Waiting): Map<string, Waiting> {
        return this.buckets[2 * waiting.level + (opensTree(waiting.job) ? 1 : 0)]!;
    }
}

function isTaken(bucket: number, take: JobClass): boolean {
    return take === "all" || (take === "opening") === (bucket % 2 === 1);
}

function firstOf(heads: readonly (Waiting | undefined)[], now: number): number {
    let first = 0;
    let lowest = Infinity;
    for (let index = 0; index < heads.length; index += 1) {
        const head = heads[index];
        const rank = head === undefined ? Infinity : 2 * agedLevel(head, now) + (opensTree(head.job) ? 1 : 0);
        if (rank < lowest) {
            lowest = rank;
            first = index;
        }
    }
    return first;
}

interface Reader {
    readonly read: () => Waiting | undefined;
    blocked: number;
}

/** The queue of one model: plans by weighted deficit, then levels within the plan. */
export class WaitingQueue {
    private readonly plans = new Map<string, PlanQueue>();
    private readonly backlogged = new Set<PlanQueue>();
    /** Service of the plan served last; a plan that was idle starts here, so that it cannot save up service. */
    private floor = 0;

    constructor(private readonly weightOf: (plan: string) => number) {}

    add(waiting: Waiting): void {
        const plan = this.planOf(waiting.job.plan);
        if (plan.size === 0) {
            plan.served = Math.max(plan.served, this.floor);
            this.backlogged.add(plan);
        }
        plan.add(waiting);
    }

    remove(waiting: Waiting): void {
        const plan = this.planOf(waiting.job.plan);
        plan.remove(waiting);
        if (plan.size === 0) {
            this.backlogged.delete(plan);
            if (plan.served <= this.floor) {
                this.plans.delete(waiting.job.plan);
            }
        }
    }

    /** Counts service towards the plan: an estimate at dispatch, and the difference at the end. */
    charge(plan: string, tokens: number): void {
        this.planOf(plan).served += tokens / this.weightOf(plan);
    }

    /** Offers waiting jobs in order of service until none is left or the offers are blocked. */
    offer(now: number, take: JobClass, accept: (waiting: Waiting) => Offer): void {
        const readers = new Map<PlanQueue, Reader>();
        const open = new Set(this.backlogged);
        let blocked = 0;
        while (open.size > 0 && blocked < blockedPerRound) {
            const plan = leastServed(open);
            const reader = readers.get(plan) ?? { read: plan.read(now, take), blocked: 0 };
            readers.set(plan, reader);
            const waiting = reader.read();
            if (waiting === undefined) {
                open.delete(plan);
                continue;
            }
            const before = plan.served;
            const outcome = accept(waiting);
            if (outcome === "full") {
                return;
            }
            if (outcome === "placed") {
                this.floor = Math.max(this.floor, before);
                this.remove(waiting);
                continue;
            }
            blocked += 1;
            reader.blocked += 1;
            if (outcome === "closed" || reader.blocked >= blockedPerPlan) {
                open.delete(plan);
            }
        }
    }

    private planOf(name: string): PlanQueue {
        let plan = this.plans.get(name);
        if (plan === undefined) {
            plan = new PlanQueue();
            plan.served = this.floor;
            this.plans.set(name, plan);
        }
        return plan;
    }
}

function leastServed(plans: Iterable<PlanQueue>): PlanQueue {
    let least: PlanQueue | undefined;
    for (const plan of plans) {
        if (least === undefined || plan.served < least.served) {
            least = plan;
        }
    }
    return least!;
}
