import { checkSettings, type Setting, type SettingFault, settingList, type SettingName,
    type Settings } from "@tamarackgauge/core";
import { option, optional, string, type Type } from "cmd-ts";

const optionalText: Type<string, string | undefined> = { ...optional(string), displayName: "value" };

/**
 * A flag for each setting. The environment variables are read apart: the parser would print their values, also those of
 * keys, in `--help`.
 */
export const settingFlags = Object.fromEntries(settingList.map(setting => [
    setting.name,
    option({ long: setting.flag, type: optionalText, description: describeSetting(setting) }),
])) as Record<SettingName, ReturnType<typeof option<Type<string, string | undefined>>>>;

/** Settings from flags and environment variables; a flag counts before its variable. Reports every fault at once. */
export function readSettings(
    flags: Readonly<Partial<Record<SettingName, string>>>,
    environment: Readonly<Record<string, string | undefined>>,
): { readonly settings: Settings; } | { readonly faults: readonly SettingFault[]; } {
    return checkSettings(Object.fromEntries(
        settingList.map(({ name, variable }) => [name, flags[name] ?? environment[variable]]),
    ));
}

/** One line for a fault, with the flag and the variable that it can be set by. */
export function formatFault({ setting, message }: SettingFault): string {
    return `--${setting.flag} (${setting.variable}) ${message}`;
}

function describeSetting({ description, variable, range, defaultValue: preset }: Setting): string {
    return `${description}; ${range}; ${variable}; ${preset === undefined ? "REQUIRED" : `default ${preset}`}`;
}
