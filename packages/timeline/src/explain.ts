import type { Disturbance } from "./disturbance.ts";
import { dispatchReasons, sentenceOf } from "./event.ts";
import { formatDuration } from "./format.ts";
import type { MergedEvent } from "./merge.ts";
import { endOf, phases, type PhaseTime } from "./phase.ts";

/** Minimum share of a request's time at which a phase is named as a reason for the duration. */
const minPhaseShare = 0.3;

/** Explains in sentences why a request was slow or refused; those `disturbances` that overlap it are included. */
export function explain(
    events: readonly MergedEvent[],
    times: readonly PhaseTime[],
    disturbances: readonly Disturbance[],
): string[] {
    return [
        ...events.flatMap(explainEvent),
        ...explainTimes(times),
        ...explainDisturbances(events, disturbances),
    ];
}

function explainEvent({ event, fields = {} }: MergedEvent): string[] {
    switch (event) {
        case "callRefused": {
            const name = fields["name"] === undefined ? "" : ` ${fields["name"]}`;
            const message = fields["message"] === undefined ? "" : `: ${fields["message"]}`;
            return [`Refused with ${fields["code"]}${name}${message}. ${describeExecution(fields["run"])}`
                + describeRetry(fields["retryAfterMs"])];
        }
        case "outcomeUnknown":
            return ["The call may have run and must not be repeated, so its outcome stays unknown."];
        case "callMoved":
        case "callRetried":
            return [`${capitalize(sentenceOf({ event, fields }))}.`];
        case "callDispatched": {
            const reason = dispatchReasons[fields["reason"] as keyof typeof dispatchReasons];
            return reason === undefined ? [] : [`${fields["upstream"]} was chosen because ${reason}.`];
        }
        case "callFinished":
            return explainCache(fields["promptTokens"], fields["cachedTokens"]);
        default:
            return [];
    }
}

function describeExecution(run: unknown): string {
    return run === "notRun" ? "It did not run." : "Whether it ran is not known.";
}

function describeRetry(value: unknown): string {
    return typeof value === "number" ? ` Ask again after ${formatDuration(value)}.` : "";
}

function explainCache(prompt: unknown, cached: unknown): string[] {
    if (typeof prompt !== "number" || typeof cached !== "number" || prompt <= 0) {
        return [];
    }
    return [`${cached} of ${prompt} prompt tokens were in the engine's cache.`];
}

function explainTimes(times: readonly PhaseTime[]): string[] {
    const total = times.reduce((sum, { duration }) => sum + duration, 0);
    return [...times]
        .sort((a, b) => b.duration - a.duration)
        .filter(({ duration }) => duration >= total * minPhaseShare && duration >= 1)
        .map(({ phase, duration }) => {
            const { label, explanation } = phases[phase];
            return `${Math.round(100 * duration / total)}% of the time (${formatDuration(duration)}): ${label}, `
                + `${explanation}.`;
        });
}

function explainDisturbances(events: readonly MergedEvent[], disturbances: readonly Disturbance[]): string[] {
    const [start, end] = [events[0]!.time, endOf(events)];
    const involved = new Set(events.map(event => event.process));
    const upstreams = new Set(events.map(event => event.fields?.["upstream"]));
    const sentences = disturbances
        .filter(({ from, to }) => from <= end && to >= start)
        .filter(({ event }) => isRelevant(event, involved, upstreams))
        .map(({ event }) => `Meanwhile at ${event.process}: ${sentenceOf(event)}.`);
    return [...new Set(sentences)];
}

function isRelevant(event: MergedEvent, involved: ReadonlySet<string>, upstreams: ReadonlySet<unknown>): boolean {
    const { daemon, upstream } = event.fields ?? {};
    if (upstream !== undefined) {
        return upstreams.has(upstream);
    }
    return involved.has(event.process) || involved.has(String(daemon));
}

function capitalize(text: string): string {
    return text.charAt(0).toUpperCase() + text.slice(1);
}
