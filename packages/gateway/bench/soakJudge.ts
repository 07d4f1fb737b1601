import type { Arrival, NamedLimit } from "@tamarackgauge/standin";
import { type CallerAnswer, turnInput } from "../test/harness.ts";
import { findLimitExcesses } from "./rateLimitJudge.ts";

/** A call made by a caller. */
export interface SoakCall {
    readonly id: string;
    /** Undefined for tool calls, which may run at most once. */
    readonly turn: SoakTurn | undefined;
    /** Matches the complete answer of the upstream. */
    readonly expected: RegExp;
}

/** A turn of a program. */
export interface SoakTurn {
    readonly program: string;
    /** Maximum number of tokens that the program may generate. */
    readonly budget: number;
    /** Ids of earlier turns with complete answers, oldest first. */
    readonly previousTurns: readonly string[];
}

/** Outcome of a call for its caller. */
export interface SoakOutcome {
    readonly call: SoakCall;
    /** Undefined if the connection ended without an answer. */
    readonly answer: CallerAnswer | undefined;
    readonly durationMs: number;
    /** The gateway was killed or paused during the call, so the answer may be late or missing. */
    readonly disturbed: boolean;
}

/** A call that an upstream started to process. */
export interface SoakExecution {
    readonly id: string;
    readonly body: string;
}

/** What reached an upstream, and the rate limits that it named. */
export interface LimitedUpstream {
    readonly id: string;
    readonly arrivals: readonly Arrival[];
    readonly namedLimits: readonly NamedLimit[];
}

/** A violated invariant. */
export interface Violation {
    readonly invariant: string;
    readonly call: string;
    readonly detail: string;
}

/** Statuses that state that the call has not run and will not run. */
const notRunStatuses = new Set([402, 408, 421, 429, 503]);
const notFound = 404;
/** A call must be answered within its route's timeout plus a margin. */
const routeTimeoutMs = 2_500;
const answerMarginMs = 2_000;

/** Checks all outcomes after the run has ended, because a refused call must not run later either. */
export function findViolations(outcomes: readonly SoakOutcome[],
    executions: readonly SoakExecution[]): readonly Violation[] {
    const executionsOfCall = new Map<string, SoakExecution[]>();
    executions.forEach(execution =>
        executionsOfCall.set(execution.id, [...executionsOfCall.get(execution.id) ?? [], execution])
    );
    return [...outcomes.flatMap(outcome => findCallViolations(outcome, executionsOfCall.get(outcome.call.id) ?? [])),
        ...findBudgetViolations(outcomes)];
}

/** Finds upstreams that got more requests than their rate limits allow; excused requests are not counted. */
export function findLimitViolations(upstreams: readonly LimitedUpstream[],
    isExcused: (arrival: Arrival) => boolean): readonly Violation[] {
    return upstreams.flatMap(({ id, arrivals, namedLimits }) => {
        const times = arrivals.filter(arrival => !isExcused(arrival)).map(({ at }) => at);
        return findLimitExcesses(times, namedLimits).map(({ from, requests, allowed }) => ({
            invariant: "an upstream gets no more requests than its rate limit allows",
            call: id,
            detail: `${requests} in 4 s where ${allowed} are allowed, from ${Math.round(from)} ms on`,
        }));
    });
}

/** Tokens per event, and the maximum number of tokens of a turn. */
const tokensPerEvent = 10;
const maxTurnTokens = 60;

/** Finds programs whose callers received more tokens than the budget plus the maximum of one turn. */
function findBudgetViolations(outcomes: readonly SoakOutcome[]): readonly Violation[] {
    const usageOfProgram = new Map<string, { budget: number; tokens: number; }>();
    for (const { call: { turn }, answer } of outcomes) {
        if (turn !== undefined) {
            const before = usageOfProgram.get(turn.program)?.tokens ?? 0;
            usageOfProgram.set(turn.program, { budget: turn.budget, tokens: before + tokensOf(answer) });
        }
    }
    return [...usageOfProgram].filter(([, { budget, tokens }]) => tokens > budget + maxTurnTokens)
        .map(([program, { budget, tokens }]) => ({ invariant: "a budget is not exceeded", call: program,
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
        addViolation("a call runs at most once", `ran ${executions.length} times`);
    }
    if (answer !== undefined && notRunStatuses.has(answer.status) && executions.length > 0) {
        addViolation("a refused call has not run", `status ${answer.status}: ${answer.body}`);
    }
    if (answer?.status === 200 && answer.whole && !call.expected.test(answer.body)) {
        addViolation("an answer is complete and belongs to its call", answer.body);
    }
    if (answer?.status === notFound && call.turn !== undefined && call.turn.previousTurns.length > 0) {
        addViolation("an answered turn is kept", `after ${call.turn.previousTurns.at(-1)}`);
    }
    const history = (call.turn?.previousTurns ?? []).map(historyOf).join("");
    executions.filter(({ body }) => call.turn !== undefined && body !== `${history}${turnInput(call.id)}`)
        .forEach(({ body }) => addViolation("an engine receives the program's history", body));
    if (!disturbed && durationMs > routeTimeoutMs + answerMarginMs) {
        addViolation("a call is answered before its time limit", `${Math.round(durationMs)} ms`);
    }
    if (!disturbed && answer === undefined && executions.length > 0) {
        addViolation("a call that has run gets an answer", "its connection ended");
    }
    return violations;
}

/** Number of events in the answer to a turn. */
export const eventsPerTurn = 5;

function historyOf(id: string): string {
    const events = Array.from({ length: eventsPerTurn }, (_, index) => `event ${index + 1} of ${id}\n`);
    return `${turnInput(id)}${events.join("")}`;
}
