import { type AnswerEvent, type Refusal, RefusalError, refuse } from "@tamarackgauge/core";
import debug from "debug";
import { createOrdering, type Ordering } from "./ordering.ts";

const log = debug("tamarackgauge:caller");

/** Limit of the out-of-order text that is buffered for one answer. */
const maxHeldCharacters = 65_536;

/**
 * Yields the events of an answer as its caller receives them: text in order without gaps or duplicates, then exactly
 * one end event. Pulls an event only when the consumer asks for one. If `signal` is aborted without a refusal, there is
 * no end event.
 */
export async function* deliver(
    events: AsyncIterable<AnswerEvent>,
    offset: number,
    signal: AbortSignal,
): AsyncGenerator<AnswerEvent> {
    const ordering = createOrdering(offset, maxHeldCharacters);
    const iterator = events[Symbol.asyncIterator]();
    try {
        for (;;) {
            const result = await nextOrAbort(iterator, signal);
            const event = result.done === true ? missingEnd : orderEvent(result.value, ordering);
            if (event !== undefined) {
                yield event;
            }
            if (event !== undefined && event.type !== "text") {
                return;
            }
        }
    }
    catch (error) {
        const refusal = refusalOf(error, signal);
        if (refusal !== undefined) {
            yield { type: "refused", refusal };
        }
    }
    finally {
        // Not awaited, since `return` of a generator that is stuck in an await never settles.
        iterator.return?.().catch((error: unknown) => log("closing an answer failed: %o", error));
    }
}

const missingEnd: AnswerEvent = {
    type: "refused",
    refusal: refuse("internal", "unknown", "the answer has no end"),
};

function orderEvent(event: AnswerEvent, ordering: Ordering): AnswerEvent | undefined {
    if (event.type === "done" && !ordering.isComplete()) {
        return missingText;
    }
    if (event.type !== "text") {
        return event;
    }
    const offset = ordering.position();
    const text = ordering.add(event.offset, event.text);
    if (text === undefined) {
        return missingText;
    }
    return text === "" ? undefined : { type: "text", offset, text };
}

const missingText: AnswerEvent = {
    type: "refused",
    refusal: refuse("internal", "unknown", "a part of the answer did not arrive"),
};

function refusalOf(error: unknown, signal: AbortSignal): Refusal | undefined {
    const cause: unknown = signal.aborted ? signal.reason : error;
    if (cause instanceof RefusalError) {
        return cause.refusal;
    }
    if (signal.aborted) {
        return undefined;
    }
    log("serving a call failed: %o", error);
    return refuse("internal", "unknown");
}

/** Waits for the next event; rejects when the signal is aborted, even if the iterator ignores it. */
function nextOrAbort<Value>(iterator: AsyncIterator<Value>, signal: AbortSignal): Promise<IteratorResult<Value>> {
    return new Promise((resolve, reject) => {
        const abort = () => reject(new Error("the call was cancelled"));
        if (signal.aborted) {
            abort();
            return;
        }
        signal.addEventListener("abort", abort, { once: true });
        iterator.next().then(resolve, reject).finally(() => signal.removeEventListener("abort", abort));
    });
}
