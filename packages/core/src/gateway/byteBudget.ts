/** Bytes that one call holds in memory. */
export interface ByteAccount extends Disposable {
    /** Counts bytes that are about to be held; false if there is no room for them. */
    take(bytes: number): boolean;
}

/** The bytes that all calls of a process hold together. */
export interface ByteBudget {
    open(): ByteAccount;
}

/** Creates a budget of at most so many bytes. What a call holds is free again when its account is disposed of. */
export function createByteBudget(most: number): ByteBudget {
    let total = 0;
    return {
        open() {
            let own = 0;
            let closed = false;
            return {
                take(bytes) {
                    if (closed || total + bytes > most) {
                        return false;
                    }
                    own += bytes;
                    total += bytes;
                    return true;
                },
                [Symbol.dispose]() {
                    closed = true;
                    total -= own;
                    own = 0;
                },
            };
        },
    };
}
