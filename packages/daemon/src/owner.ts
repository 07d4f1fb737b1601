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
import { applySteps, createLive, createPartition, noteSegment, recover, wakeWaiting } from "./partition.ts";
import type { Live, Partition } from "./partition.ts";
import type { Releases } from "./releases.ts";
import { createRunning, movedRefusal } from "./running.ts";
import type { Running } from "./running.ts";
import type { Services } from "./services.ts";
import { createStarter } from "./starter.ts";
import { createToolRunner } from "./toolRun.ts";
import { aborted } from "./wait.ts";

const log = createDebug("tamarackgauge:owner");

/** Runs the calls of the programs in the partitions that this daemon owns. */
export interface Owner {
    serve(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent>;
    /** Ends a program; undefined when done. */
    endProgram(plan: string, program: string): Promise<Refusal | undefined>;
    /** Whether a program has a slot now, so that its sub-agents need none. */
    isActive(key: string): Promise<boolean>;
    /** Takes a new ownership map: partitions come and go. */
    setMap(map: Ownership): void;
    drain(partitions: readonly number[], signal: AbortSignal): Promise<readonly number[]>;
    resume(partitions: readonly number[]): void;
    /** Stops every call and forgets every program: ownership was lost. */
    abandon(): void;
    /** Programs in memory, for metrics. */
    programs(): number;
    /** Keys of programs that may hold engine memory, with the partitions this daemon can speak for. */
    holds(key: string): boolean | undefined;
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
    readonly releases: Releases;
    readonly timeline: Timeline;
    readonly clock: Clock;
    readonly partitions: number;
    readonly sealKey: string;
    readonly turnLimit: number;
    readonly idleTimeout: number;
    readonly toolTimeout: number;
    /** Why a call cannot be served now, judged by lease and store; undefined when it can. */
    readonly gate: (atMostOnce: boolean) => Refusal | undefined;
    /** Whether the parent of a sub-agent is active, wherever it is owned. */
    readonly isParentActive: (key: string) => Promise<boolean>;
    /** Length of a text in tokens, estimated. */
    readonly tokensOf: (text: string) => number;
}

/** Calls of one program that may wait for their turn, and how long for a call that did not arrive. */
const mostWaiting = 16;
const gapTimeout = 30_000;
/** A repeatable call that nobody reads is stopped after this time; its caller may come back until then. */
const abandonTimeout = 15_000;
/** An ended program's answers can be asked for again for this long. */
const retention = 600_000;
const sweepInterval = 1_000;

/** Creates the owner role of a daemon's incarnation. */
export function createOwner(options: OwnerOptions): Owner {
    const { committer, clock, timeline, policy, budgets, releases } = options;
    const owned = new Map<number, Partition>();
    const record = (call: Call, event: Parameters<Timeline["record"]>[0]["event"], cause: string, fields = {}) =>
        timeline.record({
            part: "owner",
            event,
            program: keyOf(call),
            request: call.request,
            ...cause === "" ? {} : { cause },
            fields,
        });
    const finisher = createFinisher({ ...options, save, endLive });
    const starter = createStarter({ ...options, finisher, record, save, isSubAgent });
    const runModel = createModelRunner({ ...options, finisher, starter, record });
    const runTool = createToolRunner({ ...options, finisher, starter, record });
    const compactor = createCompactor(committer);
    const sweeper = setInterval(sweep, sweepInterval);

    async function* serve(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
        const partition = owned.get(partitionOf(keyOf(call), options.partitions));
        const closed = await openPartition(partition);
        if (closed !== undefined || partition === undefined) {
            yield { type: "refused", refusal: closed ?? movedRefusal("the partition has moved") };
            return;
        }
        const live = liveOf(partition, call);
        const started = await startOrFind(partition, live, call, signal);
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

    async function openPartition(partition: Partition | undefined): Promise<Refusal | undefined> {
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

    function liveOf(partition: Partition, call: Call): Live {
        const key = keyOf(call);
        let live = partition.programs.get(key);
        if (live === undefined) {
            const parent = call.parent === undefined ? undefined : `${call.plan}/${call.parent}`;
            live = createLive(openProgram(key, call.plan, parent), false, clock.monotonic());
            partition.programs.set(key, live);
        }
        live.touched = clock.monotonic();
        return live;
    }

    /** Finds the running or finished call of the same identity, or starts the call when it is its turn. */
    async function startOrFind(
        partition: Partition,
        live: Live,
        call: Call,
        signal: AbortSignal,
    ): Promise<{ readonly answer: Running["answer"]; } | Refusal> {
        const deadline = clock.monotonic() + gapTimeout;
        for (;;) {
            if (partition.draining || partition.lost) {
                return movedRefusal("the partition has moved");
            }
            const same = live.running;
            if (same?.call.request === call.request) {
                return same.call.digest === call.digest ? same : refuse("identity_reused", "notRun");
            }
            const lostHistory = restoreHistory(partition, live, call);
            if (lostHistory !== undefined) {
                return lostHistory;
            }
            const ruling = decideCall(live.program, call, options.turnLimit);
            if (ruling.type === "refuse") {
                return refused(partition, live, call, ruling.refusal);
            }
            if (ruling.type === "replay") {
                return { answer: finisher.replay(live, ruling.turn) };
            }
            if (ruling.type === "run" && live.running === undefined) {
                return options.gate(call.atMostOnce) ?? start(partition, live, call, ruling.sequence);
            }
            const problem = await waitForTurn(live, call, deadline, signal);
            if (problem !== undefined) {
                return problem;
            }
        }
    }

    function refused(partition: Partition, live: Live, call: Call, refusal: Refusal): Refusal {
        if (refusal.name === "turn_limit" && !live.program.ended) {
            log("%s used all its turns and ends.", live.program.key);
            endLive(partition, live, call);
        }
        return refusal;
    }

    async function waitForTurn(live: Live, call: Call, deadline: number, signal: AbortSignal) {
        if (live.waiting.size >= mostWaiting) {
            return refuse("too_many_waiting", "notRun", undefined, 1_000);
        }
        const busy = live.running !== undefined;
        const left = deadline - clock.monotonic();
        if (!busy && left <= 0) {
            return refuse("sequence_gap", "notRun", `the next is ${live.program.nextSequence}`);
        }
        record(call, "callWaiting", call.trace?.cause ?? "", { expected: live.program.nextSequence });
        await new Promise<void>(resolve => {
            const wake = () => {
                clearTimeout(timer);
                signal.removeEventListener("abort", wake);
                live.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, busy ? gapTimeout : Math.max(1, left));
            live.waiting.add(wake);
            signal.addEventListener("abort", wake, { once: true });
        });
        return signal.aborted ? refuse("deadline", "notRun", "the caller has left") : undefined;
    }

    /** History that was acknowledged to the caller alone comes back with its seal. */
    function restoreHistory(partition: Partition, live: Live, call: Call): Refusal | undefined {
        const history = call.target.kind === "model" ? call.target.history : undefined;
        const text = history?.seal ?? call.seal;
        const seal = text === undefined ? undefined : verifySeal(options.sealKey, live.program.key, text);
        if (seal === undefined || live.running !== undefined || isCovered(live, seal)) {
            return undefined;
        }
        const messages = history?.messages;
        if (messages === undefined) {
            return refuse("history_needed", "notRun", `it ends before call ${seal.sequence}`);
        }
        const { key, plan, parent } = live.program;
        const restored = createLive(openProgram(key, plan, parent), false, clock.monotonic());
        const step: ProgramStep = { type: "restore", program: key, sequence: seal.sequence, messages: [...messages] };
        applySteps(restored, [step]);
        if (restored.digest !== seal.digest) {
            return refuse("history_needed", "notRun", "the history does not match its seal");
        }
        save(partition, live, [...finisher.openStep(live), step]).catch(() => undefined);
        return undefined;
    }

    /** An outcome that is unknown has a sequence number and no messages, so the digest is compared as well. */
    function isCovered(live: Live, seal: Seal): boolean {
        const { nextSequence: next } = live.program;
        return seal.sequence < next || (seal.sequence === next && seal.digest === live.digest);
    }

    async function start(partition: Partition, live: Live, call: Call, sequence: number): Promise<Running> {
        const cause = record(call, "callAccepted", call.trace?.cause ?? "", { sequence });
        const running = createRunning(call, sequence, cause);
        live.running = running;
        const work = call.target.kind === "model"
            ? runModel(partition, live, running, call.target)
            : runTool(partition, live, running, call.target);
        void work
            .catch((error: unknown) => {
                log("A call failed: %o.", error);
                const refusal = partition.lost || committer.fenced()
                    ? movedRefusal("ownership was lost", "unknown")
                    : refuse("internal", "unknown");
                running.answer.finish({ type: "refused", refusal });
            })
            .finally(() => {
                finisher.closeIntent(partition, live);
                live.running = undefined;
                live.touched = clock.monotonic();
                wakeWaiting(live);
            });
        return running;
    }

    /** Applies steps in memory and queues them for the journal; resolves when they are stored. */
    function save(partition: Partition, live: Live, steps: readonly ProgramStep[]): Promise<void> {
        if (partition.lost || partition.closed) {
            return Promise.reject(new Error("the partition has moved"));
        }
        applySteps(live, steps);
        return committer.append(partition.number, steps).then(segment => {
            noteSegment(partition, segment.number, segment.bytes, live.program.key);
        });
    }

    function endLive(partition: Partition, live: Live, call?: Call): void {
        if (live.program.ended) {
            return;
        }
        const { key } = live.program;
        if (live.slot) {
            live.slot = false;
            budgets.freeSlot(live.program.plan);
        }
        save(partition, live, [...finisher.openStep(live), { type: "end", program: key, at: clock.wall() }]).catch(() =>
            undefined
        );
        timeline.record({ part: "owner", event: "programEnded", program: key, ...causeOf(call) });
        releaseCache(partition, live);
    }

    function releaseCache(partition: Partition, live: Live): void {
        const { key } = live.program;
        const engines = [...new Set([...enginesOf(live.program), ...policy.endProgram(key, clock.monotonic())])];
        releases.release(key, engines, () => {
            timeline.record({ part: "owner", event: "cacheReleased", program: key });
            save(partition, live, [{ type: "released", program: key }]).catch(() => undefined);
        });
    }

    function setMap(map: Ownership): void {
        const mine = new Set(partitionsOf(map, options.name));
        for (const [number, partition] of owned) {
            if (!mine.has(number)) {
                lose(partition);
                owned.delete(number);
            }
        }
        for (const number of mine) {
            if (!owned.has(number)) {
                owned.set(number, take(number));
            }
        }
    }

    function take(number: number): Partition {
        const partition = createPartition(number);
        partition.ready = recover(partition, options.table, committer, clock.monotonic()).then(() => settle(partition));
        partition.ready.catch((error: unknown) => log("Partition %d is not served: %s.", number, error));
        return partition;
    }

    /** After recovery: tells the policy what the programs have received, and finishes releases. */
    function settle(partition: Partition): void {
        for (const live of partition.programs.values()) {
            // The owner before was lost between intent and outcome: the call may have run, and never runs again.
            finisher.closeIntent(partition, live);
            const { program } = live;
            if (program.ended && !program.released) {
                releaseCache(partition, live);
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

    function lose(partition: Partition): void {
        partition.lost = true;
        for (const live of partition.programs.values()) {
            live.running?.stop(movedRefusal("the partition has moved", "unknown"));
            if (live.slot) {
                live.slot = false;
                budgets.freeSlot(live.program.plan);
            }
            wakeWaiting(live);
        }
    }

    async function drain(numbers: readonly number[], signal: AbortSignal): Promise<readonly number[]> {
        const partitions = numbers.flatMap(number => owned.get(number) ?? []);
        for (const partition of partitions) {
            partition.draining = true;
            partition.programs.forEach(wakeWaiting);
        }
        const late = aborted(signal);
        const idle = await Promise.all(partitions.map(partition => drainOne(partition, late)));
        const moving = partitions.filter((_, index) => idle[index]);
        // The hand-over is queued behind what was written so far. What came later could overwrite segments of the
        // next owner.
        moving.forEach(partition => {
            partition.closed = true;
        });
        await Promise.race([committer.flush().catch(() => undefined), late]);
        return moving.map(partition => partition.number);
    }

    /** Waits for calls that cannot move; then interrupts the others, which go on at the next owner. */
    async function drainOne(partition: Partition, late: Promise<void>): Promise<boolean> {
        await Promise.race([partition.ready.catch(() => undefined), late]);
        const running = () => [...partition.programs.values()].flatMap(live => live.running ?? []);
        const fixed = () => running().filter(each => !each.movable && !each.answer.finished());
        await Promise.race([Promise.all(fixed().map(each => each.answer.done)), late]);
        if (fixed().length > 0) {
            return false;
        }
        running().forEach(each => each.stop(movedRefusal("the partition is handed over", "unknown")));
        return true;
    }

    function resume(numbers: readonly number[]): void {
        for (const number of numbers) {
            const partition = owned.get(number);
            if (partition !== undefined) {
                partition.draining = false;
                partition.closed = false;
            }
        }
    }

    function abandon(): void {
        owned.forEach(lose);
        owned.clear();
    }

    function sweep(): void {
        const now = clock.monotonic();
        for (const partition of owned.values()) {
            if (!partition.lost && !partition.draining) {
                partition.programs.forEach(live => sweepProgram(partition, live, now));
                compactor.collect(partition);
                void compactor.compact(partition);
            }
        }
    }

    function sweepProgram(partition: Partition, live: Live, now: number): void {
        const { running, program } = live;
        if (running !== undefined) {
            if (running.answer.readers() > 0) {
                live.touched = now;
            }
            else if (running.movable && now - live.touched > abandonTimeout) {
                running.stop(refuse("deadline", "unknown", "the caller has left"));
            }
            return;
        }
        if (!live.opened && live.waiting.size === 0) {
            // Its calls were refused before anything of it was recorded.
            partition.programs.delete(program.key);
        }
        else if (program.ended) {
            if (program.released && clock.wall() - (program.endedAt ?? 0) > retention) {
                partition.programs.delete(program.key);
            }
        }
        else if (now - live.touched > options.idleTimeout) {
            endLive(partition, live);
        }
    }

    async function endProgram(plan: string, program: string): Promise<Refusal | undefined> {
        const key = `${plan}/${program}`;
        const partition = owned.get(partitionOf(key, options.partitions));
        const closed = await openPartition(partition);
        if (closed !== undefined || partition === undefined) {
            return closed ?? movedRefusal("the partition has moved");
        }
        const live = partition.programs.get(key);
        if (live === undefined) {
            return refuse("program_unknown", "notRun");
        }
        if (live.running !== undefined) {
            live.running.stop(refuse("program_ended", "unknown"));
            await live.running.answer.done;
            if (partition.lost || partition.closed) {
                return movedRefusal("the partition has moved");
            }
        }
        endLive(partition, live);
        return undefined;
    }

    async function isActive(key: string): Promise<boolean> {
        const partition = owned.get(partitionOf(key, options.partitions));
        await partition?.ready;
        return partition?.programs.get(key)?.slot ?? false;
    }

    async function isSubAgent(live: Live): Promise<boolean> {
        const { parent } = live.program;
        return parent !== undefined && await options.isParentActive(parent).catch(() => false);
    }

    function holds(key: string): boolean | undefined {
        const partition = owned.get(partitionOf(key, options.partitions));
        if (partition === undefined || partition.lost || partition.draining || !partition.recovered) {
            return undefined;
        }
        const live = partition.programs.get(key);
        return live !== undefined && !live.program.ended;
    }

    return {
        serve,
        endProgram,
        isActive,
        setMap,
        drain,
        resume,
        abandon,
        programs: () => [...owned.values()].reduce((sum, partition) => sum + partition.programs.size, 0),
        holds,
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
