import { createStore, faultText, loadSettings, SettingsError } from "@tamarackgauge/platform";
import { createGateway } from "./gateway.ts";
import { createLog } from "./log.ts";

/** Runs a gateway with the platform's settings until SIGTERM; gives the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv): Promise<number> {
    const now = () => performance.now();
    const sink = (line: string) => process.stdout.writableLength === 0 && process.stdout.write(line);
    try {
        const settings = loadSettings(environment);
        const log = createLog(settings.name, sink, now);
        const store = createStore(settings.store);
        const gateway = await createGateway({ settings, store, log, now });
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

void runGateway(process.env).then(code => process.exit(code));
