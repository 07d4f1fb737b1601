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
