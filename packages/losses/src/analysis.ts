import type { LogLine } from "@tamarackgauge/gateway";
import { type CallEnd, decodeCallEnd, type Loss, type LossKind } from "./loss.ts";

/** Calls that were not served for one reason. */
export interface ReasonReport extends Loss {
    readonly calls: number;
    readonly programs: number;
    /** Median of the milliseconds that callers were told to wait; undefined if they were told none. */
    readonly retryAfter: number | undefined;
    /** Calls by gateway, and failed sends of these calls by upstream, the most frequent first. */
    readonly vms: readonly Count[];
    readonly upstreams: readonly Count[];
}

/** A name and how often it was counted. */
export interface Count {
    readonly name: string;
    readonly count: number;
}

/** Losses within one second. */
export interface SecondReport {
    /** Seconds since 1970. */
    readonly second: number;
    readonly served: number;
    /** Calls that were not served, by reason. */
    readonly losses: readonly Count[];
}

/** Turns and other calls of programs, by the number of their tries. */
export interface TryReport {
    readonly served: readonly Count[];
    /** Turns without an answer after which no try followed. */
    readonly givenUp: readonly Count[];
}

/** What the logs say about calls that were not served. */
export interface LossReport {
    readonly lines: number;
    /** Reasons, the most frequent first. */
    readonly reasons: readonly ReasonReport[];
    readonly seconds: readonly SecondReport[];
    readonly tries: TryReport;
    /** Programs of which a turn was given up. */
    readonly lostPrograms: number;
}

/** Folds log lines into a report. The lines must be roughly in the order of time. */
export interface Analysis {
    add(line: LogLine): void;
    report(): LossReport;
}

/** A turn without a further try for this time was given up. Callers return within a third of their time. */
const giveUpAfterMs = 15_000;
/** Interval at which turns that were given up are removed from memory. */
const sweepIntervalMs = 5_000;
/** Number of gateways and upstreams that a report names. */
const maxNames = 5;
const msPerSecond = 1_000;

interface ReasonState extends Loss {
    calls: number;
    readonly programs: Set<string>;
    readonly retryAfters: number[];
    readonly vms: Map<string, number>;
    readonly upstreams: Map<string, number>;
}

interface TurnState {
    tries: number;
    lastAt: number;
    readonly program: string | undefined;
}

/** Creates an analysis. Its memory grows with the losses and the turns under way, not with the number of lines. */
export function createAnalysis(): Analysis {
    const reasons = new Map<string, ReasonState>();
    const seconds = new Map<number, { served: number; readonly losses: Map<string, number>; }>();
    const openTurns = new Map<string, TurnState>();
    /** Upstreams at which a send of a call failed that has not ended yet, and when the last one did. */
    const failedSends = new Map<string, { readonly upstreams: string[]; lastAt: number; }>();
    const servedTries = new Map<string, number>();
    const givenUpTries = new Map<string, number>();
    const lostPrograms = new Set<string>();
    let lines = 0;
    let lastSweepAt = -Infinity;

    function add(line: LogLine): void {
        lines += 1;
        if (line.event === "send.failed") {
            recordFailedSend(line);
        }
        const end = decodeCallEnd(line);
        if (end !== undefined) {
            recordEnd(end, line);
            failedSends.delete(end.call);
        }
        if (line.time - lastSweepAt > sweepIntervalMs) {
            lastSweepAt = line.time;
            closeTurns(line.time - giveUpAfterMs);
            forgetFailedSends(line.time - giveUpAfterMs);
        }
    }

    function recordFailedSend({ time, fields }: LogLine): void {
        const call = String(fields.call);
        const sends = failedSends.get(call) ?? { upstreams: new Array<string>(), lastAt: time };
        failedSends.set(call, sends);
        sends.upstreams.push(String(fields.upstream));
        sends.lastAt = time;
    }

    function recordEnd(end: CallEnd, line: LogLine): void {
        const second = Math.floor(line.time / msPerSecond);
        const counts = seconds.get(second) ?? { served: 0, losses: new Map<string, number>() };
        seconds.set(second, counts);
        const turn = openTurns.get(end.turn) ?? { tries: 0, lastAt: line.time, program: end.program };
        turn.tries += 1;
        turn.lastAt = line.time;
        if (end.loss === undefined) {
            counts.served += 1;
            openTurns.delete(end.turn);
            increment(servedTries, String(turn.tries));
            return;
        }
        openTurns.set(end.turn, turn);
        increment(counts.losses, end.loss.reason);
        recordLoss(end, end.loss, line.vm);
    }

    function recordLoss({ call, program, retryAfter }: CallEnd, { kind, reason }: Loss, vm: string): void {
        const key = `${kind} ${reason}`;
        const state = reasons.get(key) ?? createReasonState({ kind, reason });
        reasons.set(key, state);
        state.calls += 1;
        if (program !== undefined) {
            state.programs.add(program);
        }
        if (retryAfter !== undefined) {
            state.retryAfters.push(retryAfter);
        }
        increment(state.vms, vm);
        failedSends.get(call)?.upstreams.forEach(upstream => increment(state.upstreams, upstream));
    }

    function closeTurns(before: number): void {
        for (const [key, { tries, lastAt, program }] of openTurns) {
            if (lastAt < before) {
                openTurns.delete(key);
                increment(givenUpTries, String(tries));
                lostPrograms.add(program ?? key);
            }
        }
    }

    /** The line of a call's end may be missing, as a process may have been killed. */
    function forgetFailedSends(before: number): void {
        for (const [call, { lastAt }] of failedSends) {
            if (lastAt < before) {
                failedSends.delete(call);
            }
        }
    }

    function report(): LossReport {
        closeTurns(Infinity);
        return {
            lines,
            reasons: [...reasons.values()].map(describeReason).sort((left, right) => right.calls - left.calls),
            seconds: [...seconds].sort(([left], [right]) => left - right).map(([second, { served, losses }]) => ({
                second,
                served,
                losses: sortCounts(losses),
            })),
            tries: { served: sortByName(servedTries), givenUp: sortByName(givenUpTries) },
            lostPrograms: lostPrograms.size,
        };
    }

    return { add, report };
}

function createReasonState(loss: Loss): ReasonState {
    return { ...loss, calls: 0, programs: new Set(), retryAfters: [], vms: new Map(), upstreams: new Map() };
}

function describeReason({ kind, reason, calls, programs, retryAfters, vms, upstreams }: ReasonState): ReasonReport {
    const sorted = retryAfters.toSorted((left, right) => left - right);
    return { kind, reason, calls, programs: programs.size, retryAfter: sorted[Math.floor(sorted.length / 2)],
        vms: sortCounts(vms).slice(0, maxNames), upstreams: sortCounts(upstreams).slice(0, maxNames) };
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}

function sortCounts(counts: ReadonlyMap<string, number>): readonly Count[] {
    return [...counts].map(([name, count]) => ({ name, count })).sort((left, right) => right.count - left.count);
}

function sortByName(counts: ReadonlyMap<string, number>): readonly Count[] {
    return [...counts].map(([name, count]) => ({ name, count })).sort((left, right) =>
        Number(left.name) - Number(right.name)
    );
}

/** Kinds of losses in the order in which reports list them. */
export const lossKinds: readonly LossKind[] = ["refused", "failed", "cut", "late", "left"];
