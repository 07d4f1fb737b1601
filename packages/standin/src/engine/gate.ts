/** Holds callers back while it is closed. */
export interface Gate {
    /** Resolves at once while the gate is open, else when it opens. */
    pass(): Promise<void>;
    close(): void;
    open(): void;
}

/** An open gate. */
export function createGate(): Gate {
    let opened = Promise.resolve();
    let release: (() => void) | undefined;
    return {
        pass: () => opened,
        close() {
            if (release === undefined) {
                opened = new Promise(resolve => {
                    release = resolve;
                });
            }
        },
        open() {
            release?.();
            release = undefined;
        },
    };
}
