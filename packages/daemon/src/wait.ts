/** Resolves when a signal is aborted. */
export function aborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

/** Resolves after some milliseconds, at once when there is nothing to wait for. */
export function sleep(span: number): Promise<void> {
    return span <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, span));
}

/** The value of a promise, or `undefined` when it takes longer than `span` milliseconds. Rejects as it does. */
export async function within<Value>(promise: Promise<Value>, span: number): Promise<Value | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), span);
    });
    try {
        return await Promise.race([promise, late]);
    }
    finally {
        clearTimeout(timer);
        // A rejection that comes after the time has nobody left to handle it.
        promise.catch(() => undefined);
    }
}
