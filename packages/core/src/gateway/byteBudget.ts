/** Bytes that one call holds in memory. */
export interface ByteAccount extends Disposable {
    /** Counts bytes that are about to be held; false if there is no room for them. */
    reserve(bytes: number): boolean;
}

/** The bytes that all calls of a process hold together. */
export interface ByteBudget {
    openAccount(): ByteAccount;
}

/** Creates a budget of at most so many bytes. What a call holds is free again when its account is disposed of. */
export function createByteBudget(maxBytes: number): ByteBudget {
    let totalBytes = 0;
    return {
        openAccount() {
            let accountBytes = 0;
            let disposed = false;
            return {
                reserve(bytes) {
                    if (disposed || totalBytes + bytes > maxBytes) {
                        return false;
                    }
                    accountBytes += bytes;
                    totalBytes += bytes;
                    return true;
                },
                [Symbol.dispose]() {
                    disposed = true;
                    totalBytes -= accountBytes;
                    accountBytes = 0;
                },
            };
        },
    };
}
