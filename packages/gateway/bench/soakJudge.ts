import { type CallerAnswer, turnInput } from "../test/harness.ts";

/** A call as its caller made it. */
export interface SoakCall {
    readonly id: string;
    /** A tool call may run once at most; a turn belongs to a program. */
    readonly turn: SoakTurn | undefined;
    /** What the upstream gives that serves it, in whole. */
    readonly expected: RegExp;
}

/** A turn of a program. */
export interface SoakTurn {
    readonly program: string;
    /** Tokens that the program may generate. */
    readonly budget: number;
    /** Earlier turns that were answered whole, the oldest first. */
    readonly previousTurns: readonly string[];
}

/** How a call ended for its caller. */
export interface SoakOutcome {
    readonly call: SoakCall;
    /** Undefined if the connection ended without an answer. */
    readonly answer: CallerAnswer | undefined;
    /** Milliseconds. */
    readonly durationMs: number;
    /** Its gateway was killed or paused while the call was under way: it may have no answer or a late one. */
    readonly disturbed: boolean;
}

/** A call that an upstream began to work on. */
export interface SoakExecution {
    readonly id: string;
    readonly body: string;
}

/** A promise that was broken. */
export interface Violation {
    readonly invariant: string;
    readonly call: string;
    readonly detail: string;
}

/** Statuses that say that a call has not run and never will. */
const notRunStatuses = new Set([402, 408, 421, 429, 503]);
const notFound = 404;
/** A call is answered within its route's time limit and this, in ms. */
const routeTimeoutMs = 2_500;
const answerMarginMs = 2_000;

/** Judges what callers and upstreams have seen over the whole run: a refusal must stay true after it was given. */
export function findViolations(outcomes: readonly SoakOutcome[],
    executions: readonly SoakExecution[]): readonly Violation[] {
    const executionsOfCall = new Map<string, SoakExecution[]>();
    executions.forEach(execution =>
        executionsOfCall.set(execution.id, [...executionsOfCall.get(execution.id) ?? [], execution])
    );
    return [...outcomes.flatMap(outcome => findCallViolations(outcome, executionsOfCall.get(outcome.call.id) ?? [])),
        ...findBudgetViolations(outcomes)];
}

/** Tokens of an event, and the most of a turn. */
const tokensPerEvent = 10;
const maxTurnTokens = 60;

/** Programs whose callers got more than their budget and the most of one turn. */
function findBudgetViolations(outcomes: readonly SoakOutcome[]): readonly Violation[] {
    const usageOfProgram = new Map<string, { budget: number; tokens: number; }>();
    for (const { call: { turn }, answer } of outcomes) {
        if (turn !== undefined) {
            const before = usageOfProgram.get(turn.program)?.tokens ?? 0;
            usageOfProgram.set(turn.program, { budget: turn.budget, tokens: before + tokensOf(answer) });
        }
    }
    return [...usageOfProgram].filter(([, { budget, tokens }]) => tokens > budget + maxTurnTokens)
        .map(([program, { budget, tokens }]) => ({ invariant: "a budget holds", call: program,
            detail: `${tokens} tokens of ${budget}` })
        );
}

function tokensOf(answer: CallerAnswer | undefined): number {
    return (answer?.body.match(/^data: event/gm)?.length ?? 0) * tokensPerEvent;
}

function findCallViolations({ call, answer, durationMs, disturbed }: SoakOutcome,
    executions: readonly SoakExecution[]): readonly Violation[] {
    const violations: Violation[] = [];
    const addViolation = (invariant: string, detail: string) =>
        void violations.push({ invariant, call: call.id, detail });
    if (executions.length > 1) {
        addViolation("runs at most once", `ran ${executions.length} times`);
    }
    if (answer !== undefined && notRunStatuses.has(answer.status) && executions.length > 0) {
        addViolation("a refusal is true", `status ${answer.status}: ${answer.body}`);
    }
    if (answer?.status === 200 && answer.whole && !call.expected.test(answer.body)) {
        addViolation("an answer is whole and the caller's own", answer.body);
    }
    if (answer?.status === notFound && call.turn !== undefined && call.turn.previousTurns.length > 0) {
        addViolation("a turn that was answered is kept", `after ${call.turn.previousTurns.at(-1)}`);
    }
    const history = (call.turn?.previousTurns ?? []).map(historyOf).join("");
    executions.filter(({ body }) => call.turn !== undefined && body !== `${history}${turnInput(call.id)}`)
        .forEach(({ body }) => addViolation("an engine reads the program's history", body));
    if (!disturbed && durationMs > routeTimeoutMs + answerMarginMs) {
        addViolation("a call is answered in time", `${Math.round(durationMs)} ms`);
    }
    if (!disturbed && answer === undefined && executions.length > 0) {
        addViolation("a call that has run is answered", "its connection ended");
    }
    return violations;
}

/** Events of a turn. */
export const eventsPerTurn = 5;

function historyOf(id: string): string {
    const events = Array.from({ length: eventsPerTurn }, (_, index) => `event ${index + 1} of ${id}\n`);
    return `${turnInput(id)}${events.join("")}`;
}
