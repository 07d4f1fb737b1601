import type { Job } from "../policy.ts";

/** Number of priority levels; level 0 is served first. */
export const levelCount = 8;

/** Attained tokens below which a program tree stays in level 0; the bound doubles with each level. */
const levelZeroTokens = 1_024;

/** A waiting call moves one level up per interval, which prevents starvation. */
const ageingIntervalMs = 10_000;

/** The level for a number of attained tokens; bounds are powers of two. */
export function levelForTokens(tokens: number): number {
    return Math.min(levelCount - 1, 32 - Math.clz32(Math.floor(tokens / levelZeroTokens)));
}

/** Whether the job is the first call of a program tree. The first call of a sub-agent belongs to an active tree. */
export function startsTree(job: Job): boolean {
    return job.firstCall && job.root === job.program;
}

interface ProgramTree {
    tokens: number;
    programCount: number;
}

/** Attained service in tokens per program tree; sub-agents are charged to their root. */
export class AttainedService {
    private readonly treeByRoot = new Map<string, ProgramTree>();
    private readonly rootByProgram = new Map<string, string>();

    /** Adds a program to the tree of its root, unless it is in one already. */
    addProgram(program: string, root: string): void {
        if (!this.rootByProgram.has(program)) {
            this.rootByProgram.set(program, root);
            const tree = this.treeByRoot.get(root) ?? { tokens: 0, programCount: 0 };
            tree.programCount += 1;
            this.treeByRoot.set(root, tree);
        }
    }

    charge(root: string, tokens: number): void {
        const tree = this.treeByRoot.get(root);
        if (tree !== undefined) {
            tree.tokens += tokens;
        }
    }

    level(root: string): number {
        return levelForTokens(this.treeByRoot.get(root)?.tokens ?? 0);
    }

    /** Removes a program, and its tree when no program of it is left. */
    endProgram(program: string): void {
        const root = this.rootByProgram.get(program);
        const tree = root === undefined ? undefined : this.treeByRoot.get(root);
        if (root === undefined || tree === undefined) {
            return;
        }
        this.rootByProgram.delete(program);
        tree.programCount -= 1;
        if (tree.programCount === 0) {
            this.treeByRoot.delete(root);
        }
    }
}

/** A job in the queue. */
export interface WaitingJob {
    readonly job: Job;
    /** Level at the time it was queued, before ageing. */
    readonly level: number;
    readonly queuedAt: number;
}

/**
 * Result of offering a job for placement: `placed` removes it from the queue, `blocked` keeps it, `closed` keeps it and
 * skips the rest of its plan, `full` keeps it and ends the round.
 */
export type OfferResult = "placed" | "blocked" | "closed" | "full";

/** Which waiting jobs are offered: first calls of program trees, calls of active ones, or both in order of level. */
export type JobClass = "firstCalls" | "active" | "all";

/** The level of a waiting job after ageing. */
export function agedLevel(waiting: WaitingJob, now: number): number {
    return Math.max(0, waiting.level - Math.floor((now - waiting.queuedAt) / ageingIntervalMs));
}

/** Blocked jobs per plan and per round after which the rest waits for the next round; bounds the cost of a round. */
const maxBlockedPerPlan = 8;
const maxBlockedPerRound = 32;

/** Waiting jobs of one plan: two buckets per level, for calls of active programs and, after them, first calls. */
class PlanQueue {
    /** Tokens served, divided by the weight of the plan. */
    weightedService = 0;
    size = 0;
    private readonly bucketsByRank = Array.from({ length: 2 * levelCount }, () => new Map<string, WaitingJob>());

    add(waiting: WaitingJob): void {
        this.bucketFor(waiting).set(waiting.job.id, waiting);
        this.size += 1;
    }

    remove(waiting: WaitingJob): void {
        if (this.bucketFor(waiting).delete(waiting.job.id)) {
            this.size -= 1;
        }
    }

    /** Returns a function that yields the waiting jobs of the class one by one, in the order to serve them. */
    createReader(now: number, jobClass: JobClass): () => WaitingJob | undefined {
        const iterators = this.bucketsByRank.map((bucket, index) =>
            bucket.size === 0 || !isInClass(index, jobClass) ? undefined : bucket.values()
        );
        const heads = iterators.map(iterator => iterator?.next().value);
        return () => {
            const index = indexOfLowestRank(heads, now);
            const head = heads[index];
            heads[index] = iterators[index]?.next().value;
            return head;
        };
    }

    private bucketFor(waiting: WaitingJob): Map<string, WaitingJob> {
        return this.bucketsByRank[2 * waiting.level + (startsTree(waiting.job) ? 1 : 0)]!;
    }
}

function isInClass(bucket: number, jobClass: JobClass): boolean {
    return jobClass === "all" || (jobClass === "firstCalls") === (bucket % 2 === 1);
}

function indexOfLowestRank(heads: readonly (WaitingJob | undefined)[], now: number): number {
    let lowestIndex = 0;
    let lowestRank = Infinity;
    for (let index = 0; index < heads.length; index += 1) {
        const head = heads[index];
        const rank = head === undefined ? Infinity : 2 * agedLevel(head, now) + (startsTree(head.job) ? 1 : 0);
        if (rank < lowestRank) {
            lowestRank = rank;
            lowestIndex = index;
        }
    }
    return lowestIndex;
}

interface PlanReader {
    readonly next: () => WaitingJob | undefined;
    blockedCount: number;
}

/** The queue of one model: weighted fair queueing among plans, then by level within a plan. */
export class WaitingQueue {
    private readonly plans = new Map<string, PlanQueue>();
    private readonly backlogged = new Set<PlanQueue>();
    /** Weighted service of the plan served last. A plan that was idle restarts here, so it cannot save up service. */
    private virtualTime = 0;

    constructor(private readonly weightOf: (plan: string) => number) {}

    add(waiting: WaitingJob): void {
        const plan = this.planQueue(waiting.job.plan);
        if (plan.size === 0) {
            plan.weightedService = Math.max(plan.weightedService, this.virtualTime);
            this.backlogged.add(plan);
        }
        plan.add(waiting);
    }

    remove(waiting: WaitingJob): void {
        const plan = this.planQueue(waiting.job.plan);
        plan.remove(waiting);
        if (plan.size === 0) {
            this.backlogged.delete(plan);
            if (plan.weightedService <= this.virtualTime) {
                this.plans.delete(waiting.job.plan);
            }
        }
    }

    /** Charges tokens to the plan: an estimate at dispatch, and the difference from the actual number at the end. */
    charge(plan: string, tokens: number): void {
        this.planQueue(plan).weightedService += tokens / this.weightOf(plan);
    }

    /** Offers waiting jobs to `tryPlace` in the order to serve them, until none is left or the round ends. */
    offer(now: number, jobClass: JobClass, tryPlace: (waiting: WaitingJob) => OfferResult): void {
        const readers = new Map<PlanQueue, PlanReader>();
        const remainingPlans = new Set(this.backlogged);
        let blockedCount = 0;
        while (remainingPlans.size > 0 && blockedCount < maxBlockedPerRound) {
            const plan = leastServed(remainingPlans);
            const reader = readers.get(plan) ?? { next: plan.createReader(now, jobClass), blockedCount: 0 };
            readers.set(plan, reader);
            const waiting = reader.next();
            if (waiting === undefined) {
                remainingPlans.delete(plan);
                continue;
            }
            const serviceBefore = plan.weightedService;
            const result = tryPlace(waiting);
            if (result === "full") {
                return;
            }
            if (result === "placed") {
                this.virtualTime = Math.max(this.virtualTime, serviceBefore);
                this.remove(waiting);
                continue;
            }
            blockedCount += 1;
            reader.blockedCount += 1;
            if (result === "closed" || reader.blockedCount >= maxBlockedPerPlan) {
                remainingPlans.delete(plan);
            }
        }
    }

    private planQueue(name: string): PlanQueue {
        let plan = this.plans.get(name);
        if (plan === undefined) {
            plan = new PlanQueue();
            plan.weightedService = this.virtualTime;
            this.plans.set(name, plan);
        }
        return plan;
    }
}

function leastServed(plans: Iterable<PlanQueue>): PlanQueue {
    let leastServedPlan: PlanQueue | undefined;
    for (const plan of plans) {
        if (leastServedPlan === undefined || plan.weightedService < leastServedPlan.weightedService) {
            leastServedPlan = plan;
        }
    }
    return leastServedPlan!;
}
