import { createStore, loadSettings, problemText, SettingsError } from "@tamarackgauge/platform";
import { createGateway, type Gateway } from "./gateway.ts";
import { loadLimits } from "./limits.ts";
import { createLineBuffer, createLog, type Log } from "./log.ts";

const done = 0;
const wrongSettings = 2;

/** Runs a gateway with the platform's settings until SIGTERM; gives the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv): Promise<number> {
    const now = () => performance.now();
    const lines = createLineBuffer(process.stdout);
    // Without a listener either signal would end a process that has not read its settings yet.
    let hangUp: () => void = () => undefined;
    process.on("SIGHUP", () => hangUp());
    const terminated = new Promise(resolve => process.once("SIGTERM", resolve));
    try {
        const settings = loadSettings(environment);
        const log = createLog(settings.name, lines.write, now);
        // One call's or connection's fault must not end the others.
        const survive = (reason: unknown) => log.warn("gateway.fault", { reason: textOf(reason) });
        process.on("unhandledRejection", survive);
        process.on("uncaughtException", survive);
        const store = createStore(settings.storeAddress);
        const starting = createGateway({ settings, limits: loadLimits(environment), store, log, now });
        hangUp = () => void starting.then(gateway => reload(gateway, environment, log));
        const gateway = await starting;
        await terminated;
        await gateway.shutDown();
        return done;
    }
    catch (error) {
        if (!(error instanceof SettingsError)) {
            throw error;
        }
        error.problems.forEach(fault => process.stderr.write(`${problemText(fault)}\n`));
        return wrongSettings;
    }
    finally {
        lines.flush();
    }
}

function textOf(reason: unknown): string {
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
