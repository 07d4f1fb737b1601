/** Resolves when a signal is aborted. */
export function waitForAbort(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

/** Resolves after some milliseconds, at once when there is nothing to wait for. */
export function sleep(durationMs: number): Promise<void> {
    return durationMs <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, durationMs));
}

/** The value of a promise, or `undefined` when it takes longer than `span` milliseconds. Rejects as it does. */
export async function withTimeout<Value>(promise: Promise<Value>, timeoutMs: number): Promise<Value | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), timeoutMs);
    });
    try {
        return await Promise.race([promise, timeout]);
    }
    finally {
        clearTimeout(timer);
        // A rejection that comes after the time has nobody left to handle it.
        promise.catch(() => undefined);
    }
}
