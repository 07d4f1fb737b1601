/** What has to be ended together, in the reverse order of its start. */
export interface Disposal extends AsyncDisposable {
    /** Adds what was started last; returns it. */
    own<Part extends Disposable | AsyncDisposable>(part: Part): Part;
    /** Adds an action that ends something. */
    defer(end: () => unknown): void;
}

/** Creates a disposal that owns nothing yet. */
export function createDisposal(): Disposal {
    const ends: (() => unknown)[] = [];
    return {
        own(part) {
            ends.push(() => Symbol.asyncDispose in part ? part[Symbol.asyncDispose]() : part[Symbol.dispose]());
            return part;
        },
        defer: end => void ends.push(end),
        async [Symbol.asyncDispose]() {
            for (const end of ends.splice(0).reverse()) {
                await end();
            }
        },
    };
}
