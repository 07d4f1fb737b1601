import { createStore, faultText, loadSettings, SettingsError } from "@tamarackgauge/platform";
import { createGateway, type Gateway } from "./gateway.ts";
import { createLineBuffer, createLog, type Log } from "./log.ts";

const done = 0;
const wrongSettings = 2;

/** Runs a gateway with the platform's settings until SIGTERM; gives the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv): Promise<number> {
    const now = () => performance.now();
    const lines = createLineBuffer(process.stdout);
    try {
        const settings = loadSettings(environment);
        const log = createLog(settings.name, lines.write, now);
        // One call's fault must not end the others.
        process.on("unhandledRejection", reason => log.warn("gateway.fault", { reason: String(reason) }));
        const store = createStore(settings.store);
        const gateway = await createGateway({ settings, store, log, now });
        // Without a listener SIGHUP would end the process.
        process.on("SIGHUP", () => reload(gateway, environment, log));
        await new Promise(resolve => process.once("SIGTERM", resolve));
        await gateway.shutDown();
        return done;
    }
    catch (error) {
        if (!(error instanceof SettingsError)) {
            throw error;
        }
        error.faults.forEach(fault => process.stderr.write(`${faultText(fault)}\n`));
        return wrongSettings;
    }
    finally {
        lines.flush();
    }
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
