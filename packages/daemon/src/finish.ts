import { attainedTokens, createSeal } from "@tamarackgauge/core";
import type { Answer, Call, Clock, Completion, Durability, Policy, Program, ProgramStep,
    Turn } from "@tamarackgauge/core";
import type { Timeline } from "@tamarackgauge/timeline";
import { createBroadcast } from "./broadcast.ts";
import type { Broadcast } from "./broadcast.ts";
import type { Live, Partition } from "./partition.ts";
import type { Running } from "./running.ts";
import { within } from "./wait.ts";

/** Writes steps of a program in memory and to the journal. */
export type Save = (partition: Partition, live: Live, steps: readonly ProgramStep[]) => Promise<void>;

/** Records an event of a call and returns its id. */
export type Record = (
    call: Call,
    event: Parameters<Timeline["record"]>[0]["event"],
    cause: string,
    fields?: { readonly [name: string]: string | number | boolean; },
) => string;

/** Ends calls: records their turn and answers their readers. */
export interface Finisher {
    /** The step that opens a program, unless the journal has it. */
    openStep(live: Live): readonly ProgramStep[];
    /** Records the turn of a running call, waits for the store for a limited time, and ends the answer. */
    finish(partition: Partition, live: Live, running: Running, answer: Answer): Promise<void>;
    /** Records for good that the outcome of a call is unknown: its intent is there, and nothing followed. */
    closeIntent(partition: Partition, live: Live): void;
    /** The recorded answer of a finished call. */
    replay(live: Live, turn: Turn): { readonly answer: Broadcast; }["answer"];
    /** Tells the policy what a recovered program has received. */
    restorePolicy(program: Program): void;
}

/** Options of the finisher. */
export interface FinisherOptions {
    readonly policy: Policy;
    readonly timeline: Timeline;
    readonly clock: Clock;
    readonly sealKey: string;
    readonly save: Save;
    readonly endLive: (partition: Partition, live: Live, call?: Call) => void;
}

/** The last event of an answer waits this long for the store, in milliseconds. */
const commitPatience = 1_000;

/** Creates the finisher. */
export function createFinisher(options: FinisherOptions): Finisher {
    const { policy, timeline, clock, save } = options;

    function openStep(live: Live): readonly ProgramStep[] {
        if (live.opened) {
            return [];
        }
        live.opened = true;
        const { key, plan, parent } = live.program;
        return [{ type: "open", program: key, plan, at: clock.wall(), ...parent === undefined ? {} : { parent } }];
    }

    async function finish(partition: Partition, live: Live, running: Running, answer: Answer): Promise<void> {
        const { call, sequence } = running;
        const messages = call.target.kind === "model" ? [...call.target.messages] : [];
        const { request, digest } = call;
        const turn: ProgramStep = {
            type: "turn",
            program: live.program.key,
            request,
            sequence,
            digest,
            messages,
            answer,
        };
        const stored = save(partition, live, [...openStep(live), turn]).then(() => {
            live.stored = Math.max(live.stored, sequence + 1);
        });
        const seal = sealOf(live);
        if (call.end) {
            options.endLive(partition, live, call);
        }
        // Rejects when the turn cannot be stored any more because ownership was lost.
        const durability = await within(stored.then((): Durability => "stored"), commitPatience) ?? "caller";
        const cause = timeline.record({
            part: "owner",
            event: "turnCommitted",
            program: live.program.key,
            request,
            cause: running.cause,
            fields: { durability },
        });
        const trace = { cause, stamp: timeline.stamp() };
        const completion = { ...completionOf(answer, sequence, durability), seal, trace };
        running.answer.finish({ type: "done", completion });
    }

    function closeIntent(partition: Partition, live: Live): void {
        const { intent, key } = live.program;
        if (intent !== undefined) {
            save(partition, live, [{ type: "turn", program: key, ...intent, messages: [] }]).catch(() => undefined);
        }
    }

    function sealOf(live: Live): string {
        const { key, nextSequence: next } = live.program;
        return createSeal(options.sealKey, key, { sequence: next, digest: live.digest });
    }

    function replay(live: Live, turn: Turn): Broadcast {
        const broadcast = createBroadcast();
        const { answer } = turn;
        if (answer !== undefined) {
            broadcast.append(answer.text, answer.tokens);
            const durability = turn.sequence < live.stored ? "stored" : "caller";
            const completion = completionOf(answer, turn.sequence, durability);
            const latest = turn.sequence + 1 === live.program.nextSequence;
            broadcast.finish({ type: "done", completion: latest ? { ...completion, seal: sealOf(live) } : completion });
        }
        return broadcast;
    }

    function restorePolicy(program: Program): void {
        const engine = program.turns.findLast(turn => turn.messages.length > 0)?.answer?.upstream;
        const root = program.parent ?? program.key;
        policy.restoreProgram(program.key, root, attainedTokens(program), engine, clock.monotonic());
    }

    return { openStep, finish, closeIntent, replay, restorePolicy };
}

function completionOf(answer: Answer, sequence: number, durability: Durability): Completion {
    const { reason, status, promptTokens, cachedTokens, tokens, upstream, toolCalls } = answer;
    return {
        reason,
        status,
        promptTokens,
        cachedTokens,
        tokens,
        durability,
        sequence,
        upstream,
        ...toolCalls === undefined ? {} : { toolCalls },
    };
}
