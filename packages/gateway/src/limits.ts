import { SettingsError, type SettingsProblem } from "@tamarackgauge/platform";
import { z } from "zod";

const kibibyte = 1_024;
const mebibyte = 1_024 * kibibyte;

const bytes = (least: number, preset: number) => z.coerce.number().int().min(least).default(preset);

/** Bounds of what is held in memory, in bytes. */
const memoryLimits = z.object({
    /** Status line and headers of an upstream's answer. */
    head: bytes(kibibyte, 16 * kibibyte),
    /** An upstream's whole answer. */
    answer: bytes(kibibyte, 8 * mebibyte),
    /** An answer whose end only the end of the connection tells. */
    unframed: bytes(kibibyte, mebibyte),
    /** One event of a stream. */
    event: bytes(kibibyte, mebibyte),
    /** Bodies and answers of all calls together. */
    held: bytes(mebibyte, 48 * mebibyte),
});

/** Bounds of what is held in memory, in bytes. */
export type MemoryLimits = z.output<typeof memoryLimits>;

/** Environment variables of the limits. */
const variables = {
    head: "TAMARACKGAUGE_MOST_HEAD_BYTES",
    answer: "TAMARACKGAUGE_MOST_ANSWER_BYTES",
    unframed: "TAMARACKGAUGE_MOST_UNFRAMED_BYTES",
    event: "TAMARACKGAUGE_MOST_EVENT_BYTES",
    held: "TAMARACKGAUGE_MOST_HELD_BYTES",
} as const satisfies Record<keyof MemoryLimits, string>;

/** The limits where nothing else is set. */
export const presetLimits: MemoryLimits = memoryLimits.parse({});

/** Reads the limits from the environment; throws a `SettingsError` that lists every fault. */
export function loadLimits(environment: Readonly<Record<string, string | undefined>>): MemoryLimits {
    const names = Object.entries(variables) as [keyof MemoryLimits, string][];
    const given = names.flatMap(([field, variable]) => {
        const value = environment[variable];
        return value === undefined || value === "" ? [] : [[field, value]];
    });
    const parsed = memoryLimits.safeParse(Object.fromEntries(given));
    if (parsed.success) {
        return parsed.data;
    }
    throw new SettingsError(parsed.error.issues.map(({ path, message }): SettingsProblem => {
        const field = variables[path[0] as keyof MemoryLimits];
        return { field, value: environment[field], allowed: `bytes; ${message}` };
    }));
}
