import { type CallerAnswer, inputOf } from "../test/harness.ts";

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
    readonly before: readonly string[];
}

/** How a call ended for its caller. */
export interface SoakEnd {
    readonly call: SoakCall;
    /** Undefined if the connection ended without an answer. */
    readonly answer: CallerAnswer | undefined;
    /** Milliseconds. */
    readonly time: number;
    /** Its gateway was killed or paused while the call was under way: it may have no answer or a late one. */
    readonly excused: boolean;
}

/** A call that an upstream began to work on. */
export interface SoakRun {
    readonly id: string;
    readonly body: string;
}

/** A promise that was broken. */
export interface Breach {
    readonly promise: string;
    readonly call: string;
    readonly detail: string;
}

/** Statuses that say that a call has not run and never will. */
const notRun = new Set([402, 408, 421, 429, 503]);
const unknownTurn = 404;
/** A call is answered within its route's time limit and this, in ms. */
const timeLimit = 2_500;
const margin = 2_000;

/** Judges what callers and upstreams have seen over the whole run: a refusal must stay true after it was given. */
export function judge(ends: readonly SoakEnd[], runs: readonly SoakRun[]): readonly Breach[] {
    const ran = new Map<string, SoakRun[]>();
    runs.forEach(run => ran.set(run.id, [...ran.get(run.id) ?? [], run]));
    return [...ends.flatMap(end => breachesOf(end, ran.get(end.call.id) ?? [])), ...overspent(ends)];
}

/** Tokens of an event, and the most of a turn. */
const tokensPerEvent = 10;
const mostOfTurn = 60;

/** Programs whose callers got more than their budget and the most of one turn. */
function overspent(ends: readonly SoakEnd[]): readonly Breach[] {
    const spent = new Map<string, { budget: number; tokens: number; }>();
    for (const { call: { turn }, answer } of ends) {
        if (turn !== undefined) {
            const before = spent.get(turn.program)?.tokens ?? 0;
            spent.set(turn.program, { budget: turn.budget, tokens: before + tokensOf(answer) });
        }
    }
    return [...spent].filter(([, { budget, tokens }]) => tokens > budget + mostOfTurn)
        .map(([program, { budget, tokens }]) => ({ promise: "a budget holds", call: program,
            detail: `${tokens} tokens of ${budget}` })
        );
}

function tokensOf(answer: CallerAnswer | undefined): number {
    return (answer?.body.match(/^data: event/gm)?.length ?? 0) * tokensPerEvent;
}

function breachesOf({ call, answer, time, excused }: SoakEnd, runs: readonly SoakRun[]): readonly Breach[] {
    const breaches: Breach[] = [];
    const breach = (promise: string, detail: string) => void breaches.push({ promise, call: call.id, detail });
    if (runs.length > 1) {
        breach("runs at most once", `ran ${runs.length} times`);
    }
    if (answer !== undefined && notRun.has(answer.status) && runs.length > 0) {
        breach("a refusal is true", `status ${answer.status}: ${answer.body}`);
    }
    if (answer?.status === 200 && answer.whole && !call.expected.test(answer.body)) {
        breach("an answer is whole and the caller's own", answer.body);
    }
    if (answer?.status === unknownTurn && call.turn !== undefined && call.turn.before.length > 0) {
        breach("a turn that was answered is kept", `after ${call.turn.before.at(-1)}`);
    }
    const history = (call.turn?.before ?? []).map(historyOf).join("");
    runs.filter(({ body }) => call.turn !== undefined && body !== `${history}${inputOf(call.id)}`)
        .forEach(({ body }) => breach("an engine reads the program's history", body));
    if (!excused && time > timeLimit + margin) {
        breach("a call is answered in time", `${Math.round(time)} ms`);
    }
    if (!excused && answer === undefined && runs.length > 0) {
        breach("a call that has run is answered", "its connection ended");
    }
    return breaches;
}

/** Events of a turn. */
export const eventsOfTurn = 5;

function historyOf(id: string): string {
    const events = Array.from({ length: eventsOfTurn }, (_, index) => `event ${index + 1} of ${id}\n`);
    return `${inputOf(id)}${events.join("")}`;
}
