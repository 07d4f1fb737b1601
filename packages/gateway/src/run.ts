import { createStore, loadSettings, problemText, SettingsError } from "@tamarackgauge/platform";
import { createGateway, type Gateway } from "./gateway.ts";
import { loadLimits } from "./limits.ts";
import { createLineBuffer, createLog, type Log } from "./log.ts";

const exitSuccess = 0;
const exitInvalidSettings = 2;

/** Runs a gateway with the platform's settings until SIGTERM; returns the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv): Promise<number> {
    const now = () => performance.now();
    const output = createLineBuffer(process.stdout);
    // Listeners are added first: without one, a signal that arrives while the settings are read would end the process.
    let onHangUp: () => void = () => undefined;
    process.on("SIGHUP", () => onHangUp());
    const terminated = new Promise(resolve => process.once("SIGTERM", resolve));
    try {
        const settings = loadSettings(environment);
        const log = createLog(settings.name, output.write, now);
        // An error in one call or connection must not end the process and with it all other calls.
        const logFault = (reason: unknown) => log.warn("gateway.fault", { reason: describeError(reason) });
        process.on("unhandledRejection", logFault);
        process.on("uncaughtException", logFault);
        const store = createStore(settings.storeAddress);
        const gatewayStart = createGateway({ settings, limits: loadLimits(environment), store, log, now });
        onHangUp = () => void gatewayStart.then(gateway => reload(gateway, environment, log));
        const gateway = await gatewayStart;
        await terminated;
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
