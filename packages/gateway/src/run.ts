import { createStore, loadSettings, problemText, SettingsError } from "@tamarackgauge/platform";
import { createGateway, type Gateway } from "./gateway.ts";
import { loadLimits } from "./limits.ts";
import { createLineBuffer, createLog, type Log } from "./log.ts";

const exitSuccess = 0;
const exitInvalidSettings = 2;

/** Runs a gateway with the platform's settings until SIGTERM; gives the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv): Promise<number> {
    const now = () => performance.now();
    const output = createLineBuffer(process.stdout);
    // Without a listener either signal would end a process that has not read its settings yet.
    let onHangUp: () => void = () => undefined;
    process.on("SIGHUP", () => onHangUp());
    const terminated = new Promise(resolve => process.once("SIGTERM", resolve));
    try {
        const settings = loadSettings(environment);
        const log = createLog(settings.name, output.write, now);
        // One call's or connection's fault must not end the others.
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

/** Settings that cannot be read change nothing. */
function reload(gateway: Gateway, environment: NodeJS.ProcessEnv, log: Log): void {
    try {
        gateway.reload(loadSettings(environment));
    }
    catch (error) {
        log.warn("settings.unreadable", { reason: (error as Error).message });
    }
}
