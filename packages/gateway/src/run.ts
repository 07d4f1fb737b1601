import { createStore, loadSettings, problemText, SettingsError } from "@tamarackgauge/platform";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerServer } from "./callerServer.ts";
import { createGateway, type Gateway } from "./gateway.ts";
import { loadLimits } from "./limits.ts";
import { ListenError } from "./listen.ts";
import { createLineBuffer, createLog, type Log } from "./log.ts";
import { listenForSignals, type Signals } from "./signals.ts";

const exitSuccess = 0;
const exitInvalidSettings = 2;
/** The start failed, for example because a port stayed in use. */
const exitNotStarted = 3;
/** Maximum time for which settings that are missing or invalid at the start are read again. */
const maxSettingsWaitMs = 3_000;
const settingsRetryIntervalMs = 100;
/** A process that is asked to stop before it has started waits this long for its start, as callers may wait for it. */
const maxStartAfterTerminationMs = 2_000;

/** What a process has set up before this module is loaded. */
export interface EarlyStart {
    readonly signals: Signals;
    /** The server for callers if it already listens. */
    readonly callerServer: CallerServer | undefined;
}

/** Runs a gateway with the platform's settings until SIGTERM; returns the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv,
    { signals, callerServer }: EarlyStart = { signals: listenForSignals(), callerServer: undefined }): Promise<number> {
    const now = () => performance.now();
    const output = createLineBuffer(process.stdout);
    try {
        const settings = await loadInitialSettings(environment, signals);
        if (settings === undefined) {
            return exitSuccess;
        }
        const log = createLog(settings.name, output.write, now);
        // An error in one call or connection must not end the process and with it all other calls.
        const logFault = (reason: unknown) => log.warn("gateway.fault", { reason: describeError(reason) });
        process.on("unhandledRejection", logFault);
        process.on("uncaughtException", logFault);
        const store = createStore(settings.storeAddress);
        const gatewayStart = createGateway({ settings, limits: loadLimits(environment, settings.memoryBytes), store,
            callerServer, log, now });
        signals.setHangUpListener(() => void gatewayStart.then(gateway => reload(gateway, environment, log)));
        const gateway = await Promise.race([gatewayStart, startTimeout(signals)]);
        if (gateway === undefined) {
            log.warn("gateway.stopped", { reason: "asked to stop before the start" });
            return exitSuccess;
        }
        await signals.terminated;
        await gateway.shutDown();
        return exitSuccess;
    }
    catch (error) {
        // Written directly, as the log may not exist yet and the process ends.
        process.stderr.write(`${problemLines(error).join("\n")}\n`);
        return error instanceof SettingsError ? exitInvalidSettings : exitNotStarted;
    }
    finally {
        output.flush();
    }
}

/**
 * Loads the settings at the start. The platform may still be writing the file, so it is read again for a while.
 * Returns undefined if the process is asked to stop meanwhile.
 */
async function loadInitialSettings(environment: NodeJS.ProcessEnv, { terminated }: Signals) {
    let stopped = false;
    void terminated.then(() => stopped = true);
    for (const startedAt = performance.now(); !stopped;) {
        try {
            return loadSettings(environment);
        }
        catch (error) {
            if (performance.now() - startedAt > maxSettingsWaitMs) {
                throw error;
            }
        }
        await sleep(settingsRetryIntervalMs);
    }
    return undefined;
}

/** Resolves with undefined when a process that was asked to stop has waited long enough for its start. */
async function startTimeout({ terminated }: Signals): Promise<undefined> {
    await terminated;
    await sleep(maxStartAfterTerminationMs, undefined, { ref: false });
}

/** What is told about an error that ends the process. */
function problemLines(error: unknown): readonly string[] {
    return error instanceof SettingsError
        ? error.problems.map(problemText)
        : [error instanceof ListenError ? error.message : describeError(error)];
}

function describeError(reason: unknown): string {
    return reason instanceof Error ? reason.stack ?? reason.message : String(reason);
}

/** Reloads the settings; the current ones stay in force if the new ones cannot be read. */
function reload(gateway: Gateway, environment: NodeJS.ProcessEnv, log: Log): void {
    try {
        gateway.reload(loadSettings(environment));
    }
    catch (error) {
        log.warn("settings.unreadable", { reason: (error as Error).message });
    }
}
