import type { AnswerHead } from "./call.ts";
import type { ServiceRoute } from "./route.ts";

/** What a complete answer states about its call, and what the caller may be told. */
export type AnswerVerdict =
    /** The answer is passed on. */
    | { readonly kind: "passOn"; }
    /** The upstream has not run the call and will not run it. */
    | { readonly kind: "notRun"; readonly reason: string; }
    /** The upstream failed the call. Its answer may be passed on only if it does not promise that the call has not run. */
    | { readonly kind: "failed"; readonly reason: string; readonly mayPassOn: boolean; }
    /** The answer is not to be relied on, so the call may have run. */
    | { readonly kind: "unknown"; readonly reason: string; };

/**
 * Statuses by which a caller learns that its call has not run and never will: 402 Payment Required, 408 Request Timeout,
 * 421 Misdirected Request, 429 Too Many Requests and 503 Service Unavailable.
 */
const promisingStatuses: ReadonlySet<number> = new Set([402, 408, 421, 429, 503]);
const paymentRequired = 402;

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

/** Decides what an answer to a call states. The answer is known to be that to the call. */
export function judgeAnswer(head: AnswerHead, route: Pick<ServiceRoute, "execution" | "streamed">): AnswerVerdict {
    const { status } = head;
    if (head.notRun) {
        return isSuccess(status)
            ? { kind: "unknown", reason: "a success states that the call has not run" }
            : { kind: "notRun", reason: `the upstream refused with ${status}` };
    }
    if (isSuccess(status) && !head.signed) {
        return { kind: "unknown", reason: "the answer is not the upstream's own" };
    }
    if (head.encoded) {
        return { kind: "unknown", reason: "the answer is encoded" };
    }
    if (makesFalsePromise(status, route)) {
        return { kind: "failed", reason: `the upstream answered ${status}, but may have run the call`,
            mayPassOn: false };
    }
    return status >= 500
        ? { kind: "failed", reason: `the upstream answered ${status}`, mayPassOn: true }
        : { kind: "passOn" };
}

/** Whether an answer to a call is that of the addressed upstream itself: it is signed, or it refuses the call. */
export function isOwnAnswer({ signed, notRun, misdirected }: AnswerHead): boolean {
    return signed || (notRun && !misdirected);
}

/** Whether a status indicates success. */
export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/**
 * Whether a status would promise the caller that a call has not run that may have run. To a call that may be repeated the
 * promise does no harm, but a 402 ends a program.
 */
function makesFalsePromise(status: number, { execution, streamed }: Pick<ServiceRoute, "execution" | "streamed">) {
    return promisingStatuses.has(status) &&
        (execution === "atMostOnce" || (streamed && status === paymentRequired));
}
