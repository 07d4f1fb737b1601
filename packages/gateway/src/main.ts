import { createStore, faultText, loadSettings, SettingsError } from "@tamarackgauge/platform";
import { createGateway, type Gateway } from "./gateway.ts";
import { createLog, type Log } from "./log.ts";

/** Runs a gateway with the platform's settings until SIGTERM; gives the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv): Promise<number> {
    const now = () => performance.now();
    const sink = (line: string) => process.stdout.writableLength === 0 && process.stdout.write(line);
    try {
        const settings = loadSettings(environment);
        const log = createLog(settings.name, sink, now);
        const store = createStore(settings.store);
        const gateway = await createGateway({ settings, store, log, now });
        // Without a listener SIGHUP would end the process.
        process.on("SIGHUP", () => reload(gateway, environment, log));
        await new Promise(resolve => process.once("SIGTERM", resolve));
        await gateway.shutDown();
        return 0;
    }
    catch (error) {
        if (!(error instanceof SettingsError)) {
            throw error;
        }
        error.faults.forEach(fault => process.stderr.write(`${faultText(fault)}\n`));
        return 2;
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

void runGateway(process.env).then(code => process.exit(code));
