import type { LogFields } from "./log.ts";

/** Levels of log lines, in the numbers that readers of JSON logs know. */
export const logLevels = { info: 30, warn: 40 } as const;

/** Level of a log line. */
export type LogLevel = keyof typeof logLevels;

/** A line of the log, with its line feed. Fields that JSON cannot hold are replaced by their text. */
export function renderJsonLine(level: LogLevel, vm: string, event: string, fields: LogFields): string {
    const line = { level: logLevels[level], time: Date.now(), vm, event, ...fields };
    try {
        return `${JSON.stringify(line)}\n`;
    }
    catch {
        return `${JSON.stringify({ ...line, ...textsOf(fields) })}\n`;
    }
}

function textsOf(fields: LogFields): Readonly<Record<string, string>> {
    return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, String(value)]));
}
