import type { AnswerEvent } from "@tamarackgauge/core";

/** The answer of a call in progress, with one writer and any number of readers that start at any offset. */
export interface Broadcast {
    append(text: string, tokens: number): void;
    /** Completes the answer with its final event; further calls have no effect. */
    finish(event: Exclude<AnswerEvent, { type: "text"; }>): void;
    text(): string;
    tokens(): number;
    finished(): boolean;
    readerCount(): number;
    /** Reads the answer from an offset to its end. */
    read(offset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent>;
    /** Resolves when the answer is complete. */
    readonly done: Promise<void>;
}

/** Creates an answer; `partial` is the text that an earlier owner has already delivered. */
export function createBroadcast(partial = "", partialTokens = 0): Broadcast {
    let text = partial;
    let tokens = partialTokens;
    let finalEvent: Exclude<AnswerEvent, { type: "text"; }> | undefined;
    let readerCount = 0;
    const wakeCallbacks = new Set<() => void>();
    let resolveDone: () => void;
    const done = new Promise<void>(resolve => {
        resolveDone = resolve;
    });

    function wakeAll(): void {
        const callbacks = [...wakeCallbacks];
        wakeCallbacks.clear();
        callbacks.forEach(wake => wake());
    }

    // A reader receives all text since its last event at once, so a slow reader needs no buffer of its own.
    async function* read(offset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
        let position = offset;
        readerCount += 1;
        try {
            while (!signal.aborted) {
                if (position < text.length) {
                    const chunk = text.slice(position);
                    yield { type: "text", offset: position, text: chunk, tokens };
                    position += chunk.length;
                }
                else if (finalEvent !== undefined) {
                    yield finalEvent;
                    return;
                }
                else {
                    await waitForChange(signal);
                }
            }
        }
        finally {
            readerCount -= 1;
        }
    }

    function waitForChange(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                wakeCallbacks.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            wakeCallbacks.add(wake);
            signal.addEventListener("abort", wake, { once: true });
        });
    }

    return {
        append: (chunk, tokenCount) => {
            text += chunk;
            tokens += tokenCount;
            wakeAll();
        },
        finish: event => {
            if (finalEvent === undefined) {
                finalEvent = event;
                resolveDone();
                wakeAll();
            }
        },
        text: () => text,
        tokens: () => tokens,
        finished: () => finalEvent !== undefined,
        readerCount: () => readerCount,
        read,
        done,
    };
}
