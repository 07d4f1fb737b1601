/** Memory accounting for one call. Disposing of the account releases its bytes. */
export interface ByteAccount extends Disposable {
    /** Reserves bytes before they are buffered; false if the budget is exhausted or the account is disposed of. */
    reserve(bytes: number): boolean;
    /** Gives back reserved bytes that are not buffered any more; the rest is given back with the account. */
    release(bytes: number): void;
    /**
     * States that the call waits for its caller from now on, and may be ended if memory is needed for others. `end` must
     * not reserve anything. Without `end` the call does not wait any more.
     */
    setReclaimable(end?: () => void): void;
}

/** Limit on the bytes that all calls of a process buffer together. */
export interface ByteBudget {
    openAccount(): ByteAccount;
}

/** A call that waits for its caller. */
interface Reclaimable {
    readonly bytes: number;
    readonly since: number;
}

/** A call that has waited for its caller for a shorter time is not ended for others. */
const minReclaimMs = 250;

/** The largest holder: a little that is held for long takes as much from others as much that is held for a short time. */
function largestHolder<Holder extends Reclaimable>(holders: Iterable<Holder>, now: number): Holder | undefined {
    let largest: Holder | undefined;
    let largestWeight = 0;
    for (const holder of holders) {
        const age = now - holder.since;
        if (age >= minReclaimMs && holder.bytes * age > largestWeight) {
            largest = holder;
            largestWeight = holder.bytes * age;
        }
    }
    return largest;
}

/** Creates a budget of `maxBytes`; `now` is the monotonic clock in milliseconds. */
export function createByteBudget(maxBytes: number, now: () => number): ByteBudget {
    let totalBytes = 0;
    const reclaimable = new Set<Account>();

    class Account implements ByteAccount, Reclaimable {
        bytes = 0;
        since = 0;
        private isDisposed = false;
        private end: (() => void) | undefined;

        reserve(bytes: number): boolean {
            if (this.isDisposed || bytes > maxBytes) {
                return false;
            }
            if (totalBytes + bytes > maxBytes) {
                this.reclaim(bytes);
            }
            if (this.isDisposed || totalBytes + bytes > maxBytes) {
                return false;
            }
            this.bytes += bytes;
            totalBytes += bytes;
            return true;
        }

        /** Ends calls that wait for their callers until the bytes fit, the largest holder first. */
        private reclaim(bytes: number): void {
            while (totalBytes + bytes > maxBytes) {
                const largest = largestHolder(reclaimable, now());
                // The account that asks is refused if it is the largest itself.
                if (largest === undefined || largest === this) {
                    return;
                }
                const { end } = largest;
                largest[Symbol.dispose]();
                end?.();
            }
        }

        release(bytes: number): void {
            const released = Math.min(bytes, this.bytes);
            this.bytes -= released;
            totalBytes -= released;
        }

        setReclaimable(end?: () => void): void {
            this.end = end;
            if (end === undefined || this.isDisposed) {
                reclaimable.delete(this);
                return;
            }
            this.since = now();
            reclaimable.add(this);
        }

        [Symbol.dispose](): void {
            this.isDisposed = true;
            reclaimable.delete(this);
            totalBytes -= this.bytes;
            this.bytes = 0;
        }
    }

    return { openAccount: () => new Account() };
}
