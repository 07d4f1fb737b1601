import { z } from "zod";

/**
 * Every event that a process records, with its sentence. `{name}` stands for a field; a part in square brackets is
 * omitted when one of its fields is missing. The meaning of an event never changes; a new case gets a new name.
 */
export const sentences = {
    processStarted: "process started[, version {version}]",
    callReceived: "call received[ for {target}][, sequence {sequence}][, resumed after {offset} characters]",
    callForwarded: "call forwarded to owner {owner}",
    callAccepted: "call accepted by the owner[, sequence {sequence}]",
    callWaiting: "call waits for its turn[: sequence {expected} has not finished]",
    callQueued: "call queued[, {waiting} calls wait][, level {level}]",
    callRefused: "call refused with {code}[ {name}][: {message}][ ({run})][, retry after {retryAfterMs} ms]",
    callDispatched: "call dispatched to {upstream}[, because {reason}][, attempt {attempt}][, priority {priority}]",
    upstreamConnected: "{upstream} accepted the call",
    firstToken: "first token[ from {upstream}]",
    callRetried: "call retried[ after {error}][, attempt {attempt}]",
    callMoved: "call moved[ from {from}][ to {upstream}][: {error}][, continued after {offset} characters]",
    callFinished: "call finished[ on {upstream}][ with {status}][: {tokens} tokens]"
        + "[, prompt {promptTokens}][, {cachedTokens} of it cached]",
    callCancelled: "call cancelled[: {reason}]",
    intentCommitted: "intent committed",
    turnCommitted: "turn committed[, durability {durability}]",
    outcomeUnknown: "outcome unknown[: {message}]",
    answerSent: "answer sent to the caller[: {characters} characters]",
    programOpened: "program opened[, sub-agent of {parent}]",
    programEnded: "program ended[: {reason}]",
    programRestored: "program restored from its journal[, {turns} turns]",
    cacheReleased: "cache released[ at {upstream}]",
    leaseAcquired: "lease acquired[, incarnation {incarnation}]",
    leaseRenewedLate: "lease renewed {lateMs} ms late",
    leaseExpired: "lease of {daemon} expired",
    leaseFenced: "lease of {daemon} fenced",
    takeover: "took over[ {partitions} partitions] from {daemon}",
    handOverStarted: "hand-over[ of {partitions} partitions][ to {daemon}] started",
    handOverFinished: "hand-over[ of {partitions} partitions][ to {daemon}] finished",
    ownershipVersion: "ownership map version {version}",
    configurationInForce: "configuration version {version} in force",
    linkUp: "link to {daemon} up",
    linkDown: "link to {daemon} down[: {error}]",
    storeSlow: "store slow[: {latencyMs} ms]",
    storeDown: "store down[: {error}]",
    storeUp: "store up[ after {downMs} ms]",
    engineSetAside: "{upstream} set aside[: {ratio} times the latency of its pool]",
    engineRestored: "{upstream} back in use",
    budgetGranted: "budget granted to plan {plan}: {tokens} tokens",
    budgetRefused: "budget refused to plan {plan}[: {message}]",
    budgetReturned: "budget returned by plan {plan}: {tokens} tokens",
    shutdownStarted: "shutdown started[ by {signal}]",
    shutdownFinished: "shutdown finished[, exit code {code}]",
} as const satisfies Record<string, string>;

/** The name of an event; a closed list. */
export type EventName = keyof typeof sentences;

/** The names of all events, in the order of the list above. */
export const eventNames = Object.keys(sentences) as [EventName, ...EventName[]];

/** Why an engine was chosen for a call. */
export const dispatchReasons = {
    prefixCached: "it holds the prefix of the program",
    leastLoaded: "it is the least loaded",
    probe: "it is probed after a slow phase",
} as const satisfies Record<string, string>;

/** The reason of a dispatch, as the field `reason` of `callDispatched` carries it. */
export type DispatchReason = keyof typeof dispatchReasons;

/**
 * Values of an event. They must not contain keys of callers, prompts or answers, since everyone with an operator key
 * can read them.
 */
export const fields = z.record(z.string().max(64), z.union([z.string().max(4096), z.number(), z.boolean()]));

/** Values of an event. */
export type Fields = Readonly<z.infer<typeof fields>>;

/** A recorded event, as one line of newline-delimited JSON. */
export const event = z.object({
    process: z.string().min(1).max(128),
    incarnation: z.string().max(128),
    /** Counts the events of one process from 1, without gaps. */
    sequence: z.int().positive(),
    /** Lamport clock: larger than the clock of every event that can have influenced this one. */
    lamport: z.int().nonnegative(),
    /** Wall clock of the process in milliseconds since 1970. */
    wall: z.number(),
    /** Monotonic clock of the process in milliseconds; its origin is arbitrary. */
    monotonic: z.number(),
    part: z.string().max(64),
    event: z.enum(eventNames),
    program: z.string().max(512).optional(),
    request: z.string().max(512).optional(),
    /** Id of the event, in any process, that led to this one. */
    cause: z.string().max(512).optional(),
    fields: fields.optional(),
});

/** A recorded event. Times are in milliseconds. */
export type TimelineEvent = Readonly<z.infer<typeof event>>;

/** The id of an event: `<process>/<incarnation>/<sequence>`. */
export function idOf(recorded: Pick<TimelineEvent, "process" | "incarnation" | "sequence">): string {
    return `${recorded.process}/${recorded.incarnation}/${recorded.sequence}`;
}

/** One short sentence that describes the event. */
export function sentenceOf(recorded: Pick<TimelineEvent, "event" | "fields">): string {
    const values = recorded.fields ?? {};
    const fill = (text: string) => text.replace(/\{(\w+)\}/g, (_, name: string) => formatValue(name, values[name]));
    const withOptional = sentences[recorded.event].replace(/\[([^\]]*)\]/g, (_, part: string) => {
        const names = [...part.matchAll(/\{(\w+)\}/g)].map(match => match[1]!);
        return names.every(name => values[name] !== undefined) ? part : "";
    });
    return fill(withOptional);
}

function formatValue(name: string, value: string | number | boolean | undefined): string {
    if (value === undefined) {
        return "?";
    }
    if (name === "reason" && Object.hasOwn(dispatchReasons, String(value))) {
        return dispatchReasons[value as DispatchReason];
    }
    if (typeof value === "number" && !Number.isInteger(value)) {
        return value.toFixed(1);
    }
    return String(value);
}
