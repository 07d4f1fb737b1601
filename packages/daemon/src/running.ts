import { refuse } from "@tamarackgauge/core";
import type { Call, Refusal, RunStatus } from "@tamarackgauge/core";
import { createBroadcast } from "./broadcast.ts";
import type { Broadcast } from "./broadcast.ts";

/** A call in progress at the owner of its program. */
export interface RunningCall {
    readonly call: Call;
    readonly sequence: number;
    readonly answer: Broadcast;
    readonly signal: AbortSignal;
    /** Aborts the call; its readers receive the refusal. */
    stop(refusal: Refusal): void;
    /** Whether the call can be stopped here and continued at another owner without executing twice. */
    movable: boolean;
    /** Id of the call's latest event on the timeline; recorded as the cause of its next event. */
    cause: string;
}

/** Creates a running call; `cause` is the id of the timeline event that started it. */
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

/** Refusal on which the entry looks up the owner again; the call continues there after the text already delivered. */
export function movedRefusal(detail: string, run: RunStatus = "notRun"): Refusal {
    return refuse("owner_unreachable", run, detail, movedRetryAfterMs);
}

const movedRetryAfterMs = 100;
