import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import type { CallStep } from "./program.ts";
import { readEventData } from "./sse.ts";

/** A call of a program. */
export interface ProgramCall {
    readonly plan: string;
    readonly program: string;
    readonly parent?: string;
    readonly sequence: number;
    /** Whether the program ends with this call. */
    readonly end: boolean;
    readonly step: CallStep;
    /** The caller hangs up if the first token takes longer than this; ms. */
    readonly patienceMs?: number;
    /** Aborts the call, for example when the run is stopped. */
    readonly stopSignal?: AbortSignal;
}

/** The result of a call. Times are in ms since sending and include the network delay in both directions. */
export interface CallResult {
    readonly outcome: "done" | "refused" | "left" | "failed";
    readonly firstTokenMs: number;
    readonly wholeMs: number;
    readonly tokens: number;
    readonly code?: number;
    readonly retryAfterMs?: number;
}

/** Simulates the callers of a group of daemons. */
export interface Caller {
    /** Sends a call to the given daemon, or else to the next one in round-robin order. Never rejects. */
    call(call: ProgramCall, daemon?: number): Promise<CallResult>;
    /** Ends a program that its caller abandons. */
    endProgram(plan: string, program: string): Promise<void>;
    close(): Promise<void>;
}

export interface CallerOptions {
    readonly daemons: readonly string[];
    /** Simulated one-way network delay; ms. */
    readonly delayMs: number;
    readonly keyOf: (plan: string) => string;
}

const charactersPerToken = 4;
/** Maximum connections per daemon. High enough for each call to have its own, as with browsers or a load balancer. */
const connectionsPerDaemon = 1_000;

interface Chunk {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
    readonly error?: { readonly code?: number; readonly retryAfterMs?: number; };
}

/** Creates callers that choose a daemon for each call in round-robin order, as a load balancer does. */
export function createCaller({ daemons, delayMs, keyOf }: CallerOptions): Caller {
    const pools = daemons.map(url =>
        new Pool(url, { connections: connectionsPerDaemon, headersTimeout: 0, bodyTimeout: 0 })
    );
    let requestCount = 0;

    function nextPool(daemon?: number): Pool {
        requestCount += 1;
        return pools[(daemon ?? requestCount) % pools.length]!;
    }

    async function call(programCall: ProgramCall, daemon?: number): Promise<CallResult> {
        const abortController = new AbortController();
        const abort = () => abortController.abort();
        programCall.stopSignal?.addEventListener("abort", abort, { once: true });
        const patienceTimer = programCall.patienceMs === undefined
            ? undefined
            : setTimeout(abort, programCall.patienceMs);
        const sentAt = performance.now();
        const progress: ResponseProgress = { sentAt, delayMs, firstTokenMs: undefined, characters: 0, error: undefined,
            done: false, onFirstToken: () => clearTimeout(patienceTimer) };
        try {
            await sleepIfPositive(delayMs);
            const response = await nextPool(daemon).request({
                method: "POST",
                path: programCall.step.type === "tool"
                    ? `/v1/tools/${programCall.step.service}/call`
                    : "/v1/chat/completions",
                headers: createHeaders(programCall, keyOf(programCall.plan)),
                body: createBody(programCall.step),
                signal: abortController.signal,
            });
            await readResponse(response, progress);
            await sleepIfPositive(delayMs);
        }
        catch {
            // toResult distinguishes a hang-up from a broken connection.
        }
        finally {
            clearTimeout(patienceTimer);
            programCall.stopSignal?.removeEventListener("abort", abort);
        }
        return toResult(progress, abortController.signal.aborted);
    }

    async function endProgram(plan: string, program: string): Promise<void> {
        const headers = { authorization: `Bearer ${keyOf(plan)}` };
        const path = `/v1/programs/${program}`;
        await nextPool().request({ method: "DELETE", path, headers })
            .then(({ body }) => body.dump())
            .catch(() => undefined);
    }

    return {
        call,
        endProgram,
        close: async () => {
            await Promise.all(pools.map(pool => pool.destroy()));
        },
    };
}

interface ResponseProgress {
    readonly sentAt: number;
    readonly delayMs: number;
    readonly onFirstToken: () => void;
    firstTokenMs: number | undefined;
    characters: number;
    error: Chunk["error"];
    done: boolean;
}

async function readResponse(response: Awaited<ReturnType<Pool["request"]>>, progress: ResponseProgress): Promise<void> {
    const { statusCode, headers, body } = response;
    if (headers["content-type"]?.toString().startsWith("text/event-stream") !== true) {
        const text = await body.text();
        progress.onFirstToken();
        progress.error = statusCode < 400 ? undefined : (JSON.parse(text) as Chunk).error ?? {};
        progress.done = statusCode < 400;
        return;
    }
    for await (const data of readEventData(body)) {
        if (data === "[DONE]") {
            progress.done = true;
            continue;
        }
        const chunk = JSON.parse(data) as Chunk;
        const length = chunk.choices?.[0]?.delta?.content?.length ?? 0;
        if (length > 0 && progress.firstTokenMs === undefined) {
            progress.firstTokenMs = performance.now() - progress.sentAt + progress.delayMs;
            progress.onFirstToken();
        }
        progress.characters += length;
        progress.error ??= chunk.error;
    }
}

function toResult(progress: ResponseProgress, aborted: boolean): CallResult {
    const wholeMs = performance.now() - progress.sentAt;
    const { error, done } = progress;
    const outcome = done ? "done" : error !== undefined ? "refused" : aborted ? "left" : "failed";
    return {
        outcome,
        firstTokenMs: progress.firstTokenMs ?? wholeMs,
        wholeMs,
        tokens: Math.ceil(progress.characters / charactersPerToken),
        ...error?.code === undefined ? {} : { code: error.code },
        ...error?.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs },
    };
}

function createHeaders(call: ProgramCall, key: string): Record<string, string> {
    return {
        "authorization": `Bearer ${key}`,
        "content-type": "application/json",
        "tg-program": call.program,
        "tg-sequence": String(call.sequence),
        "idempotency-key": `${call.program}-${call.sequence}`,
        ...call.parent === undefined ? {} : { "tg-parent": call.parent },
        ...call.step.type === "tool" && call.step.atMostOnce ? { "tg-at-most-once": "true" } : {},
        ...call.end ? { "tg-end": "true" } : {},
    };
}

/** Creates the body of a call. The engine stand-in reads the requested answer length from the message. */
export function createBody(step: CallStep): string {
    if (step.type === "tool") {
        return JSON.stringify({ question: "past claims" });
    }
    // The engine also counts the role of a message: `user` and a line break, five characters.
    const length = step.promptTokens * charactersPerToken - 5;
    const content = `[tokens=${step.outputTokens}] `.padEnd(length, "word");
    return JSON.stringify({ model: step.model, stream: true, max_tokens: step.outputTokens,
        messages: [{ role: "user", content }] });
}

async function sleepIfPositive(ms: number): Promise<void> {
    if (ms > 0) {
        await sleep(ms);
    }
}
