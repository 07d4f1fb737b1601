import { problemText, SettingsError } from "@tamarackgauge/platform/settings";
import { inspect } from "node:util";
import { ListenError } from "./listen.ts";

/** How a process ends. */
export interface Ending {
    readonly exitCode: number;
    readonly causes: readonly string[];
}

const exitSuccess = 0;
const exitInvalidSettings = 2;
/** The start failed, for example because a port may not be used. */
const exitNotStarted = 3;

/** The end of a process that was asked to stop. */
export const stoppedEnding: Ending = { exitCode: exitSuccess, causes: ["asked to stop"] };
/** The end of a process that was asked to stop before it had started. */
export const stoppedEarlyEnding: Ending = { exitCode: exitSuccess, causes: ["asked to stop before the start"] };

/** Runs a part of the process; an error that it throws ends the process. */
export async function endingOf(run: () => Promise<Ending>): Promise<Ending> {
    try {
        return await run();
    }
    catch (error) {
        return error instanceof SettingsError
            ? { exitCode: exitInvalidSettings, causes: error.problems.map(problemText) }
            : { exitCode: exitNotStarted,
                causes: [error instanceof ListenError ? error.message : describeError(error)] };
    }
}

/** What the log says of an error that no part expected. */
export function describeError(reason: unknown): string {
    if (reason instanceof Error) {
        return reason.stack ?? reason.message;
    }
    // Not `String`, which throws for some values; an error in the listener of errors would end the process.
    return typeof reason === "string" ? reason : inspect(reason);
}
