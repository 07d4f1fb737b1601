/** Signals that the platform sends to a process. */
export interface Signals {
    /** Resolves when the process is asked to stop. */
    readonly terminated: Promise<void>;
    /** Sets what is done when the settings file has changed; done at once if it has changed since the start. */
    setHangUpListener(listener: () => void): void;
}

/**
 * Starts listening for signals. Without a listener, a signal that arrives during the start, or a second SIGTERM during the
 * shutdown, would end the process with its calls.
 */
export function listenForSignals(): Signals {
    let changed = false;
    let onHangUp: () => void = () => changed = true;
    process.on("SIGHUP", () => onHangUp());
    return {
        terminated: new Promise(resolve => process.on("SIGTERM", () => resolve())),
        setHangUpListener(listener) {
            onHangUp = listener;
            if (changed) {
                listener();
            }
        },
    };
}
