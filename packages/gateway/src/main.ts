import { loadSettings } from "@tamarackgauge/platform/settings";
import { type CallerServer, openCallerServer } from "./callerServer.ts";
import { listenForSignals } from "./signals.ts";

/** Exit codes, as in run.ts, which is not loaded yet when listening for callers fails. */
const exitNotStarted = 3;
const exitSuccess = 0;

/** Listens for callers before the program is loaded; undefined if the settings are invalid, which the program reports. */
async function openEarly(): Promise<CallerServer | undefined> {
    let address;
    try {
        address = loadSettings(process.env).callerAddress;
    }
    catch {
        return undefined;
    }
    return openCallerServer(address);
}

async function main(): Promise<void> {
    const signals = listenForSignals();
    const callerServer = await Promise.race([openEarly(), signals.terminated.then(() => "stopped" as const)]);
    if (callerServer === "stopped") {
        process.exit(exitSuccess);
    }
    const { runGateway } = await import("./run.ts");
    process.exit(await runGateway(process.env, { signals, callerServer }));
}

main().catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exit(exitNotStarted);
});
