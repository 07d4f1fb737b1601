import { refuse } from "@tamarackgauge/core";
import type { Call, Refusal, RunStatus } from "@tamarackgauge/core";
import { createBroadcast } from "./broadcast.ts";
import type { Broadcast } from "./broadcast.ts";

/** A call that runs at its owner. */
export interface RunningCall {
    readonly call: Call;
    readonly sequence: number;
    readonly answer: Broadcast;
    readonly signal: AbortSignal;
    /** Stops the call; its readers get the refusal. */
    stop(refusal: Refusal): void;
    /** The call may be stopped and continued elsewhere without running twice. */
    movable: boolean;
    /** Id of the latest event of the call on the timeline. */
    cause: string;
}

/** Creates a running call; `cause` is the event that led to it. */
export function createRunningCall(call: Call, sequence: number, cause: string): RunningCall {
    const controller = new AbortController();
    const answer = createBroadcast(call.partial, call.partialTokens);
    return {
        call,
        sequence,
        answer,
        signal: controller.signal,
        stop: refusal => {
            answer.finish({ type: "refused", refusal });
            controller.abort();
        },
        movable: call.target.kind === "model",
        cause,
    };
}

/** Tells the entry to look for the owner again; the call goes on there with the text delivered so far. */
export function movedRefusal(detail: string, run: RunStatus = "notRun"): Refusal {
    return refuse("owner_unreachable", run, detail, movedRetryAfterMs);
}

const movedRetryAfterMs = 100;
