/** Resolves when a signal is aborted. */
export function waitForAbort(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

/** Resolves after a duration; immediately if the duration is not positive. */
export function sleep(durationMs: number): Promise<void> {
    return durationMs <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Resolves with the value of a promise, or `undefined` after the timeout. Rejects if the promise does. */
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
        // Avoids an unhandled rejection if the promise rejects after the timeout.
        promise.catch(() => undefined);
    }
}
