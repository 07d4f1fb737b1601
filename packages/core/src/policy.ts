import type { Refusal } from "./code.ts";

/** A model call that waits for an engine or runs on one. Tokens are estimates until the call has finished. */
export interface Job {
    readonly id: string;
    readonly plan: string;
    /** Key of the program, `<plan>/<program>`. */
    readonly program: string;
    /** Key of the root program of the program tree, to which attained service is charged. */
    readonly root: string;
    readonly model: string;
    /** Tokens of the whole prompt: the history and the new messages. */
    readonly promptTokens: number;
    /** Prompt tokens that no engine has processed yet. */
    readonly newTokens: number;
    readonly maxTokens: number;
    /** Whether this is the first call of its program. Under overload, first calls are refused before later ones. */
    readonly firstCall: boolean;
    /** Whether the call may be dispatched again after a failure. */
    readonly repeatable: boolean;
    /** Upstreams that already failed this call. */
    readonly excluded: readonly string[];
}

/** A live model engine that this daemon may use. */
export interface Engine {
    readonly name: string;
    readonly dataCentre: string;
    readonly models: readonly string[];
    /** A leaving engine gets no new calls. */
    readonly leaving: boolean;
}

/** The load that an engine reports. Reports lag behind the actual state. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    /** Tokens in the prefix cache, and its capacity in tokens. */
    readonly cachedTokens?: number;
    readonly cacheCapacity?: number;
}

/** A change of an engine's prefix cache. Events arrive late, and some are lost. */
export interface CacheEvent {
    readonly kind: "stored" | "evicted";
    /** Key of the program that the prefix belongs to. */
    readonly program: string;
    readonly tokens: number;
}

/** The decision to run a job on an engine now. Lower priority numbers are served first. */
export interface Assignment {
    readonly job: Job;
    readonly engine: string;
    readonly priority: number;
}

/** How a job ended. `failed` counts against the health of the engine, `cancelled` does not. */
export interface JobResult {
    readonly outcome: "done" | "failed" | "cancelled";
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly tokens: number;
}

/**
 * Decides which call runs next, on which engine and at which priority, and which is refused.
 * Synchronous and without effects: the daemon reports what it observes and carries out the assignments.
 * All times are milliseconds of one monotonic clock.
 */
export interface Policy {
    /** Replaces the set of engines. */
    setEngines(engines: readonly Engine[], now: number): void;
    /** Queues a job, or refuses it at once; a refused job has not run. */
    submit(job: Job, now: number): Refusal | undefined;
    /** Removes a waiting job from the queue. */
    withdraw(job: string, now: number): void;
    /** Takes the jobs to start now from the queue; each counts as in flight from then on. */
    nextAssignments(now: number): readonly Assignment[];
    /** When to call `nextAssignments` again if nothing else happens before. */
    nextCheckAt(now: number): number | undefined;
    /** The first token of a job in flight arrived. */
    recordFirstToken(job: string, now: number): void;
    /** More tokens of a job in flight arrived. */
    recordTokens(job: string, tokens: number, now: number): void;
    /** A job in flight ended. */
    finish(job: string, result: JobResult, now: number): void;
    recordLoad(engine: string, report: LoadReport, now: number): void;
    recordCacheEvent(engine: string, event: CacheEvent, now: number): void;
    /** Replaces another daemon's counts of calls in flight per engine, as received with its heartbeat. */
    setPeerCounts(daemon: string, inFlight: Readonly<Record<string, number>>, now: number): void;
    /** Drops the state of a program that ended. Returns the engines that may hold its cached prefix. */
    endProgram(program: string, now: number): readonly string[];
    /** Restores the attained service, in tokens, of a program whose previous owner was another daemon. */
    restoreProgram(program: string, root: string, tokens: number, engine: string | undefined, now: number): void;
    /** Number of waiting jobs, for metrics. */
    waitingCount(): number;
}
