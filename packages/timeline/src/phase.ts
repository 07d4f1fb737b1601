import type { EventName } from "./event.ts";
import type { MergedEvent } from "./merge.ts";

/** The phases of a request, with the label and the explanation that readers see. */
export const phases = {
    admission: { label: "admission", explanation: "checks of the call, its program, its plan and the store" },
    forward: { label: "forward", explanation: "between the daemon that holds the connection and the owner" },
    order: { label: "waiting for order", explanation: "an earlier call of the program had to finish first" },
    queue: { label: "queue", explanation: "no engine had room for the call" },
    dispatch: { label: "dispatch", explanation: "preparing the call and connecting to the upstream" },
    firstToken: { label: "first token", explanation: "the upstream had the call and had not answered yet" },
    tokens: { label: "tokens", explanation: "the answer was arriving" },
    commit: { label: "commit", explanation: "the answer was being stored" },
    retry: { label: "retry", explanation: "after a failure, until the next attempt" },
} as const satisfies Record<string, { readonly label: string; readonly explanation: string; }>;

/** A phase of a request. */
export type Phase = keyof typeof phases;

/** Time in one phase, in milliseconds. */
export interface PhaseTime {
    readonly phase: Phase;
    readonly duration: number;
}

/** The phase that starts with each event. Other events do not change the phase. */
const phaseStarts: Partial<Record<EventName, Phase>> = {
    callReceived: "admission",
    callForwarded: "forward",
    callAccepted: "admission",
    callWaiting: "order",
    callQueued: "queue",
    intentCommitted: "dispatch",
    callDispatched: "dispatch",
    upstreamConnected: "firstToken",
    firstToken: "tokens",
    callRetried: "retry",
    callMoved: "retry",
    callFinished: "commit",
    turnCommitted: "forward",
    callRefused: "forward",
    outcomeUnknown: "forward",
};

/** Events after which the caller no longer waits. */
const waitEnds: ReadonlySet<EventName> = new Set<EventName>(["answerSent", "callCancelled"]);

/**
 * Splits the time of a request into phases; `events` are its events in order. The phases add up to the whole time,
 * except for pauses between an answer and the caller's next attempt.
 */
export function splitTime(events: readonly MergedEvent[]): PhaseTime[] {
    const phaseEvents = events.filter(({ event }) => phaseStarts[event] !== undefined || waitEnds.has(event));
    const sums = new Map<Phase, number>();
    let phase: Phase | undefined = "admission";
    let since = events[0]?.time ?? 0;
    const addTimeUntil = (until: number) => {
        if (phase !== undefined) {
            sums.set(phase, (sums.get(phase) ?? 0) + Math.max(0, until - since));
        }
        since = Math.max(since, until);
    };
    phaseEvents.forEach((event, index) => {
        if (index > 0 && event.event === "callReceived" && phase !== undefined) {
            // The caller sent the request again, so the previous attempt had been abandoned.
            phase = "retry";
        }
        addTimeUntil(event.time);
        phase = waitEnds.has(event.event) ? undefined : phaseAfter(event, phaseEvents[index + 1]);
    });
    addTimeUntil(endOf(events));
    return (Object.keys(phases) as Phase[])
        .map(name => ({ phase: name, duration: sums.get(name) ?? 0 }))
        .filter(({ duration }) => duration > 0);
}

/** When a request ended: history that is stored after the answer was sent does not prolong it. */
export function endOf(events: readonly MergedEvent[]): number {
    const last = [...events].reverse().find(({ event }) => event === "answerSent" || event === "callReceived");
    return (last?.event === "answerSent" ? last : events.at(-1))?.time ?? 0;
}

/** For upstreams that do not report the connection, the time until the first token counts as `firstToken`. */
function phaseAfter(event: MergedEvent, next: MergedEvent | undefined): Phase | undefined {
    if (event.event === "callDispatched" && next?.event !== "upstreamConnected") {
        return "firstToken";
    }
    return phaseStarts[event.event];
}
