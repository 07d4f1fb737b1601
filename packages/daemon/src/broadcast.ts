import type { AnswerEvent } from "@tamarackgauge/core";

/** The answer of a call while it is made: written once, read by any number of readers from any offset. */
export interface Broadcast {
    append(text: string, tokens: number): void;
    /** Ends the answer; what comes later has no effect. */
    finish(event: Exclude<AnswerEvent, { type: "text"; }>): void;
    text(): string;
    tokens(): number;
    finished(): boolean;
    readers(): number;
    /** The answer from an offset to its end. */
    read(offset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent>;
    /** Resolves when the answer has ended. */
    readonly done: Promise<void>;
}

/** Creates an answer that starts with text that was delivered before. */
export function createBroadcast(partial = "", partialTokens = 0): Broadcast {
    let text = partial;
    let tokens = partialTokens;
    let final: Exclude<AnswerEvent, { type: "text"; }> | undefined;
    let readers = 0;
    const waiting = new Set<() => void>();
    let resolveDone: () => void;
    const done = new Promise<void>(resolve => {
        resolveDone = resolve;
    });

    function wakeAll(): void {
        const woken = [...waiting];
        waiting.clear();
        woken.forEach(wake => wake());
    }

    // A reader takes whatever has gathered since its last event, so a slow one costs no memory of its own.
    async function* read(offset: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
        let position = offset;
        readers += 1;
        try {
            while (!signal.aborted) {
                if (position < text.length) {
                    const piece = text.slice(position);
                    yield { type: "text", offset: position, text: piece, tokens };
                    position += piece.length;
                }
                else if (final !== undefined) {
                    yield final;
                    return;
                }
                else {
                    await changed(signal);
                }
            }
        }
        finally {
            readers -= 1;
        }
    }

    function changed(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                waiting.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            waiting.add(wake);
            signal.addEventListener("abort", wake, { once: true });
        });
    }

    return {
        append: (piece, count) => {
            text += piece;
            tokens += count;
            wakeAll();
        },
        finish: event => {
            if (final === undefined) {
                final = event;
                resolveDone();
                wakeAll();
            }
        },
        text: () => text,
        tokens: () => tokens,
        finished: () => final !== undefined,
        readers: () => readers,
        read,
        done,
    };
}
