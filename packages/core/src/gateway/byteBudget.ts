/** Memory accounting for one call. Disposing of the account releases its bytes. */
export interface ByteAccount extends Disposable {
    /** Reserves bytes before they are buffered; false if the budget is exhausted or the account is disposed of. */
    reserve(bytes: number): boolean;
    /** Gives back reserved bytes that are not buffered any more; the rest is given back with the account. */
    release(bytes: number): void;
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
                release(bytes) {
                    const released = Math.min(bytes, accountBytes);
                    accountBytes -= released;
                    totalBytes -= released;
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
