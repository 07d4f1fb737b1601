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
    /** Request bodies, earlier turns and answers of all calls together. */
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

/** Memory of a process that buffers nothing, with its whole heap in use. */
const unbufferedBytes = 150_000_000;
/** Each buffered byte takes more than twice its size, as bodies are assembled and their parts are collected later. */
const bufferedShare = 0.35;
/** Bytes that the smallest gateway may buffer for all its calls. */
export const smallestBufferedBytes = 8 * mebibyte;
const maxBufferedBytes = 48 * mebibyte;

/** The bytes that may be buffered in a process of the given size. */
function bufferedBytesWithin(memoryBytes: number): number {
    const available = (memoryBytes - unbufferedBytes) * bufferedShare;
    return Math.round(Math.min(maxBufferedBytes, Math.max(smallestBufferedBytes, available)));
}

/**
 * Reads the limits from the environment; those that are not set follow from the memory of the process. Throws a
 * `SettingsError` that lists all problems.
 */
export function loadLimits(environment: Readonly<Record<string, string | undefined>>,
    memoryBytes?: number): MemoryLimits {
    const names = Object.entries(environmentVariables) as [keyof MemoryLimits, string][];
    const derived = memoryBytes === undefined ? {} : { maxBufferedBytes: bufferedBytesWithin(memoryBytes) };
    const values = names.flatMap(([field, variable]) => {
        const value = environment[variable];
        return value === undefined || value === "" ? [] : [[field, value]];
    });
    const parsed = memoryLimitsSchema.safeParse({ ...derived, ...Object.fromEntries(values) as object });
    if (parsed.success) {
        return parsed.data;
    }
    throw new SettingsError(parsed.error.issues.map(({ path, message }): SettingsProblem => {
        const field = environmentVariables[path[0] as keyof MemoryLimits];
        return { field, value: environment[field], allowed: `bytes; ${message}` };
    }));
}
