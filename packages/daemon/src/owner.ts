import { decideCall, enginesOf, openProgram, partitionOf, partitionsOf, refuse, verifySeal } from "@tamarackgauge/core";
import type { AnswerEvent, Call, Clock, Ownership, Policy, ProgramStep, Refusal, Seal } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import type { Timeline } from "@tamarackgauge/timeline";
import createDebug from "debug";
import type { Budgets } from "./budgets.ts";
import type { Committer } from "./committer.ts";
import { createCompactor } from "./compactor.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { createFinisher } from "./finish.ts";
import { createModelRunner } from "./modelRun.ts";
import { applySteps, createPartition, createProgramState, recover, trackSegment,
    wakeWaitingCalls } from "./partition.ts";
import type { Partition, ProgramState } from "./partition.ts";
import type { CacheReleaser } from "./releases.ts";
import { createRunningCall, movedRefusal } from "./running.ts";
import type { RunningCall } from "./running.ts";
import type { Services } from "./services.ts";
import { createStarter } from "./starter.ts";
import { createToolRunner } from "./toolRun.ts";
import { waitForAbort } from "./wait.ts";

const log = createDebug("tamarackgauge:owner");

/** Runs the calls of the programs in the partitions that this daemon owns. */
export interface Owner {
    serve(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent>;
    /** Ends a program; undefined on success. */
    endProgram(plan: string, program: string): Promise<Refusal | undefined>;
    /** Whether a program occupies a slot of its plan; its sub-agents then need no slots of their own. */
    isActive(key: string): Promise<boolean>;
    /** Applies a new ownership map: recovers partitions that were gained and drops those that were lost. */
    setMap(map: Ownership): void;
    /**
     * Prepares partitions for a hand-over: refuses new calls, waits for the calls that cannot move until the signal
     * aborts, and stops the others. Returns the partitions that are idle; nothing more is written to their journals.
     */
    drain(partitions: readonly number[], signal: AbortSignal): Promise<readonly number[]>;
    /** Serves drained partitions again that were not handed over. */
    resume(partitions: readonly number[]): void;
    /** Stops all calls and drops all programs after the lease was lost. */
    abandon(): void;
    /** Number of programs in memory, for metrics. */
    programCount(): number;
    /**
     * Whether a program exists and has not ended; undefined if its partition is not owned by this daemon, is being
     * handed over or is still being recovered.
     */
    isLive(key: string): boolean | undefined;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the owner; times in milliseconds. */
export interface OwnerOptions {
    readonly name: string;
    readonly table: Table;
    readonly committer: Committer;
    readonly budgets: Budgets;
    readonly dispatcher: Dispatcher;
    readonly policy: Policy;
    readonly services: Services;
    readonly cacheReleaser: CacheReleaser;
    readonly timeline: Timeline;
    readonly clock: Clock;
    readonly partitions: number;
    readonly sealKey: string;
    readonly turnLimit: number;
    readonly idleTimeout: number;
    readonly toolTimeout: number;
    /** Checks lease, store and queued bytes: the refusal of a call, or undefined if it can be served now. */
    readonly admit: (atMostOnce: boolean) => Refusal | undefined;
    /** Whether the parent of a sub-agent is active; another daemon may own the parent. */
    readonly isParentActive: (key: string) => Promise<boolean>;
    /** Estimated number of tokens of a text. */
    readonly tokensOf: (text: string) => number;
}

/** Maximum number of calls of one program that wait for an earlier call. */
const maxWaitingCalls = 16;
/** How long a call waits for an earlier call that has not arrived. */
const sequenceGapTimeoutMs = 30_000;
/** A repeatable call without readers is stopped after this time; until then its caller can reconnect. */
const readerlessCallTimeoutMs = 15_000;
/** How long the recorded answers of an ended program remain available. */
const endedProgramRetentionMs = 600_000;
const sweepIntervalMs = 1_000;

/** Creates the owner role of a daemon's incarnation. */
export function createOwner(options: OwnerOptions): Owner {
    const { committer, clock, timeline, policy, budgets, cacheReleaser } = options;
    const ownedPartitions = new Map<number, Partition>();
    const record = (call: Call, event: Parameters<Timeline["record"]>[0]["event"], cause: string, fields = {}) =>
        timeline.record({
            part: "owner",
            event,
            program: keyOf(call),
            request: call.request,
            ...cause === "" ? {} : { cause },
            fields,
        });
    const finisher = createFinisher({ ...options, save, closeProgram });
    const starter = createStarter({ ...options, finisher, record, save, isSubAgent });
    const runModel = createModelRunner({ ...options, finisher, starter, record });
    const runTool = createToolRunner({ ...options, finisher, starter, record });
    const compactor = createCompactor(committer);
    const sweeper = setInterval(sweep, sweepIntervalMs);

    async function* serve(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
        const partition = ownedPartitions.get(partitionOf(keyOf(call), options.partitions));
        const refusal = await waitUntilReady(partition);
        if (refusal !== undefined || partition === undefined) {
            yield { type: "refused", refusal: refusal ?? movedRefusal("the partition has moved") };
            return;
        }
        const state = stateOf(partition, call);
        const started = await findOrStart(partition, state, call, signal);
        if ("code" in started) {
            yield { type: "refused", refusal: started };
            return;
        }
        if (call.offset > started.answer.text().length && !started.answer.finished()) {
            yield { type: "refused", refusal: refuse("partial_lost", "unknown") };
            return;
        }
        yield* started.answer.read(call.offset, signal);
    }

    async function waitUntilReady(partition: Partition | undefined): Promise<Refusal | undefined> {
        if (partition === undefined || partition.draining || partition.lost) {
            return movedRefusal("the partition has moved");
        }
        try {
            await partition.ready;
        }
        catch {
            return movedRefusal("the partition has moved");
        }
        return partition.draining || partition.lost ? movedRefusal("the partition has moved") : undefined;
    }

    function stateOf(partition: Partition, call: Call): ProgramState {
        const key = keyOf(call);
        let state = partition.programs.get(key);
        if (state === undefined) {
            const parent = call.parent === undefined ? undefined : `${call.plan}/${call.parent}`;
            state = createProgramState(openProgram(key, call.plan, parent), false, clock.monotonic());
            partition.programs.set(key, state);
        }
        state.lastActiveAt = clock.monotonic();
        return state;
    }

    /** Finds the running or finished call with the same identity, or starts the call after all earlier ones. */
    async function findOrStart(
        partition: Partition,
        state: ProgramState,
        call: Call,
        signal: AbortSignal,
    ): Promise<{ readonly answer: RunningCall["answer"]; } | Refusal> {
        const deadline = clock.monotonic() + sequenceGapTimeoutMs;
        for (;;) {
            if (partition.draining || partition.lost) {
                return movedRefusal("the partition has moved");
            }
            const runningCall = state.running;
            if (runningCall?.call.request === call.request) {
                return runningCall.call.digest === call.digest ? runningCall : refuse("identity_reused", "notRun");
            }
            const historyRefusal = restoreHistory(partition, state, call);
            if (historyRefusal !== undefined) {
                return historyRefusal;
            }
            const decision = decideCall(state.program, call, options.turnLimit);
            if (decision.type === "refuse") {
                return handleRefusal(partition, state, call, decision.refusal);
            }
            if (decision.type === "replay") {
                return { answer: finisher.replayAnswer(state, decision.turn) };
            }
            if (decision.type === "run" && state.running === undefined) {
                return options.admit(call.atMostOnce) ?? startCall(partition, state, call, decision.sequence);
            }
            const refusal = await waitForTurn(state, call, deadline, signal);
            if (refusal !== undefined) {
                return refusal;
            }
        }
    }

    function handleRefusal(partition: Partition, state: ProgramState, call: Call, refusal: Refusal): Refusal {
        if (refusal.name === "turn_limit" && !state.program.ended) {
            log("%s reached its turn limit and is ended.", state.program.key);
            closeProgram(partition, state, call);
        }
        return refusal;
    }

    async function waitForTurn(state: ProgramState, call: Call, deadline: number, signal: AbortSignal) {
        if (state.wakeCallbacks.size >= maxWaitingCalls) {
            return refuse("too_many_waiting", "notRun", undefined, 1_000);
        }
        const isBusy = state.running !== undefined;
        const remainingMs = deadline - clock.monotonic();
        if (!isBusy && remainingMs <= 0) {
            return refuse("sequence_gap", "notRun", `the next is ${state.program.nextSequence}`);
        }
        record(call, "callWaiting", call.trace?.cause ?? "", { expected: state.program.nextSequence });
        await new Promise<void>(resolve => {
            const wake = () => {
                clearTimeout(timer);
                signal.removeEventListener("abort", wake);
                state.wakeCallbacks.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, isBusy ? sequenceGapTimeoutMs : Math.max(1, remainingMs));
            state.wakeCallbacks.add(wake);
            signal.addEventListener("abort", wake, { once: true });
        });
        return signal.aborted ? refuse("deadline", "notRun", "the caller has left") : undefined;
    }

    /**
     * Restores history that was delivered to the caller but lost before it was stored. The caller sends it again with
     * its seal, which proves that the history is genuine.
     */
    function restoreHistory(partition: Partition, state: ProgramState, call: Call): Refusal | undefined {
        const history = call.target.kind === "model" ? call.target.history : undefined;
        const text = history?.seal ?? call.seal;
        const seal = text === undefined ? undefined : verifySeal(options.sealKey, state.program.key, text);
        if (seal === undefined || state.running !== undefined || isCovered(state, seal)) {
            return undefined;
        }
        const messages = history?.messages;
        if (messages === undefined) {
            return refuse("history_needed", "notRun", `it ends before call ${seal.sequence}`);
        }
        const { key, plan, parent } = state.program;
        const restored = createProgramState(openProgram(key, plan, parent), false, clock.monotonic());
        const step: ProgramStep = { type: "restore", program: key, sequence: seal.sequence, messages: [...messages] };
        applySteps(restored, [step]);
        if (restored.digest !== seal.digest) {
            return refuse("history_needed", "notRun", "the history does not match its seal");
        }
        save(partition, state, [...finisher.openSteps(state), step]).catch(() => undefined);
        return undefined;
    }

    /**
     * Whether the program already contains the sealed history. A call with an unknown outcome advances the sequence
     * number without adding messages, so the digest is compared as well.
     */
    function isCovered(state: ProgramState, seal: Seal): boolean {
        const { nextSequence } = state.program;
        return seal.sequence < nextSequence || (seal.sequence === nextSequence && seal.digest === state.digest);
    }

    async function startCall(partition: Partition, state: ProgramState, call: Call,
        sequence: number): Promise<RunningCall> {
        const cause = record(call, "callAccepted", call.trace?.cause ?? "", { sequence });
        const running = createRunningCall(call, sequence, cause);
        state.running = running;
        const work = call.target.kind === "model"
            ? runModel(partition, state, running, call.target)
            : runTool(partition, state, running, call.target);
        void work
            .catch((error: unknown) => {
                log("A call failed with an unexpected error: %o.", error);
                const refusal = partition.lost || committer.fenced()
                    ? movedRefusal("ownership was lost", "unknown")
                    : refuse("internal", "unknown");
                running.answer.finish({ type: "refused", refusal });
            })
            .finally(() => {
                finisher.recordUnknownOutcome(partition, state);
                state.running = undefined;
                state.lastActiveAt = clock.monotonic();
                wakeWaitingCalls(state);
            });
        return running;
    }

    /** Applies steps in memory and appends them to the journal; resolves when they are stored. */
    function save(partition: Partition, state: ProgramState, steps: readonly ProgramStep[]): Promise<void> {
        if (partition.lost || partition.closed) {
            return Promise.reject(new Error("the partition has moved"));
        }
        applySteps(state, steps);
        return committer.append(partition.number, steps).then(segment => {
            trackSegment(partition, segment.number, segment.bytes, state.program.key);
        });
    }

    function closeProgram(partition: Partition, state: ProgramState, call?: Call): void {
        if (state.program.ended) {
            return;
        }
        const { key } = state.program;
        if (state.hasSlot) {
            state.hasSlot = false;
            budgets.freeSlot(state.program.plan);
        }
        save(partition, state, [...finisher.openSteps(state), { type: "end", program: key, at: clock.wall() }]).catch(
            () => undefined,
        );
        timeline.record({ part: "owner", event: "programEnded", program: key, ...causeOf(call) });
        releaseCache(partition, state);
    }

    function releaseCache(partition: Partition, state: ProgramState): void {
        const { key } = state.program;
        const engines = [...new Set([...enginesOf(state.program), ...policy.endProgram(key, clock.monotonic())])];
        cacheReleaser.release(key, engines, () => {
            timeline.record({ part: "owner", event: "cacheReleased", program: key });
            save(partition, state, [{ type: "released", program: key }]).catch(() => undefined);
        });
    }

    function setMap(map: Ownership): void {
        const ownNumbers = new Set(partitionsOf(map, options.name));
        for (const [number, partition] of ownedPartitions) {
            if (!ownNumbers.has(number)) {
                dropPartition(partition);
                ownedPartitions.delete(number);
            }
        }
        for (const number of ownNumbers) {
            if (!ownedPartitions.has(number)) {
                ownedPartitions.set(number, acquirePartition(number));
            }
        }
    }

    function acquirePartition(number: number): Partition {
        const partition = createPartition(number);
        partition.ready = recover(partition, options.table, committer, clock.monotonic()).then(() =>
            restorePrograms(partition)
        );
        partition.ready.catch((error: unknown) => log("Partition %d could not be recovered: %s.", number, error));
        return partition;
    }

    /** After recovery: restores the attained service of the programs in the policy and resumes cache releases. */
    function restorePrograms(partition: Partition): void {
        for (const state of partition.programs.values()) {
            // If the previous owner failed between intent and outcome, the call may have run, so it must not run again.
            finisher.recordUnknownOutcome(partition, state);
            const { program } = state;
            if (program.ended && !program.released) {
                releaseCache(partition, state);
            }
            else if (!program.ended) {
                finisher.restorePolicy(program);
                timeline.record({
                    part: "owner",
                    event: "programRestored",
                    program: program.key,
                    fields: { turns: program.turns.length },
                });
            }
        }
    }

    function dropPartition(partition: Partition): void {
        partition.lost = true;
        for (const state of partition.programs.values()) {
            state.running?.stop(movedRefusal("the partition has moved", "unknown"));
            if (state.hasSlot) {
                state.hasSlot = false;
                budgets.freeSlot(state.program.plan);
            }
            wakeWaitingCalls(state);
        }
    }

    async function drain(numbers: readonly number[], signal: AbortSignal): Promise<readonly number[]> {
        const partitions = numbers.flatMap(number => ownedPartitions.get(number) ?? []);
        for (const partition of partitions) {
            partition.draining = true;
            partition.programs.forEach(wakeWaitingCalls);
        }
        const timedOut = waitForAbort(signal);
        const idleFlags = await Promise.all(partitions.map(partition => drainPartition(partition, timedOut)));
        const idlePartitions = partitions.filter((_, index) => idleFlags[index]);
        // The hand-over is queued behind all earlier writes. A later write could overwrite journal segments of the next
        // owner.
        idlePartitions.forEach(partition => {
            partition.closed = true;
        });
        await Promise.race([committer.flush().catch(() => undefined), timedOut]);
        return idlePartitions.map(partition => partition.number);
    }

    /** Waits for calls that cannot move, then stops the others, which continue at the next owner. False on timeout. */
    async function drainPartition(partition: Partition, timedOut: Promise<void>): Promise<boolean> {
        await Promise.race([partition.ready.catch(() => undefined), timedOut]);
        const runningCalls = () => [...partition.programs.values()].flatMap(state => state.running ?? []);
        const unmovableCalls = () => runningCalls().filter(each => !each.movable && !each.answer.finished());
        await Promise.race([Promise.all(unmovableCalls().map(each => each.answer.done)), timedOut]);
        if (unmovableCalls().length > 0) {
            return false;
        }
        runningCalls().forEach(each => each.stop(movedRefusal("the partition is handed over", "unknown")));
        return true;
    }

    function resume(numbers: readonly number[]): void {
        for (const number of numbers) {
            const partition = ownedPartitions.get(number);
            if (partition !== undefined) {
                partition.draining = false;
                partition.closed = false;
            }
        }
    }

    function abandon(): void {
        ownedPartitions.forEach(dropPartition);
        ownedPartitions.clear();
    }

    function sweep(): void {
        const now = clock.monotonic();
        for (const partition of ownedPartitions.values()) {
            if (!partition.lost && !partition.draining) {
                partition.programs.forEach(state => sweepProgram(partition, state, now));
                compactor.deleteUnusedSegments(partition);
                void compactor.compact(partition);
            }
        }
    }

    function sweepProgram(partition: Partition, state: ProgramState, now: number): void {
        const { running, program } = state;
        if (running !== undefined) {
            if (running.answer.readerCount() > 0) {
                state.lastActiveAt = now;
            }
            else if (running.movable && now - state.lastActiveAt > readerlessCallTimeoutMs) {
                running.stop(refuse("deadline", "unknown", "the caller has left"));
            }
            return;
        }
        if (!state.opened && state.wakeCallbacks.size === 0) {
            // All its calls were refused, so the journal contains nothing about the program.
            partition.programs.delete(program.key);
        }
        else if (program.ended) {
            if (program.released && clock.wall() - (program.endedAt ?? 0) > endedProgramRetentionMs) {
                partition.programs.delete(program.key);
            }
        }
        else if (now - state.lastActiveAt > options.idleTimeout) {
            closeProgram(partition, state);
        }
    }

    async function endProgram(plan: string, program: string): Promise<Refusal | undefined> {
        const key = `${plan}/${program}`;
        const partition = ownedPartitions.get(partitionOf(key, options.partitions));
        const refusal = await waitUntilReady(partition);
        if (refusal !== undefined || partition === undefined) {
            return refusal ?? movedRefusal("the partition has moved");
        }
        const state = partition.programs.get(key);
        if (state === undefined) {
            return refuse("program_unknown", "notRun");
        }
        if (state.running !== undefined) {
            state.running.stop(refuse("program_ended", "unknown"));
            await state.running.answer.done;
            if (partition.lost || partition.closed) {
                return movedRefusal("the partition has moved");
            }
        }
        closeProgram(partition, state);
        return undefined;
    }

    async function isActive(key: string): Promise<boolean> {
        const partition = ownedPartitions.get(partitionOf(key, options.partitions));
        await partition?.ready;
        return partition?.programs.get(key)?.hasSlot ?? false;
    }

    async function isSubAgent(state: ProgramState): Promise<boolean> {
        const { parent } = state.program;
        return parent !== undefined && await options.isParentActive(parent).catch(() => false);
    }

    function isLive(key: string): boolean | undefined {
        const partition = ownedPartitions.get(partitionOf(key, options.partitions));
        if (partition === undefined || partition.lost || partition.draining || !partition.recovered) {
            return undefined;
        }
        const state = partition.programs.get(key);
        return state !== undefined && !state.program.ended;
    }

    return {
        serve,
        endProgram,
        isActive,
        setMap,
        drain,
        resume,
        abandon,
        programCount: () => [...ownedPartitions.values()].reduce((sum, partition) => sum + partition.programs.size, 0),
        isLive,
        [Symbol.asyncDispose]: async () => {
            clearInterval(sweeper);
        },
    };
}

function keyOf(call: Call): string {
    return `${call.plan}/${call.program}`;
}

function causeOf(call: Call | undefined): { readonly cause?: string; } {
    return call?.trace === undefined ? {} : { cause: call.trace.cause };
}
