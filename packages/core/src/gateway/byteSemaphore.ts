/** Limits the bytes that operations in progress use together. Further ones wait in order of arrival. */
export interface ByteSemaphore {
    /** Starts the operation once `bytes` are free, or alone if it needs more than there are. */
    run<Value>(bytes: number, operation: () => Promise<Value>): Promise<Value>;
}

/** Creates a semaphore of `maxBytes`. */
export function createByteSemaphore(maxBytes: number): ByteSemaphore {
    let usedBytes = 0;
    const waiting: { readonly bytes: number; readonly start: () => void; }[] = [];

    function startWaiting(): void {
        while (waiting[0] !== undefined && (usedBytes === 0 || usedBytes + waiting[0].bytes <= maxBytes)) {
            const { bytes, start } = waiting.shift()!;
            usedBytes += bytes;
            start();
        }
    }

    return {
        async run(bytes, operation) {
            await new Promise<void>(resolve => {
                waiting.push({ bytes, start: resolve });
                startWaiting();
            });
            try {
                return await operation();
            }
            finally {
                usedBytes -= bytes;
                startWaiting();
            }
        },
    };
}
