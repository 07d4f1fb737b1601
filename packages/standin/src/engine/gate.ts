/** Makes callers wait while it is closed. */
export interface Gate {
    /** Resolves at once while the gate is open, else when it opens. */
    whenOpen(): Promise<void>;
    close(): void;
    open(): void;
}

/** Creates an open gate. */
export function createGate(): Gate {
    let openPromise = Promise.resolve();
    let resolveOpen: (() => void) | undefined;
    return {
        whenOpen: () => openPromise,
        close() {
            if (resolveOpen === undefined) {
                openPromise = new Promise(resolve => {
                    resolveOpen = resolve;
                });
            }
        },
        open() {
            resolveOpen?.();
            resolveOpen = undefined;
        },
    };
}
