import type { Log } from "./log.ts";

/** Signals that are sent to a process. */
export interface Signals {
    /** Resolves when the process is asked to stop. */
    readonly terminated: Promise<void>;
    /** Sets what is done when the settings file has changed; done at once if it has changed since the start. */
    setHangUpListener(listener: () => void): void;
}

const stopSignals = ["SIGTERM", "SIGINT", "SIGQUIT"] as const;
/** Without a listener, SIGUSR2 ends a process, and SIGUSR1 opens the port of Node's inspector to whoever connects. */
const ignoredSignals = ["SIGUSR1", "SIGUSR2"] as const;

/**
 * Starts listening for signals. Without a listener, a signal that arrives during the start, or a second one during the
 * shutdown, would end the process with its calls.
 */
export function listenForSignals(log: Log): Signals {
    let changed = false;
    let onHangUp: () => void = () => changed = true;
    process.on("SIGHUP", () => onHangUp());
    ignoredSignals.forEach(name => process.on(name, () => log.info("signal.ignored", { signal: name })));
    return {
        terminated: new Promise(resolve => stopSignals.forEach(name => process.on(name, () => resolve()))),
        setHangUpListener(listener) {
            onHangUp = listener;
            if (changed) {
                listener();
            }
        },
    };
}
