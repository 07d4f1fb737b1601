import { callerCapacityOf, type GatewaySettings } from "@tamarackgauge/core/gateway";
import { type CallerServer, openCallerServer } from "./callerServer.ts";
import { describeError, type Ending, endingOf, stoppedEarlyEnding } from "./ending.ts";
import { followSettings, waitForSettings } from "./initialSettings.ts";
import type { ProcessLog } from "./processLog.ts";
import type { Signals } from "./signals.ts";

/** What a process has from its first moment on. */
export interface ProcessContext {
    readonly environment: NodeJS.ProcessEnv;
    readonly signals: Signals;
    readonly log: ProcessLog;
}

/** What a process has set up before the program is loaded. */
export interface EarlyStart extends ProcessContext {
    readonly settings: GatewaySettings;
    /** The server for callers, which listens already. */
    readonly callerServer: CallerServer;
}

/** Runs the program after the early start. */
export type Program = (start: EarlyStart) => Promise<Ending>;

/**
 * Runs a process: waits for its settings, listens for callers, and only then loads the program. Returns the exit code
 * after the cause of the end has been logged.
 */
export async function runProcess(context: ProcessContext, loadProgram: () => Promise<Program>): Promise<number> {
    const { log, signals } = context;
    listenForFaults(log);
    const { exitCode, causes } = await endingOf(async () => {
        const stopped = signals.terminated.then(() => undefined);
        const start = await Promise.race([startEarly(context), stopped]);
        return start === undefined ? stoppedEarlyEnding : (await loadProgram())(start);
    });
    log.info("gateway.ended", { exitCode, cause: causes.join("; ") });
    if (exitCode !== 0) {
        process.stderr.write(`${causes.join("\n")}\n`);
    }
    return exitCode;
}

/** An error in one call or connection must not end the process and with it all other calls. */
function listenForFaults(log: ProcessLog): void {
    const logFault = (reason: unknown) => log.warn("gateway.fault", { reason: describeError(reason) });
    process.on("unhandledRejection", logFault);
    process.on("uncaughtException", logFault);
}

async function startEarly(context: ProcessContext): Promise<EarlyStart> {
    const { log } = context;
    let settings = await waitForSettings(context);
    log.setName(settings.name);
    const readLatest = followSettings(context, settings);
    // The settings may be replaced while their address is not there.
    const callerServer = await openCallerServer(() => {
        settings = readLatest();
        return settings.callerAddress;
    }, log, callerCapacityOf(settings.memoryBytes, settings.maxDescriptors));
    return { ...context, settings, callerServer };
}
