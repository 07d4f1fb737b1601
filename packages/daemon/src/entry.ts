import { partitionOf, refuse } from "@tamarackgauge/core";
import type { AnswerEvent, Call, Clock, Ownership, Refusal, RunStatus } from "@tamarackgauge/core";
import { LinkError } from "@tamarackgauge/peer";
import type { Peers } from "@tamarackgauge/peer";
import type { Timeline } from "@tamarackgauge/timeline";
import createDebug from "debug";
import { estimateTokens, programKey } from "./modelRun.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:entry");

/** Forwards calls to the owner of their program, and retries at the new owner when ownership changes. */
export interface Entry {
    serve(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent>;
    endProgram(plan: string, program: string): Promise<Refusal | undefined>;
    /** Whether its owner reports the program as active. */
    isActive(key: string): Promise<boolean>;
}

/** The part of this daemon's owner role that the entry uses. */
export interface LocalOwner {
    serve(call: Call, signal: AbortSignal): AsyncIterable<AnswerEvent>;
    endProgram(plan: string, program: string): Promise<Refusal | undefined>;
    isActive(key: string): Promise<boolean>;
}

/** Options of the entry; times in milliseconds. */
export interface EntryOptions {
    readonly name: string;
    readonly partitions: number;
    readonly ownershipMap: () => Ownership | undefined;
    readonly refreshOwnership: () => Promise<void>;
    readonly localOwner: () => LocalOwner | undefined;
    readonly peers: () => Peers | undefined;
    readonly timeline: Timeline;
    readonly clock: Clock;
}

/** Names of the queries that the entry sends to other daemons. */
export const queryNames = { endProgram: "endProgram", isActive: "isActive" } as const;

/** A call is refused after this time without progress. It must exceed the lease's TTL, which a takeover waits for. */
const ownerTimeoutMs = 20_000;
const initialRetryDelayMs = 20;
const maxRetryDelayMs = 500;
/** Shorter, because a leaving owner hands over at once and the next calls must be served within 1 s. */
const maxLeavingRetryDelayMs = 100;
const queryTimeoutMs = 2_000;
const retryAfterMs = 1_000;

interface Progress {
    readonly call: Call;
    /** Number of characters delivered to the caller. */
    position: number;
    /** The whole text so far; undefined if its start was delivered before this entry received the call. */
    partial: string | undefined;
    partialTokens: number;
    /** Whether earlier attempts at other owners may have run the call. */
    runStatus: RunStatus;
    /** The owner of the last attempt is leaving and hands over its programs. */
    ownerLeaving: boolean;
    lastProgressAt: number;
    cause: string;
}

/** Creates the entry role of a daemon. */
export function createEntry(options: EntryOptions): Entry {
    const { clock, timeline } = options;

    async function* serve(call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
        const progress: Progress = {
            call,
            position: call.offset,
            partial: call.offset === 0 ? "" : undefined,
            partialTokens: 0,
            // A caller that resumes an answer has already received a part of it.
            runStatus: call.offset > 0 ? "unknown" : "notRun",
            ownerLeaving: false,
            lastProgressAt: clock.monotonic(),
            cause: recordReceived(call),
        };
        let retryDelayMs = initialRetryDelayMs;
        while (!signal.aborted) {
            const position = progress.position;
            const ended = yield* attempt(progress, signal);
            if (ended || signal.aborted) {
                return;
            }
            if (clock.monotonic() - progress.lastProgressAt > ownerTimeoutMs) {
                yield { type: "refused", refusal: refuseAfterTimeout(progress) };
                return;
            }
            const maxDelayMs = progress.ownerLeaving ? maxLeavingRetryDelayMs : maxRetryDelayMs;
            retryDelayMs = progress.position > position ? initialRetryDelayMs : Math.min(maxDelayMs, retryDelayMs * 2);
            await sleep(retryDelayMs * (0.5 + Math.random() / 2));
            await options.refreshOwnership().catch(() => undefined);
        }
    }

    function recordReceived(call: Call): string {
        const target = call.target.kind === "model" ? call.target.model : call.target.service;
        return timeline.record({
            part: "entry",
            event: "callReceived",
            program: programKey(call),
            request: call.request,
            fields: { target, ...call.sequence === undefined ? {} : { sequence: call.sequence } },
        });
    }

    function refuseAfterTimeout(progress: Progress): Refusal {
        const refusal = refuse("owner_unreachable", progress.runStatus, undefined, retryAfterMs);
        recordRefusal(progress, refusal);
        return refusal;
    }

    function recordRefusal(progress: Progress, refusal: Refusal): void {
        timeline.record({
            part: "entry",
            event: "callRefused",
            program: programKey(progress.call),
            request: progress.call.request,
            cause: progress.cause,
            fields: { ...refusal },
        });
    }

    /** Makes one attempt at the current owner; returns true if the answer has ended. */
    async function* attempt(progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, boolean> {
        const owner = ownerOf(programKey(progress.call));
        if (owner === undefined) {
            return false;
        }
        const attemptEnded = new AbortController();
        const attemptSignal = AbortSignal.any([signal, attemptEnded.signal]);
        try {
            for await (const event of eventsFrom(owner, progress, attemptSignal)) {
                const next = acceptEvent(progress, event);
                if (next === "again") {
                    return false;
                }
                if (next !== undefined) {
                    yield next;
                }
                if (event.type !== "text") {
                    return true;
                }
            }
            return false;
        }
        catch (error) {
            if (!(error instanceof LinkError)) {
                throw error;
            }
            log("The link to %s failed during a call: %s.", owner, error.message);
            if (error.sent) {
                progress.runStatus = "unknown";
            }
            return false;
        }
        finally {
            attemptEnded.abort();
        }
    }

    function ownerOf(key: string): string | undefined {
        return options.ownershipMap()?.owners[partitionOf(key, options.partitions)];
    }

    function eventsFrom(owner: string, progress: Progress, signal: AbortSignal): AsyncIterable<AnswerEvent> {
        const { call, partial, partialTokens: tokens } = progress;
        if (owner !== options.name) {
            progress.cause = timeline.record({
                part: "entry",
                event: "callForwarded",
                program: programKey(call),
                request: call.request,
                cause: progress.cause,
                fields: { owner },
            });
        }
        const forwardedCall: Call = {
            ...call,
            offset: progress.position,
            trace: { cause: progress.cause, stamp: timeline.stamp() },
            ...partial === undefined || partial === "" ? {} : { partial, partialTokens: tokens },
        };
        const localOwner = options.localOwner();
        const peers = options.peers();
        if (owner === options.name && localOwner !== undefined) {
            return localOwner.serve(forwardedCall, signal);
        }
        return owner !== options.name && peers !== undefined ? peers.call(owner, forwardedCall, signal) : noEvents();
    }

    /** Removes text that the caller already has; returns "again" if the call must be retried at the current owner. */
    function acceptEvent(progress: Progress, event: AnswerEvent): AnswerEvent | "again" | undefined {
        switch (event.type) {
            case "text":
                return acceptText(progress, event);
            case "done":
                if (event.completion.trace !== undefined) {
                    timeline.observe(event.completion.trace.stamp);
                }
                timeline.record({
                    part: "entry",
                    event: "answerSent",
                    program: programKey(progress.call),
                    request: progress.call.request,
                    cause: event.completion.trace?.cause ?? progress.cause,
                    fields: { characters: progress.position },
                });
                return event;
            case "refused":
                return acceptRefusal(progress, event.refusal);
        }
    }

    function acceptText(progress: Progress, event: Extract<AnswerEvent, { type: "text"; }>) {
        if (event.offset > progress.position) {
            return "again";
        }
        const text = event.text.slice(progress.position - event.offset);
        if (text === "") {
            return undefined;
        }
        const offset = progress.position;
        progress.position += text.length;
        progress.partial = progress.partial === undefined ? undefined : progress.partial + text;
        // Links carry no token counts. Without an estimate, a new owner would allow the full `max_tokens` again.
        progress.partialTokens = event.tokens ?? estimateTokens(progress.partial ?? "");
        progress.lastProgressAt = clock.monotonic();
        progress.runStatus = "unknown";
        return { ...event, offset, text };
    }

    function acceptRefusal(progress: Progress, refusal: Refusal): AnswerEvent | "again" {
        if (refusal.name === "owner_unreachable" || refusal.name === "leaving") {
            progress.runStatus = refusal.run === "unknown" ? "unknown" : progress.runStatus;
            progress.ownerLeaving = refusal.name === "leaving";
            return "again";
        }
        // For a call that may not be repeated, the new owner's journal is authoritative. Any other call may have run
        // partly at an earlier owner.
        const run = progress.call.atMostOnce ? refusal.run : combineRunStatus(progress.runStatus, refusal.run);
        const finalRefusal = { ...refusal, run };
        recordRefusal(progress, finalRefusal);
        return { type: "refused", refusal: finalRefusal };
    }

    async function endProgram(plan: string, program: string): Promise<Refusal | undefined> {
        const deadline = clock.monotonic() + ownerTimeoutMs;
        let refusal: Refusal | undefined = refuse("owner_unreachable", "notRun", undefined, retryAfterMs);
        while (clock.monotonic() < deadline) {
            refusal = await endProgramAt(ownerOf(`${plan}/${program}`), plan, program);
            if (refusal?.name !== "owner_unreachable") {
                return refusal;
            }
            await sleep(maxRetryDelayMs);
            await options.refreshOwnership().catch(() => undefined);
        }
        return refusal;
    }

    async function endProgramAt(owner: string | undefined, plan: string,
        program: string): Promise<Refusal | undefined> {
        try {
            if (owner === options.name) {
                return await options.localOwner()?.endProgram(plan, program);
            }
            const answer = await options.peers()?.query(owner ?? "", queryNames.endProgram, { plan, program },
                queryTimeoutMs);
            return (answer ?? undefined) as Refusal | undefined;
        }
        catch (error) {
            return refuse("owner_unreachable", "unknown", (error as Error).message, retryAfterMs);
        }
    }

    async function isActive(key: string): Promise<boolean> {
        const owner = ownerOf(key);
        if (owner === options.name) {
            return await options.localOwner()?.isActive(key) ?? false;
        }
        return await options.peers()?.query(owner ?? "", queryNames.isActive, { key }, queryTimeoutMs) === true;
    }

    return { serve, endProgram, isActive };
}

function combineRunStatus(left: RunStatus, right: RunStatus): RunStatus {
    return left === "unknown" ? left : right;
}

async function* noEvents(): AsyncGenerator<AnswerEvent> {
    // The owner cannot be reached now; an empty stream makes the entry retry.
}
