import { createStore, loadSettings, problemText, SettingsError } from "@tamarackgauge/platform";
import type { CallerServer } from "./callerServer.ts";
import { createGateway, type Gateway } from "./gateway.ts";
import { loadLimits } from "./limits.ts";
import { createLineBuffer, createLog, type Log } from "./log.ts";
import { listenForSignals, type Signals } from "./signals.ts";

const exitSuccess = 0;
const exitInvalidSettings = 2;

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
        const settings = loadSettings(environment);
        const log = createLog(settings.name, output.write, now);
        // An error in one call or connection must not end the process and with it all other calls.
        const logFault = (reason: unknown) => log.warn("gateway.fault", { reason: describeError(reason) });
        process.on("unhandledRejection", logFault);
        process.on("uncaughtException", logFault);
        const store = createStore(settings.storeAddress);
        const gatewayStart = createGateway({ settings, limits: loadLimits(environment), store, callerServer, log,
            now });
        signals.setHangUpListener(() => void gatewayStart.then(gateway => reload(gateway, environment, log)));
        const gateway = await gatewayStart;
        await signals.terminated;
        await gateway.shutDown();
        return exitSuccess;
    }
    catch (error) {
        if (!(error instanceof SettingsError)) {
            throw error;
        }
        error.problems.forEach(problem => process.stderr.write(`${problemText(problem)}\n`));
        return exitInvalidSettings;
    }
    finally {
        output.flush();
    }
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
