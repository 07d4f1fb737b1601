import { z } from "zod";
import { message } from "./call.ts";
import type { Call, Message } from "./call.ts";
import { refuse } from "./code.ts";
import type { Refusal } from "./code.ts";

/** The answer of a finished call, as stored in the journal. */
const answerSchema = z.object({
    text: z.string(),
    reason: z.string(),
    status: z.number().int(),
    promptTokens: z.number().int(),
    cachedTokens: z.number().int(),
    tokens: z.number().int(),
    upstream: z.string(),
    toolCalls: z.array(z.unknown()).optional(),
});

/** The answer of a finished call. */
export type Answer = z.infer<typeof answerSchema>;

/** A state change of a program, stored as a journal record. */
export const programStep = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("open"),
        program: z.string(),
        plan: z.string(),
        parent: z.string().optional(),
        at: z.number(),
    }),
    /** Written by the owner before it dispatches a call that must run at most once. */
    z.object({
        type: z.literal("intent"),
        program: z.string(),
        request: z.string(),
        sequence: z.number().int(),
        digest: z.string(),
    }),
    /** Cancels an intent whose call was not dispatched. */
    z.object({ type: z.literal("withdraw"), program: z.string(), request: z.string() }),
    z.object({
        type: z.literal("turn"),
        program: z.string(),
        request: z.string(),
        sequence: z.number().int(),
        digest: z.string(),
        messages: z.array(message),
        /** Absent when the outcome is permanently unknown. */
        answer: answerSchema.optional(),
    }),
    /** The caller resent history that was lost when the owner failed. */
    z.object({
        type: z.literal("restore"),
        program: z.string(),
        sequence: z.number().int(),
        messages: z.array(message),
    }),
    z.object({ type: z.literal("end"), program: z.string(), at: z.number() }),
    /** All engines have released the program's cache. */
    z.object({ type: z.literal("released"), program: z.string() }),
]);

/** A state change of a program. */
export type ProgramStep = z.infer<typeof programStep>;

/** A finished call. */
export interface Turn {
    readonly request: string;
    readonly sequence: number;
    readonly digest: string;
    readonly messages: readonly Message[];
    readonly answer: Answer | undefined;
}

/** A call that was to be dispatched and has no recorded outcome; it may have run. */
export interface Intent {
    readonly request: string;
    readonly sequence: number;
    readonly digest: string;
}

/** The state of a program, built from its journal records. */
export interface Program {
    /** `<plan>/<program>`, so that programs of different plans never share a key. */
    readonly key: string;
    readonly plan: string;
    /** Key of the parent program if this program is a sub-agent. */
    readonly parent: string | undefined;
    /** Sequence number of the next call. */
    readonly nextSequence: number;
    readonly turns: readonly Turn[];
    readonly intent: Intent | undefined;
    readonly ended: boolean;
    readonly endedAt: number | undefined;
    readonly released: boolean;
}

/** Applies a step to a program. An `open` step creates the program; other steps of an unknown program are ignored. */
export function applyProgramStep(program: Program | undefined, step: ProgramStep): Program | undefined {
    if (step.type === "open") {
        // A name can be reused once its program has ended and its cache is released; the journal may still hold steps
        // of the earlier program.
        const nameInUse = program !== undefined && !(program.ended && program.released);
        return nameInUse ? program : openProgram(step.program, step.plan, step.parent);
    }
    if (program === undefined) {
        return undefined;
    }
    switch (step.type) {
        case "intent":
            return {
                ...program,
                intent: { request: step.request, sequence: step.sequence, digest: step.digest },
            };
        case "withdraw":
            return program.intent?.request === step.request ? { ...program, intent: undefined } : program;
        case "turn":
            return addTurn(program, step);
        case "restore":
            return addRestoredHistory(program, step.sequence, step.messages);
        case "end":
            return { ...program, ended: true, endedAt: step.at };
        case "released":
            return { ...program, released: true };
    }
}

/** Creates a program without turns. */
export function openProgram(key: string, plan: string, parent: string | undefined): Program {
    return {
        key,
        plan,
        parent,
        nextSequence: 0,
        turns: [],
        intent: undefined,
        ended: false,
        endedAt: undefined,
        released: false,
    };
}

function addTurn(program: Program, step: Extract<ProgramStep, { type: "turn"; }>): Program {
    // Recovery can read a journal segment twice; a turn that was already applied is skipped.
    if (step.sequence < program.nextSequence) {
        return program;
    }
    const { request, sequence, digest, messages } = step;
    const turn: Turn = { request, sequence, digest, messages, answer: step.answer };
    return { ...program, nextSequence: sequence + 1, turns: [...program.turns, turn], intent: undefined };
}

function addRestoredHistory(program: Program, sequence: number, messages: readonly Message[]): Program {
    if (sequence < program.nextSequence) {
        return program;
    }
    const turn: Turn = { request: `restored ${sequence}`, sequence: sequence - 1, digest: restoredHistoryDigest,
        messages, answer: undefined };
    // Recorded outcomes are kept, so that none of those calls runs again. Their messages are dropped, since the
    // restored history contains them.
    const earlierTurns = program.turns.filter(({ digest }) => digest !== restoredHistoryDigest)
        .map(earlierTurn => ({ ...earlierTurn, messages: [] }));
    return { ...program, nextSequence: sequence, turns: [...earlierTurns, turn], intent: undefined };
}

/** Digest of the turn that holds a restored history; no call has this digest. */
const restoredHistoryDigest = "";

/** The steps that rebuild a program. Compaction replaces the program's journal records with them. */
export function compactSteps(program: Program): readonly ProgramStep[] {
    const { key, plan, parent, intent, endedAt } = program;
    return [
        { type: "open", program: key, plan, at: 0, ...parent === undefined ? {} : { parent } },
        ...program.turns.map(({ request, sequence, digest, messages, answer }): ProgramStep => ({
            type: "turn",
            program: key,
            request,
            sequence,
            digest,
            messages: [...messages],
            ...answer === undefined ? {} : { answer },
        })),
        ...intent === undefined ? [] : [{ type: "intent", program: key, ...intent } as const],
        ...endedAt === undefined ? [] : [{ type: "end", program: key, at: endedAt } as const],
        ...program.released ? [{ type: "released", program: key } as const] : [],
    ];
}

/** All messages of the conversation, in order. */
export function historyOf(program: Program): readonly Message[] {
    return program.turns.flatMap(turn => {
        const answer = turn.answer;
        return answer === undefined || turn.messages.length === 0
            ? turn.messages
            : [...turn.messages, assistantMessage(answer)];
    });
}

function assistantMessage(answer: Answer): Message {
    const toolCalls = answer.toolCalls;
    return { role: "assistant", content: answer.text, ...(toolCalls === undefined ? {} : { tool_calls: toolCalls }) };
}

/** Attained service of a program: generated tokens plus prompt tokens that were not cached. */
export function attainedTokens(program: Program): number {
    return program.turns.reduce((sum, turn) => {
        const answer = turn.answer;
        return answer === undefined ? sum : sum + answer.tokens + answer.promptTokens - answer.cachedTokens;
    }, 0);
}

/** Names of the engines that may hold the program's cache. */
export function enginesOf(program: Program): readonly string[] {
    return [...new Set(program.turns.flatMap(turn => turn.messages.length > 0 ? turn.answer?.upstream ?? [] : []))];
}

/** How to handle a call, given the state of its program. */
export type CallDecision =
    | { readonly type: "run"; readonly sequence: number; }
    /** The call has already finished; its recorded answer is returned. */
    | { readonly type: "replay"; readonly turn: Turn; }
    /** An earlier call has not arrived yet. */
    | { readonly type: "wait"; }
    | { readonly type: "refuse"; readonly refusal: Refusal; };

/**
 * Decides how to handle a call while no other call of the program runs. `turnLimit` stops programs that loop without
 * end.
 */
export function decideCall(program: Program, call: Call, turnLimit: number): CallDecision {
    const finishedTurn = program.turns.find(turn => turn.request === call.request);
    if (finishedTurn !== undefined) {
        return decideFinishedCall(finishedTurn, call);
    }
    if (program.intent?.request === call.request) {
        return { type: "refuse", refusal: refuse("outcome_unknown", "unknown") };
    }
    if (program.ended) {
        return { type: "refuse", refusal: refuse("program_ended", "notRun") };
    }
    if (program.nextSequence >= turnLimit) {
        return { type: "refuse", refusal: refuse("turn_limit", "notRun", `${turnLimit} turns`) };
    }
    const sequence = call.sequence ?? program.nextSequence;
    if (sequence < program.nextSequence) {
        // A restored history contains messages but no call identities, so this call may be one that already ran.
        const isRecorded = program.turns.some(turn =>
            turn.sequence === sequence && turn.digest !== restoredHistoryDigest
        );
        const run = isRecorded ? "notRun" : "unknown";
        return { type: "refuse", refusal: refuse("sequence_past", run, `the next is ${program.nextSequence}`) };
    }
    return sequence > program.nextSequence ? { type: "wait" } : { type: "run", sequence };
}

function decideFinishedCall(turn: Turn, call: Call): CallDecision {
    if (turn.digest !== call.digest) {
        return { type: "refuse", refusal: refuse("identity_reused", "notRun") };
    }
    if (turn.answer === undefined) {
        return { type: "refuse", refusal: refuse("outcome_unknown", "unknown") };
    }
    return { type: "replay", turn };
}
