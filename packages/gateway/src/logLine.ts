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
    return text.split("\n").flatMap(line => parseLogLine(line) ?? []);
}

/** Parses a line, which may have a prefix that another program wrote; undefined if no gateway wrote it. */
export function parseLogLine(line: string): LogLine | undefined {
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

/** Formats a log line for display. */
export function renderLogLine({ time, vm, event, fields }: LogLine): string {
    const fieldTexts = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`).join(" ");
    return `${new Date(time).toISOString()} ${vm} ${event} ${fieldTexts}`;
}

function formatValue(value: unknown): string {
    return typeof value === "string" ? value : JSON.stringify(value);
}
