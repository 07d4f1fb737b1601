import type { GatewaySettings } from "@tamarackgauge/core/gateway";
import { loadSettings, SettingsError } from "@tamarackgauge/platform/settings";
import { setTimeout as sleep } from "node:timers/promises";
import type { ProcessContext } from "./start.ts";
import { createWaitReport } from "./waitReport.ts";

const awaited = "settings";
const retryIntervalMs = 100;
/** Settings that are invalid in the same way so often in a row, for 15 s, are taken as final. A freeze does not count. */
const maxInvalidReads = 150;

/**
 * Loads the settings at the start. A file that cannot be read or lacks a field is still to be written, for as long as that
 * takes. Throws the `SettingsError` of a file that has all fields and stays invalid.
 */
export async function waitForSettings({ environment, log }: ProcessContext): Promise<GatewaySettings> {
    const report = createWaitReport(log);
    let lastMessage: string | undefined;
    let invalidReads = 0;
    for (;;) {
        try {
            return loadSettings(environment);
        }
        catch (error) {
            const { message } = error as Error;
            report(awaited, message);
            const isFinal = error instanceof SettingsError && !error.isIncomplete;
            invalidReads = isFinal && message === lastMessage ? invalidReads + 1 : 0;
            lastMessage = message;
            if (invalidReads >= maxInvalidReads) {
                throw error;
            }
        }
        await sleep(retryIntervalMs);
    }
}

/** Returns a function that reads the settings anew; the last ones stay in force while the file cannot be read. */
export function followSettings({ environment, log }: ProcessContext, settings: GatewaySettings): () => GatewaySettings {
    const report = createWaitReport(log);
    let latest = settings;
    return () => {
        try {
            latest = loadSettings(environment);
        }
        catch (error) {
            report(awaited, (error as Error).message);
        }
        return latest;
    };
}
