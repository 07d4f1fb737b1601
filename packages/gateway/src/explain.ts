/** One line of a gateway's log. */
export interface LogLine {
    readonly time: number;
    readonly vm: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

const commonFields = new Set(["level", "time", "vm", "event"]);

/** Parses log lines and skips lines that no gateway wrote. */
export function parseLogLines(text: string): readonly LogLine[] {
    return text.split("\n").flatMap(line => parseLine(line) ?? []);
}

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

/** Formats a log line for display. */
export function renderLogLine({ time, vm, event, fields }: LogLine): string {
    const fieldTexts = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`).join(" ");
    return `${new Date(time).toISOString()} ${vm} ${event} ${fieldTexts}`;
}

/** Events up to this long before a call may explain it. */
const contextMs = 3_000;

function startTimeOf({ time, fields }: LogLine): number {
    return time - (typeof fields.ms === "number" ? fields.ms : 0);
}

function formatValue(value: unknown): string {
    return typeof value === "string" ? value : JSON.stringify(value);
}

function parseLine(line: string): LogLine | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const entry = JSON.parse(line.slice(start)) as Record<string, unknown>;
        const { time, vm, event } = entry;
        if (typeof time !== "number" || typeof vm !== "string" || typeof event !== "string") {
            return undefined;
        }
        const fields = Object.fromEntries(Object.entries(entry).filter(([name]) => !commonFields.has(name)));
        return { time, vm, event, fields };
    }
    catch {
        return undefined;
    }
}
