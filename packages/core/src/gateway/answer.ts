import type { AnswerHead } from "./call.ts";

/** Why an answer is not that to a call; undefined if it is. */
export function mismatchReason({ callId, spoiled }: AnswerHead, expectedId: string): string | undefined {
    if (spoiled) {
        return "the head of the answer is spoiled";
    }
    if (callId === undefined) {
        return "the answer names no call";
    }
    return callId === expectedId ? undefined : "the answer belongs to another call";
}
