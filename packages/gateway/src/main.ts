import { loadSettings } from "@tamarackgauge/platform/settings";
import { type CallerServer, openCallerServer } from "./callerServer.ts";
import { listenForSignals } from "./signals.ts";

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
    const callerServer = await openEarly();
    const { runGateway } = await import("./run.ts");
    process.exit(await runGateway(process.env, { signals, callerServer }));
}

void main();
