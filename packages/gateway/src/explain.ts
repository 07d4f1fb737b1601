import type { LogLine } from "./logLine.ts";

/**
 * Selects the lines that explain a call: its own, those of other calls of its program, and those about the store and
 * the upstreams that the gateways of the call logged shortly before or during the call.
 */
export function explainCall(lines: readonly LogLine[], call: string): readonly LogLine[] {
    const callLines = lines.filter(({ fields }) => fields.call === call);
    const programs = new Set<unknown>(
        callLines.flatMap(({ fields }) => fields.program === undefined ? [] : [fields.program]),
    );
    const vms = new Set(callLines.map(({ vm }) => vm));
    const startTime = Math.min(...callLines.map(startTimeOf));
    const endTime = Math.max(...callLines.map(({ time }) => time));
    const relatedLines = lines.filter(line =>
        !callLines.includes(line) &&
        (programs.has(line.fields.program) || (line.fields.call === undefined && vms.has(line.vm))) &&
        line.time >= startTime - contextMs && line.time <= endTime
    );
    return [...callLines, ...relatedLines].sort((left, right) => left.time - right.time);
}

/** Events up to this long before a call may explain it. */
const contextMs = 3_000;

function startTimeOf({ time, fields }: LogLine): number {
    return time - (typeof fields.ms === "number" ? fields.ms : 0);
}

/**
 * Names the rate limits that made a call wait or be refused: those in force at its gateways when that was logged. Empty if
 * the call met none.
 */
export function explainRateLimits(lines: readonly LogLine[], call: string): readonly string[] {
    const heldBack = lines.filter(line => line.fields.call === call && wasHeldBack(line));
    return heldBack.flatMap(line => [textOf(line), ...limitsInForce(lines, line).map(limitText)]);
}

function wasHeldBack({ event, fields }: LogLine): boolean {
    return event === "call.refused" ? fields.kind === "rateLimited" : Number(fields.permitMs) > 0;
}

/** For each upstream, the line by which the gateway logged the limit that was in force when it logged another line. */
function limitsInForce(lines: readonly LogLine[], { vm, time }: LogLine): readonly LogLine[] {
    const latest = new Map<unknown, LogLine>();
    lines.filter(line => line.event === "upstream.limited" && line.vm === vm && line.time <= time)
        .sort((left, right) => left.time - right.time)
        .forEach(line => latest.set(line.fields.upstream, line));
    return [...latest.values()].filter(({ fields }) => fields.kind !== "ended");
}

function textOf({ vm, event, fields }: LogLine): string {
    return event === "call.refused"
        ? `${vm} refused the call, as the upstreams' rate limits were reached: the next request was expected to be taken ` +
            `${Math.round(Number(fields.expectedWait))} ms later`
        : `${vm} held the call for ${
            Math.round(Number(fields.permitMs))
        } ms, until an upstream with a rate limit took it`;
}

function limitText({ time, fields }: LogLine): string {
    return `${String(fields.upstream)} of ${String(fields.service)} takes ${
        String(fields.after)
    } requests a second from all ` +
        `gateways together, known since ${new Date(time).toISOString()}`;
}
