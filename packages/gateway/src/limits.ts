import { SettingsError, type SettingsProblem } from "@tamarackgauge/platform";
import { z } from "zod";

const kibibyte = 1_024;
const mebibyte = 1_024 * kibibyte;

const byteLimit = (min: number, defaultValue: number) => z.coerce.number().int().min(min).default(defaultValue);

/** Limits on buffered data, in bytes. */
const memoryLimitsSchema = z.object({
    /** Status line and headers of an upstream's answer. */
    maxHeadBytes: byteLimit(kibibyte, 16 * kibibyte),
    /** An upstream's complete answer. */
    maxAnswerBytes: byteLimit(kibibyte, 8 * mebibyte),
    /** An answer without framing, which ends when its connection is closed. */
    maxUnframedBytes: byteLimit(kibibyte, mebibyte),
    /** One event of a stream. */
    maxEventBytes: byteLimit(kibibyte, mebibyte),
    /** Request bodies and answers of all calls together. */
    maxBufferedBytes: byteLimit(mebibyte, 32 * mebibyte),
});

/** Limits on buffered data, in bytes. */
export type MemoryLimits = z.output<typeof memoryLimitsSchema>;

/** Environment variables that set the limits. */
const environmentVariables = {
    maxHeadBytes: "TAMARACKGAUGE_MOST_HEAD_BYTES",
    maxAnswerBytes: "TAMARACKGAUGE_MOST_ANSWER_BYTES",
    maxUnframedBytes: "TAMARACKGAUGE_MOST_UNFRAMED_BYTES",
    maxEventBytes: "TAMARACKGAUGE_MOST_EVENT_BYTES",
    maxBufferedBytes: "TAMARACKGAUGE_MOST_HELD_BYTES",
} as const satisfies Record<keyof MemoryLimits, string>;

/** Limits used if no environment variable is set. */
export const defaultLimits: MemoryLimits = memoryLimitsSchema.parse({});

/** Reads the limits from the environment; throws a `SettingsError` that lists all problems. */
export function loadLimits(environment: Readonly<Record<string, string | undefined>>): MemoryLimits {
    const names = Object.entries(environmentVariables) as [keyof MemoryLimits, string][];
    const values = names.flatMap(([field, variable]) => {
        const value = environment[variable];
        return value === undefined || value === "" ? [] : [[field, value]];
    });
    const parsed = memoryLimitsSchema.safeParse(Object.fromEntries(values));
    if (parsed.success) {
        return parsed.data;
    }
    throw new SettingsError(parsed.error.issues.map(({ path, message }): SettingsProblem => {
        const field = environmentVariables[path[0] as keyof MemoryLimits];
        return { field, value: environment[field], allowed: `bytes; ${message}` };
    }));
}
