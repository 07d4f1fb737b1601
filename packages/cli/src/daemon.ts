import type { Settings } from "@tamarackgauge/core";
import { exitCodes, type Terminal } from "@tamarackgauge/operator";
import { command } from "cmd-ts";
import { formatFault, readSettings, settingFlags } from "./settings.ts";

/** Runs a daemon until it is stopped by a signal, and returns its exit code. */
export type RunDaemon = (settings: Settings) => Promise<number>;

/** Creates the `daemon` command. `run` is called only with valid settings. */
export function createDaemonCommand(terminal: Terminal, run: RunDaemon) {
    return command({
        name: "daemon",
        description: "Run one daemon; each setting is a flag or an environment variable, a flag takes precedence",
        args: settingFlags,
        handler: async flags => {
            const result = readSettings(flags, terminal.environment);
            if ("settings" in result) {
                return run(result.settings);
            }
            result.faults.forEach(fault => terminal.error(formatFault(fault)));
            return exitCodes.usage;
        },
    });
}
