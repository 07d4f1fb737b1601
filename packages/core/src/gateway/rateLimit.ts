import type { RateLimitStatement } from "./call.ts";

/** A change of an upstream's rate limit, in requests a second. */
export type RateLimitChange =
    | { readonly kind: "named"; readonly after: number; }
    | { readonly kind: "changed"; readonly before: number; readonly after: number; }
    | { readonly kind: "ended"; readonly before: number; };

/** Times of an answer, in monotonic milliseconds. */
export interface AnswerTimes {
    /** When its call was sent. */
    readonly sentAt: number;
    readonly receivedAt: number;
}

/** Answers that are sent at the same time over different connections arrive within this time of each other. */
const maxOvertakingMs = 100;
/** A limit that changes by no more than this share is not reported as changed. */
const reportedChangeShare = 0.1;

/** The requests a second that an upstream takes from all gateways together, as its answers to this process name it. */
export class RateLimit {
    private current: number | undefined;
    private reported: number | undefined;
    private startedAt = -Infinity;
    private lastNamedAt = -Infinity;

    /** Requests a second; undefined if the upstream names no limit. */
    requestsPerSecond(): number | undefined {
        return this.current;
    }

    isInForce(): boolean {
        return this.current !== undefined;
    }

    /** When the limit in force was first named; changes of its value don't count. Undefined if there is none. */
    since(): number | undefined {
        return this.current === undefined ? undefined : this.startedAt;
    }

    /** When a limit was last named; undefined if none is in force. */
    namedAt(): number | undefined {
        return this.current === undefined ? undefined : this.lastNamedAt;
    }

    /** Records what an answer states. Returns the change since the last reported one if it is large enough to report. */
    record(statement: RateLimitStatement, times: AnswerTimes): RateLimitChange | undefined {
        if (statement.kind === "limited") {
            return this.name(statement.requestsPerSecond, times.receivedAt);
        }
        if (statement.kind === "unlimited" && this.isNewerThanLimit(times)) {
            return this.change(undefined);
        }
        return undefined;
    }

    private name(requestsPerSecond: number, now: number): RateLimitChange | undefined {
        if (now < this.lastNamedAt) {
            return undefined;
        }
        if (this.current === undefined) {
            this.startedAt = now;
        }
        this.lastNamedAt = now;
        return this.change(requestsPerSecond);
    }

    /** Whether an answer was sent after the one that last named the limit; answers may overtake each other. */
    private isNewerThanLimit({ sentAt, receivedAt }: AnswerTimes): boolean {
        return sentAt > this.lastNamedAt || receivedAt > this.lastNamedAt + maxOvertakingMs;
    }

    private change(next: number | undefined): RateLimitChange | undefined {
        this.current = next;
        const change = changeBetween(this.reported, next);
        if (change !== undefined) {
            this.reported = next;
        }
        return change;
    }
}

/** The change from one limit to another; undefined if it is too small to report. */
function changeBetween(before: number | undefined, after: number | undefined): RateLimitChange | undefined {
    if (before === undefined) {
        return after === undefined ? undefined : { kind: "named", after };
    }
    if (after === undefined) {
        return { kind: "ended", before };
    }
    return Math.abs(after - before) > before * reportedChangeShare ? { kind: "changed", before, after } : undefined;
}
