import { checkSettings, type Setting, type SettingFault, settingList, type SettingName,
    type Settings } from "@tamarackgauge/core";
import { option, optional, string, type Type } from "cmd-ts";

const optionalText: Type<string, string | undefined> = { ...optional(string), displayName: "value" };

/**
 * A flag for each setting. Environment variables are read separately, because the parser would print their values,
 * including keys, in `--help`.
 */
export const settingFlags = Object.fromEntries(settingList.map(setting => [
    setting.name,
    option({ long: setting.flag, type: optionalText, description: describeSetting(setting) }),
])) as Record<SettingName, ReturnType<typeof option<Type<string, string | undefined>>>>;

/** Reads the settings from flags and environment variables; a flag takes precedence. Returns all faults at once. */
export function readSettings(
    flags: Readonly<Partial<Record<SettingName, string>>>,
    environment: Readonly<Record<string, string | undefined>>,
): { readonly settings: Settings; } | { readonly faults: readonly SettingFault[]; } {
    return checkSettings(Object.fromEntries(
        settingList.map(({ name, variable }) => [name, flags[name] ?? environment[variable]]),
    ));
}

/** Formats a fault as one line with the flag and the environment variable of the setting. */
export function formatFault({ setting, message }: SettingFault): string {
    return `--${setting.flag} (${setting.variable}) ${message}`;
}

function describeSetting({ description, variable, range, defaultValue }: Setting): string {
    return `${description}; ${range}; ${variable}; ${
        defaultValue === undefined ? "REQUIRED" : `default ${defaultValue}`
    }`;
}
