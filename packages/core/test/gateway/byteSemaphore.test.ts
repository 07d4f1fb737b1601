import assert from "node:assert/strict";
import { test } from "node:test";
import { createByteSemaphore } from "../../src/gateway/index.ts";

/** Lets all operations that may start do so. */
function nextTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(() => resolve()));
}

/** Starts operations of the given sizes, which end on request; returns which have started. */
function startOperations(maxBytes: number, sizes: readonly number[]) {
    const semaphore = createByteSemaphore(maxBytes);
    const started: number[] = [];
    const finishers: (() => void)[] = [];
    const results = sizes.map((bytes, index) =>
        semaphore.run(bytes, () => {
            started.push(index);
            return new Promise<void>((resolve, reject) => {
                finishers[index] = index === 0 ? resolve : () => reject(new Error("failed"));
            });
        })
    );
    results.forEach(result => void result.catch(() => undefined));

    async function finish(index: number): Promise<void> {
        finishers[index]!();
        await Promise.allSettled(results.slice(index, index + 1));
        await nextTurn();
    }

    return { started, finish };
}

test("operations wait in order until enough bytes are free, also after a failure (guards against a limit that is passed, or that leaks)", async () => {
    const operations = startOperations(10, [6, 3, 5, 1]);
    await nextTurn();
    assert.deepEqual(operations.started, [0, 1]);
    await operations.finish(1);
    assert.deepEqual(operations.started, [0, 1]);
    await operations.finish(0);
    assert.deepEqual(operations.started, [0, 1, 2, 3]);
});

test("an operation larger than the limit runs alone (guards against one that waits for ever)", async () => {
    const operations = startOperations(10, [4, 20, 1]);
    await nextTurn();
    assert.deepEqual(operations.started, [0]);
    await operations.finish(0);
    assert.deepEqual(operations.started, [0, 1]);
    await operations.finish(1);
    assert.deepEqual(operations.started, [0, 1, 2]);
});
