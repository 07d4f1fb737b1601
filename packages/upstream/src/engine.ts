import type { CacheEvent, LoadReport, Message } from "@tamarackgauge/core";
import { Agent, request } from "undici";
import { z } from "zod";
import { readEvents } from "./events.ts";

/** A call of a model engine. */
export interface EngineCall {
    readonly model: string;
    readonly messages: readonly Message[];
    /** Text of the answer that has already been generated, which the engine continues. */
    readonly partial: string;
    /** Maximum number of tokens to generate. */
    readonly maxTokens: number;
    /** Calls with a lower value are served first. */
    readonly priority: number;
    /** Key of the program; scopes the engine's prefix cache. */
    readonly cacheKey: string;
    readonly parameters: Readonly<Record<string, unknown>>;
    /** Milliseconds without data before and after the first token until the engine counts as failed. */
    readonly firstTokenTimeout: number;
    readonly tokenTimeout: number;
}

/** An event of an engine's stream. `tokens` is the number of generated tokens in `text`. */
export type EngineEvent =
    | { readonly type: "text"; readonly text: string; readonly tokens: number; }
    | { readonly type: "done"; readonly result: EngineResult; };

/** The result of a call that an engine has finished. */
export interface EngineResult {
    readonly reason: string;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly tokens: number;
    readonly toolCalls: readonly unknown[] | undefined;
    readonly load: LoadReport | undefined;
}

/** An engine failed. `status` is its HTTP status, if any; `mayHaveRun` is false if the call certainly did not run. */
export class EngineError extends Error {
    constructor(text: string, readonly status: number | undefined, readonly mayHaveRun: boolean) {
        super(text);
    }
}

/** The state of an engine that orders change. `models` is undefined if it serves any model. */
export interface EngineOrders {
    /** Highest fencing token that the engine has seen; 0 for engines that do not store it. */
    readonly fence: number;
    readonly models: readonly string[] | undefined;
    readonly loading: readonly string[];
    readonly role: string | undefined;
}

/** An idempotent command to an engine: load or unload a model, or take a role. */
export type EngineOrder =
    | { readonly fence: number; readonly action: "load" | "unload"; readonly model: string; }
    | { readonly fence: number; readonly action: "role"; readonly role: string; };

/** A cache event with its sequence number. A gap in the numbers means that events were lost. */
export interface NumberedCacheEvent extends CacheEvent {
    readonly sequence: number;
}

/** Client of one model engine. Every method throws an `EngineError`. */
export interface EngineClient extends EngineControl {
    stream(call: EngineCall, signal: AbortSignal): AsyncIterable<EngineEvent>;
    /** Releases the engine's cache entries of a program. */
    release(cacheKey: string): Promise<void>;
    /** Keys of the programs that have entries in the engine's cache. */
    cachedKeys(): Promise<readonly string[]>;
    load(): Promise<LoadReport>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Orders and cache state of one model engine. Every method throws an `EngineError`. */
export interface EngineControl {
    orders(): Promise<EngineOrders>;
    /** Sends an order; false if the engine rejects its fencing token as outdated. */
    order(order: EngineOrder): Promise<boolean>;
    /** Reads the cache events after a sequence number, and the size of the answer in bytes. */
    events(after: number): Promise<{ readonly events: readonly NumberedCacheEvent[]; readonly bytes: number; }>;
    /** Reads the number of cached tokens by key of the program, and the size of the answer in bytes. */
    cache(): Promise<{ readonly held: ReadonlyMap<string, number>; readonly bytes: number; }>;
}

const controlTimeoutMs = 1_000;
const connectTimeoutMs = 1_000;

const chunkSchema = z.looseObject({
    choices: z.array(z.looseObject({
        delta: z.looseObject({
            content: z.string().nullish(),
            tool_calls: z.array(z.unknown()).nullish(),
        }).nullish(),
        finish_reason: z.string().nullish(),
    })).default([]),
    usage: z.looseObject({
        prompt_tokens: z.number(),
        completion_tokens: z.number(),
        prompt_tokens_details: z.looseObject({ cached_tokens: z.number().nullish() }).nullish(),
    }).nullish(),
    "x-engine-load": z.looseObject({ running: z.number(), waiting: z.number() }).nullish(),
    error: z.looseObject({ message: z.string().nullish() }).nullish(),
});

type Chunk = z.infer<typeof chunkSchema>;

const loadReportSchema = z.object({
    running: z.number(),
    waiting: z.number(),
    cachedTokens: z.number().optional(),
    cacheCapacity: z.number().optional(),
});

const cacheSchema = z.object({ entries: z.array(z.looseObject({ key: z.string(), tokens: z.number().default(0) })) });

const ordersSchema = z.object({
    fence: z.number().default(0),
    models: z.array(z.string()).optional(),
    loading: z.array(z.string()).default([]),
    role: z.string().optional(),
});

const cacheEventsSchema = z.object({
    events: z.array(z.object({
        sequence: z.number(),
        kind: z.enum(["stored", "evicted"]),
        program: z.string(),
        tokens: z.number(),
    })),
});

/** Creates a client of the engine at an address, `http://<address>:<port>`. */
export function createEngineClient(url: string): EngineClient {
    const agent = new Agent({ connections: 256, connectTimeout: connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0 });

    async function* stream(call: EngineCall, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        const watchdog = createWatchdog(call.firstTokenTimeout);
        const combinedSignal = AbortSignal.any([signal, watchdog.signal]);
        try {
            const response = await request(`${url}/v1/chat/completions`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(bodyOf(call)),
                dispatcher: agent,
                signal: combinedSignal,
            });
            if (response.statusCode !== 200) {
                const text = await response.body.text();
                throw new EngineError(
                    `status ${response.statusCode}: ${text.slice(0, 200)}`,
                    response.statusCode,
                    response.statusCode >= 500,
                );
            }
            yield* readAnswer(response.body, watchdog, call.tokenTimeout);
        }
        catch (error) {
            throw error instanceof EngineError
                ? error
                : new EngineError(failureReason(error, watchdog), undefined, true);
        }
        finally {
            watchdog.stop();
        }
    }

    async function control(method: "GET" | "DELETE" | "POST", path: string, body?: unknown) {
        try {
            const response = await request(`${url}${path}`, {
                method,
                dispatcher: agent,
                signal: AbortSignal.timeout(controlTimeoutMs),
                ...body === undefined
                    ? {}
                    : { headers: { "content-type": "application/json" }, body: JSON.stringify(body) },
            });
            const text = await response.body.text();
            // 404 to DELETE means that the entry no longer exists, which is the wanted state.
            if (response.statusCode >= 300 && !(method === "DELETE" && response.statusCode === 404)) {
                throw new EngineError(`status ${response.statusCode}`, response.statusCode, true);
            }
            return { value: text === "" ? undefined : JSON.parse(text) as unknown, bytes: Buffer.byteLength(text) };
        }
        catch (error) {
            throw error instanceof EngineError ? error : new EngineError((error as Error).message, undefined, true);
        }
    }

    /** Sends a GET request and validates the answer against `schema`. */
    async function readState<Value>(path: string, schema: z.ZodType<Value>) {
        const { value, bytes } = await control("GET", path);
        const checked = schema.safeParse(value);
        if (!checked.success) {
            throw new EngineError(`unexpected answer to ${path}`, undefined, true);
        }
        return { value: checked.data, bytes };
    }

    async function order(command: EngineOrder): Promise<boolean> {
        try {
            await control("POST", "/v1/orders", command);
            return true;
        }
        catch (error) {
            if (error instanceof EngineError && error.status === 409) {
                return false;
            }
            throw error;
        }
    }

    async function cache() {
        const { value, bytes } = await readState("/v1/cache", cacheSchema);
        return { held: new Map(value.entries.map(({ key, tokens }) => [key, tokens])), bytes };
    }

    return {
        stream,
        release: async key => {
            await control("DELETE", `/v1/cache/${encodeURIComponent(key)}`);
        },
        cachedKeys: async () => [...(await cache()).held.keys()],
        load: async () => (await readState("/v1/load", loadReportSchema)).value,
        orders: async () => {
            const { models, role, ...rest } = (await readState("/v1/orders", ordersSchema)).value;
            return { ...rest, models, role };
        },
        order,
        events: async after => {
            const { value, bytes } = await readState(`/v1/events?after=${after}`, cacheEventsSchema);
            return { events: value.events, bytes };
        },
        cache,
        [Symbol.asyncDispose]: () => agent.destroy(),
    };
}

function bodyOf(call: EngineCall): Record<string, unknown> {
    const continued = call.partial !== "";
    return {
        ...call.parameters,
        model: call.model,
        messages: continued ? [...call.messages, { role: "assistant", content: call.partial }] : call.messages,
        max_tokens: call.maxTokens,
        stream: true,
        stream_options: { include_usage: true },
        priority: call.priority,
        cache_salt: call.cacheKey,
        ...(continued ? { continue_final_message: true, add_generation_prompt: false } : {}),
    };
}

async function* readAnswer(
    body: AsyncIterable<Uint8Array>,
    watchdog: Watchdog,
    tokenTimeout: number,
): AsyncGenerator<EngineEvent> {
    let finishReason: string | undefined;
    let usage: Chunk["usage"];
    let load: LoadReport | undefined;
    let receivedTokens = 0;
    const toolCalls: unknown[] = [];
    for await (const event of readEvents(body)) {
        watchdog.reset(tokenTimeout);
        if (event.data === "[DONE]") {
            break;
        }
        const parsedChunk = chunkSchema.parse(JSON.parse(event.data));
        if (parsedChunk.error) {
            throw new EngineError(parsedChunk.error.message ?? "the engine reported an error", undefined, true);
        }
        usage = parsedChunk.usage ?? usage;
        load = parsedChunk["x-engine-load"] ?? load;
        const choice = parsedChunk.choices[0];
        finishReason = choice?.finish_reason ?? finishReason;
        toolCalls.push(...choice?.delta?.tool_calls ?? []);
        const text = choice?.delta?.content;
        if (text) {
            receivedTokens += 1;
            yield { type: "text", text, tokens: 1 };
        }
    }
    if (finishReason === undefined) {
        throw new EngineError("the stream ended before the answer did", undefined, true);
    }
    yield {
        type: "done",
        result: {
            reason: finishReason,
            promptTokens: usage?.prompt_tokens ?? 0,
            cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
            tokens: usage?.completion_tokens ?? receivedTokens,
            toolCalls: toolCalls.length > 0 ? toolCalls : undefined,
            load,
        },
    };
}

function failureReason(error: unknown, watchdog: Watchdog): string {
    return watchdog.signal.aborted ? "the connection went silent" : (error as Error).message;
}

interface Watchdog {
    readonly signal: AbortSignal;
    /** Moves the deadline to `timeoutMs` from now. */
    reset(timeoutMs: number): void;
    stop(): void;
}

/** Interval between checks of the deadline, and so the maximum delay until a silent connection is noticed. */
const watchdogIntervalMs = 500;

// Resetting a timer for every token is costly, so each token only moves the deadline and a slow timer checks it.
function createWatchdog(firstTimeoutMs: number): Watchdog {
    const controller = new AbortController();
    let deadline = performance.now() + firstTimeoutMs;
    let timer = setTimeout(check, Math.min(firstTimeoutMs, watchdogIntervalMs));
    function check(): void {
        const remainingMs = deadline - performance.now();
        if (remainingMs <= 0) {
            controller.abort();
        }
        else {
            timer = setTimeout(check, Math.min(remainingMs, watchdogIntervalMs));
        }
    }
    return {
        signal: controller.signal,
        reset: timeoutMs => {
            deadline = performance.now() + timeoutMs;
        },
        stop: () => {
            clearTimeout(timer);
        },
    };
}
