/** One line of a gateway's log. */
export interface LogLine {
    readonly time: number;
    readonly vm: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

const common = new Set(["level", "time", "vm", "event"]);

/** Reads log lines; what is not a line of a gateway is left out. */
export function parseLogLines(text: string): readonly LogLine[] {
    return text.split("\n").flatMap(line => parseLine(line) ?? []);
}

/**
 * The lines that explain a call: its own, those of its program's other calls that failed, and what the gateways
 * that served it said about the store and their upstreams while it lasted.
 */
export function explainCall(lines: readonly LogLine[], call: string): readonly LogLine[] {
    const own = lines.filter(({ fields }) => fields.call === call);
    const programs = new Set<unknown>(
        own.flatMap(({ fields }) => fields.program === undefined ? [] : [fields.program]),
    );
    const vms = new Set(own.map(({ vm }) => vm));
    const first = Math.min(...own.map(startOf));
    const last = Math.max(...own.map(({ time }) => time));
    const around = lines.filter(line =>
        !own.includes(line) &&
        (programs.has(line.fields.program) || (line.fields.call === undefined && vms.has(line.vm))) &&
        line.time >= first - contextTime && line.time <= last
    );
    return [...own, ...around].sort((left, right) => left.time - right.time);
}

/** One readable line. */
export function renderLogLine({ time, vm, event, fields }: LogLine): string {
    const rest = Object.entries(fields).map(([name, value]) => `${name}=${text(value)}`).join(" ");
    return `${new Date(time).toISOString()} ${vm} ${event} ${rest}`;
}

/** What happened this long before a call may explain it, in ms. */
const contextTime = 3_000;

function startOf({ time, fields }: LogLine): number {
    return time - (typeof fields.ms === "number" ? fields.ms : 0);
}

function text(value: unknown): string {
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
        const fields = Object.fromEntries(Object.entries(entry).filter(([name]) => !common.has(name)));
        return { time, vm, event, fields };
    }
    catch {
        return undefined;
    }
}
