import { dispatchReasons, type EventName, sentenceOf } from "./event.ts";
import { formatDuration } from "./format.ts";
import type { MergedEvent } from "./merge.ts";
import { endOf, phases, type PhaseTime } from "./phase.ts";

/** A phase that takes at least this share of a request is named as the reason for its duration. */
const mainShare = 0.3;

/** Events of no program that can slow down or refuse a request. */
const disturbances: ReadonlySet<EventName> = new Set<EventName>([
    "storeSlow",
    "storeDown",
    "linkDown",
    "leaseRenewedLate",
    "leaseExpired",
    "leaseFenced",
    "takeover",
    "handOverStarted",
    "engineSetAside",
    "budgetRefused",
    "shutdownStarted",
]);

/** The event that ends a disturbance which lasts. */
const endings: Partial<Record<EventName, EventName>> = {
    storeSlow: "storeUp",
    storeDown: "storeUp",
    linkDown: "linkUp",
    engineSetAside: "engineRestored",
    handOverStarted: "handOverFinished",
};

/** Says in sentences why a request took its time or was refused; `general` are the events of no program. */
export function explain(
    events: readonly MergedEvent[],
    times: readonly PhaseTime[],
    general: readonly MergedEvent[],
): string[] {
    return [
        ...events.flatMap(explainEvent),
        ...explainTimes(times),
        ...explainDisturbances(events, general),
    ];
}

function explainEvent({ event, fields = {} }: MergedEvent): string[] {
    switch (event) {
        case "callRefused": {
            const name = fields["name"] === undefined ? "" : ` ${fields["name"]}`;
            const message = fields["message"] === undefined ? "" : `: ${fields["message"]}`;
            return [`Refused with ${fields["code"]}${name}${message}. ${whetherItRan(fields["run"])}`
                + retryAfter(fields["retryAfterMs"])];
        }
        case "outcomeUnknown":
            return ["The call may have run and must not be repeated, so its outcome stays unknown."];
        case "callMoved":
        case "callRetried":
            return [`${capital(sentenceOf({ event, fields }))}.`];
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

function whetherItRan(run: unknown): string {
    return run === "notRun" ? "It did not run." : "Whether it ran is not known.";
}

function retryAfter(value: unknown): string {
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
        .filter(({ duration }) => duration >= total * mainShare && duration >= 1)
        .map(({ phase, duration }) => {
            const { label, explanation } = phases[phase];
            return `${Math.round(100 * duration / total)}% of the time (${formatDuration(duration)}): ${label}, `
                + `${explanation}.`;
        });
}

function explainDisturbances(events: readonly MergedEvent[], general: readonly MergedEvent[]): string[] {
    const [start, end] = [events[0]!.time, endOf(events)];
    const involved = new Set(events.map(event => event.process));
    const upstreams = new Set(events.map(event => event.fields?.["upstream"]));
    const sentences = general
        .filter(event => disturbances.has(event.event) && event.time <= end)
        .filter(event => concerns(event, involved, upstreams))
        .filter(event => event.time >= start || lasts(event, general, start))
        .map(event => `Meanwhile at ${event.process}: ${sentenceOf(event)}.`);
    return [...new Set(sentences)];
}

function concerns(event: MergedEvent, involved: ReadonlySet<string>, upstreams: ReadonlySet<unknown>): boolean {
    const { daemon, upstream } = event.fields ?? {};
    if (upstream !== undefined) {
        return upstreams.has(upstream);
    }
    return involved.has(event.process) || involved.has(String(daemon));
}

/** Whether a disturbance that began earlier had not ended by the given time. */
function lasts(began: MergedEvent, general: readonly MergedEvent[], until: number): boolean {
    const ending = endings[began.event];
    return ending !== undefined &&
        !general.some(event =>
            event.event === ending && event.process === began.process && event.incarnation === began.incarnation
            && event.time >= began.time && event.time <= until
            && event.fields?.["daemon"] === began.fields?.["daemon"]
            && event.fields?.["upstream"] === began.fields?.["upstream"]
        );
}

function capital(text: string): string {
    return text.charAt(0).toUpperCase() + text.slice(1);
}
