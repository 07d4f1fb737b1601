import type { Refusal } from "./code.ts";

/** A model call that waits for an engine or runs on one. Tokens are estimates until the call has finished. */
export interface Job {
    readonly id: string;
    readonly plan: string;
    /** Key of the program, `<plan>/<program>`. */
    readonly program: string;
    /** Key of the root of the program tree; attained service counts there. */
    readonly root: string;
    readonly model: string;
    /** Tokens of the whole prompt: the history and what is new. */
    readonly promptTokens: number;
    /** Tokens of the prompt that no engine has seen. */
    readonly newTokens: number;
    readonly maxTokens: number;
    /** The first call of a program, which may be refused where calls of programs under way go on. */
    readonly firstCall: boolean;
    /** The call may be dispatched again after a failure. */
    readonly repeatable: boolean;
    /** Upstreams that already failed this call. */
    readonly excluded: readonly string[];
}

/** A live model engine that this daemon may use. */
export interface Engine {
    readonly name: string;
    readonly dataCentre: string;
    readonly models: readonly string[];
    /** A leaving engine gets no new work. */
    readonly leaving: boolean;
}

/** What an engine says of itself; it lags behind. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    /** Tokens of prefixes held and the most it can hold. */
    readonly cachedTokens?: number;
    readonly cacheCapacity?: number;
}

/** What an engine says of its cache; events come late and with gaps. */
export interface CacheEvent {
    readonly kind: "stored" | "evicted";
    /** Key of the program whose prefix it is. */
    readonly program: string;
    readonly tokens: number;
}

/** The decision to run a job on an engine now. A lower priority number is served first. */
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
    /** Takes back a job that waits. */
    withdraw(job: string, now: number): void;
    /** The jobs to start now; each counts as in flight from here. */
    nextAssignments(now: number): readonly Assignment[];
    /** When `next` is to be asked again although nothing else happens. */
    nextCheckAt(now: number): number | undefined;
    /** The first token of a job in flight arrived. */
    recordFirstToken(job: string, now: number): void;
    /** More tokens of a job in flight arrived. */
    recordTokens(job: string, tokens: number, now: number): void;
    /** A job in flight ended. */
    finish(job: string, result: JobResult, now: number): void;
    recordLoad(engine: string, report: LoadReport, now: number): void;
    recordCacheEvent(engine: string, event: CacheEvent, now: number): void;
    /** Calls in flight per engine of another daemon, from its heartbeat; they replace the daemon's last counts. */
    setPeerCounts(daemon: string, inFlight: Readonly<Record<string, number>>, now: number): void;
    /** A program ended; its state is dropped. Returns the engines that may hold its cache. */
    endProgram(program: string, now: number): readonly string[];
    /** Service in tokens that a program tree has received elsewhere, after its owner changed. */
    restoreProgram(program: string, root: string, tokens: number, engine: string | undefined, now: number): void;
    /** Jobs that wait, for metrics. */
    waitingCount(): number;
}
