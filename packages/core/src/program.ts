import { z } from "zod";
import { message } from "./call.ts";
import type { Call, Message } from "./call.ts";
import { refuse } from "./code.ts";
import type { Refusal } from "./code.ts";

/** The answer of a finished call as the journal keeps it. */
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

/** A step of a program's life: a record of the journal. */
export const programStep = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("open"),
        program: z.string(),
        plan: z.string(),
        parent: z.string().optional(),
        at: z.number(),
    }),
    /** A call that may not be repeated is about to be dispatched by the owner that wrote this step. */
    z.object({
        type: z.literal("intent"),
        program: z.string(),
        request: z.string(),
        sequence: z.number().int(),
        digest: z.string(),
    }),
    /** The call of the intent was not dispatched after all. */
    z.object({ type: z.literal("withdraw"), program: z.string(), request: z.string() }),
    z.object({
        type: z.literal("turn"),
        program: z.string(),
        request: z.string(),
        sequence: z.number().int(),
        digest: z.string(),
        messages: z.array(message),
        /** Absent when the outcome is unknown for good. */
        answer: answerSchema.optional(),
    }),
    /** The caller brought back history that was lost with its owner. */
    z.object({
        type: z.literal("restore"),
        program: z.string(),
        sequence: z.number().int(),
        messages: z.array(message),
    }),
    z.object({ type: z.literal("end"), program: z.string(), at: z.number() }),
    /** Every engine that held the program's cache has released it. */
    z.object({ type: z.literal("released"), program: z.string() }),
]);

/** A step of a program's life. */
export type ProgramStep = z.infer<typeof programStep>;

/** A finished call. */
export interface Turn {
    readonly request: string;
    readonly sequence: number;
    readonly digest: string;
    readonly messages: readonly Message[];
    readonly answer: Answer | undefined;
}

/** A call that was about to be dispatched and of which no outcome is recorded. */
export interface Intent {
    readonly request: string;
    readonly sequence: number;
    readonly digest: string;
}

/** A program as its journal tells it. */
export interface Program {
    /** `<plan>/<program>`; programs of two plans never share a key. */
    readonly key: string;
    readonly plan: string;
    /** Key of the parent program of a sub-agent. */
    readonly parent: string | undefined;
    /** Sequence number of the next call. */
    readonly nextSequence: number;
    readonly turns: readonly Turn[];
    readonly intent: Intent | undefined;
    readonly ended: boolean;
    readonly endedAt: number | undefined;
    readonly released: boolean;
}

/** Applies a step; a program comes into being with `open`. Steps of an unknown program are ignored. */
export function applyProgramStep(program: Program | undefined, step: ProgramStep): Program | undefined {
    if (step.type === "open") {
        // A name can be used again after its program has ended; steps of the first use may still be in the journal.
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

/** A program without turns. */
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
    // A segment can be read twice during recovery; a turn counts once.
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
    // The calls known before keep their outcomes, so that none of them runs again; their messages are in the history.
    const earlierTurns = program.turns.filter(({ digest }) => digest !== restoredHistoryDigest)
        .map(earlierTurn => ({ ...earlierTurn, messages: [] }));
    return { ...program, nextSequence: sequence, turns: [...earlierTurns, turn], intent: undefined };
}

/** Marks the turn that holds a restored history; no call has this digest. */
const restoredHistoryDigest = "";

/** The steps that make a program what it is, so that they can replace all that the journal has of it. */
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

/** The whole conversation, in order. */
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

/** Generated and computed tokens that the program has received. */
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

/** What is to be done with a call, given the program's history. */
export type CallDecision =
    | { readonly type: "run"; readonly sequence: number; }
    /** The call has finished before; its recorded answer is the answer. */
    | { readonly type: "replay"; readonly turn: Turn; }
    /** An earlier call has not arrived yet. */
    | { readonly type: "wait"; }
    | { readonly type: "refuse"; readonly refusal: Refusal; };

/** Decides on a call when no other call of the program runs. `turnLimit` ends programs that loop. */
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
        // Of the calls in a restored history only the messages are known: this may be one of them.
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
