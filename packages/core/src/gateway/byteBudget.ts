/** Memory accounting for one call. Disposing of the account releases its bytes. */
export interface ByteAccount extends Disposable {
    /** Reserves bytes before they are buffered; false if the budget is exhausted or the account is disposed of. */
    reserve(bytes: number): boolean;
}

/** Limit on the bytes that all calls of a process buffer together. */
export interface ByteBudget {
    openAccount(): ByteAccount;
}

/** Creates a budget of `maxBytes`. */
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
