import { createStore, loadSettings } from "@tamarackgauge/platform";
import { setTimeout as sleep } from "node:timers/promises";
import { type Ending, endingOf, stoppedEarlyEnding, stoppedEnding } from "./ending.ts";
import { createGateway, type Gateway } from "./gateway.ts";
import { loadLimits } from "./limits.ts";
import { createLineBuffer, createLog, type Log } from "./log.ts";
import { createProcessLog, openOutput } from "./processLog.ts";
import { listenForSignals, type Signals } from "./signals.ts";
import { type EarlyStart, runProcess } from "./start.ts";

/** A process that is asked to stop before it has started waits this long for its start, as callers may wait for it. */
const maxStartAfterTerminationMs = 2_000;

/** Runs a gateway with the platform's settings until it is asked to stop; returns the exit code. */
export async function runGateway(environment: NodeJS.ProcessEnv): Promise<number> {
    const log = createProcessLog();
    return runProcess({ environment, log, signals: listenForSignals(log) }, () => Promise.resolve(runProgram));
}

/** Runs a gateway after the early start of its process. */
export async function runProgram(start: EarlyStart): Promise<Ending> {
    const output = createLineBuffer(openOutput());
    start.log.setTarget(createLog(start.settings.name, output.write, now));
    try {
        return await endingOf(() => runUntilStopped(start));
    }
    finally {
        output.flush();
        start.log.setTarget(undefined);
    }
}

async function runUntilStopped({ environment, settings, callerServer, signals, log }: EarlyStart): Promise<Ending> {
    const store = createStore(settings.storeAddress);
    const gatewayStart = createGateway({ settings, limits: loadLimits(environment, settings.memoryBytes), store,
        callerServer, log, now });
    signals.setHangUpListener(() => void gatewayStart.then(gateway => reload(gateway, environment, log)));
    const gateway = await Promise.race([gatewayStart, startTimeout(signals)]);
    if (gateway === undefined) {
        return stoppedEarlyEnding;
    }
    await signals.terminated;
    await gateway.shutDown();
    return stoppedEnding;
}

/** Resolves with undefined when a process that was asked to stop has waited long enough for its start. */
async function startTimeout({ terminated }: Signals): Promise<undefined> {
    await terminated;
    await sleep(maxStartAfterTerminationMs, undefined, { ref: false });
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

function now(): number {
    return performance.now();
}
