import { createRandom, message, systemClock } from "@tamarackgauge/core";
import type { LoadReport } from "@tamarackgauge/core";
import { z } from "zod";
import { delay, HttpError, listen, parseBody, sendJson } from "../listener.ts";
import type { Received, Standin } from "../listener.ts";
import { createAnswer } from "./answer.ts";
import { contextTokens, createBatch } from "./batch.ts";
import type { Sequence } from "./batch.ts";
import { createPrefixCache } from "./cache.ts";
import { createEngineCounter } from "./counts.ts";
import type { EngineCounts } from "./counts.ts";
import { createDelayed } from "./delayed.ts";
import { createEventLog } from "./events.ts";
import { createOrders, order } from "./orders.ts";
import type { OrderState } from "./orders.ts";
import { createPace } from "./pace.ts";
import { createPrompt, hashPrompt, textOf } from "./prompt.ts";
import { createStreamReply, createWholeReply } from "./reply.ts";
import type { Reply } from "./reply.ts";

/** Settings of the engine stand-in. Times are milliseconds before division by `scale`; sizes are tokens. */
export interface EngineOptions {
    readonly port?: number;
    readonly name?: string;
    /** Models served; without it, any model. */
    readonly models?: readonly string[];
    /** Most sequences that run at once. */
    readonly batch?: number;
    /** Tokens of prefixes and running calls that the cache holds. */
    readonly cacheTokens?: number;
    /** Prompt tokens computed per second. */
    readonly prefillRate?: number;
    /** Most prompt tokens computed in one step. */
    readonly prefillChunk?: number;
    /** Time of a step with an empty batch. */
    readonly stepMs?: number;
    /** Time that each decoding sequence adds to a step. */
    readonly sequenceMs?: number;
    readonly preempt?: boolean;
    readonly reportLagMs?: number;
    readonly eventDelayMs?: number;
    /** Share of the cache events that are lost. */
    readonly eventDropRate?: number;
    /** Time that loading a model takes. */
    readonly loadMs?: number;
    /** Tokens per second that an import of a prefix takes in. */
    readonly importRate?: number;
    readonly fenced?: boolean;
    /** Engines with the same seed give the same answers. */
    readonly seed?: number;
    /** Divides all times. */
    readonly scale?: number;
}

/** A model engine. */
export interface Engine extends Standin {
    counts(): EngineCounts;
    resetCounts(): void;
    /** What the engine reports without lag. */
    load(): LoadReport;
    held(): { readonly key: string; readonly tokens: number; readonly pinned: boolean; }[];
    orders(): OrderState;
    /** Makes steps `factor` times as long for `ms` milliseconds, which the scale does not divide. */
    slow(factor: number, ms: number): void;
    /** While hung, nothing is generated and no request but those to `/control` is answered. */
    hang(on: boolean): void;
}

const chatRequest = z.looseObject({
    model: z.string().default("any"),
    messages: z.array(message).min(1),
    max_tokens: z.number().int().positive().default(100_000),
    stream: z.boolean().default(false),
    priority: z.number().default(0),
    cache_salt: z.string().default(""),
    continue_final_message: z.boolean().default(false),
});

type ChatRequest = z.infer<typeof chatRequest>;

const prefix = z.object({ key: z.string(), model: z.string(), segments: z.array(z.string()) });

interface Stream {
    readonly sequence: Sequence;
    readonly reply: Reply;
    readonly promptTokens: number;
}

/** Starts an engine on a loopback port. */
export async function createEngine(options: EngineOptions = {}): Promise<Engine> {
    const scale = options.scale ?? 1;
    const seed = options.seed ?? 1;
    const now = () => systemClock.monotonic();
    const counter = createEngineCounter();
    const events = createEventLog(
        (options.eventDelayMs ?? 0) / scale,
        options.eventDropRate ?? 0,
        createRandom(seed),
    );
    const cache = createPrefixCache(options.cacheTokens ?? 400_000, (kind, program, tokens) => {
        events.add({ kind, program, tokens }, now());
    });
    const batch = createBatch(batchOptions(options), cache, sequence => {
        const tokens = contextTokens(sequence);
        const history = sequence.position > 0 ? tokens : sequence.prompt.historyTokens;
        counter.started(tokens, sequence.cachedTokens ?? 0, cache.seen(sequence.key), history);
    });
    const orders = createOrders(options.models, options.fenced ?? false, (options.loadMs ?? 2000) / scale);
    const load = (): LoadReport => ({
        running: batch.running(),
        waiting: batch.waiting(),
        cachedTokens: cache.used(),
        cacheCapacity: cache.capacity,
    });
    const reports = createDelayed(load(), (options.reportLagMs ?? 0) / scale);
    const streams = new Map<Sequence, Stream>();
    let hung: { readonly promise: Promise<void>; readonly resolve: () => void; } | undefined;
    let identity = 0;

    function flush(): void {
        reports.set(load(), now());
        for (const [sequence, stream] of streams) {
            if (sequence.pending !== "") {
                stream.reply.text(sequence.pending);
                sequence.pending = "";
            }
            if (sequence.finished !== undefined) {
                finish(stream, sequence.finished);
            }
        }
    }

    function finish({ sequence, reply, promptTokens }: Stream, reason: "stop" | "length"): void {
        streams.delete(sequence);
        counter.left(sequence.key, "finished");
        const usage = { promptTokens, cachedTokens: sequence.cachedTokens ?? 0, tokens: sequence.generated };
        reply.end(reason, usage, reports.get(now()));
    }

    const pace = createPace({
        start() {
            const length = batch.startStep();
            counter.running(batch.running());
            return length;
        },
        finish() {
            batch.finishStep().forEach(sequence => counter.generated(sequence.key, 1));
        },
        flush,
    }, scale);

    function disconnect(sequence: Sequence): void {
        if (streams.delete(sequence)) {
            batch.cancel(sequence);
            counter.left(sequence.key, "cancelled");
            pace.wake();
        }
    }

    function chat(received: Received): void {
        const request = parseBody(received, chatRequest);
        if (!orders.serves(request.model)) {
            throw new HttpError(404, `the model ${request.model} is not loaded`);
        }
        const { sequence, foreign } = sequenceOf(request, seed);
        identity += 1;
        const create = request.stream ? createStreamReply : createWholeReply;
        const reply = create(received.response, `${options.name ?? "engine"}-${identity}`, request.model);
        counter.arrived(sequence.key, headerOf(received, "idempotency-key"));
        if (foreign) {
            counter.foreignPartial();
        }
        streams.set(sequence, { sequence, reply, promptTokens: contextTokens(sequence) });
        received.response.on("close", () => disconnect(sequence));
        reply.open(reports.get(now()));
        batch.add(sequence);
        reports.set(load(), now());
        pace.wake();
    }

    async function importPrefix(received: Received): Promise<void> {
        const imported = parseBody(received, prefix);
        const tokens = imported.segments.join("").length / 4;
        await delay(tokens * 1000 / (options.importRate ?? 500_000) / scale);
        if (!cache.import(imported)) {
            throw new HttpError(507, "the cache has no room");
        }
        sendJson(received.response, 200, { key: imported.key });
    }

    function exportPrefix(received: Received): void {
        const { key } = parseBody(received, z.object({ key: z.string() }));
        const held = cache.export(key);
        if (held === undefined) {
            throw new HttpError(404, "the key is not held");
        }
        sendJson(received.response, 200, held);
    }

    function release(received: Received): void {
        const key = received.path.slice(2).join("/");
        const tokens = cache.release(key);
        const pending = cache.list().some(entry => entry.key === key);
        sendJson(received.response, 200, { key, tokens, pending });
    }

    function giveOrder(received: Received): void {
        const wanted = parseBody(received, order);
        try {
            orders.give(wanted);
        }
        catch (error) {
            counter.order("ordersRefused");
            throw error;
        }
        counter.order("ordersDone");
        sendJson(received.response, 200, orders.state());
    }

    function hang(on: boolean): void {
        if (on === (hung !== undefined)) {
            return;
        }
        hung?.resolve();
        hung = on ? createGate() : undefined;
        pace.hang(on);
    }

    function control(received: Received): void {
        switch (`${received.method} ${received.path[1]}`) {
            case "GET counts":
                sendJson(received.response, 200, counter.counts());
                return;
            case "DELETE counts":
                counter.reset();
                break;
            case "POST slow": {
                const { factor, ms } = parseBody(received, slowRequest);
                pace.slow(factor, ms);
                break;
            }
            case "POST hang":
                hang(parseBody(received, hangRequest).on);
                break;
            default:
                throw new HttpError(404, "there is no such control");
        }
        sendJson(received.response, 200, { ok: true });
    }

    function route(received: Received): Promise<void> | void {
        const { method, path, response, query } = received;
        if (method === "DELETE" && path[0] === "v1" && path[1] === "cache") {
            return release(received);
        }
        switch (`${method} /${path.join("/")}`) {
            case "POST /v1/chat/completions":
                return chat(received);
            case "GET /v1/load":
                return sendJson(response, 200, reports.get(now()));
            case "GET /v1/events":
                return sendJson(response, 200, { events: events.after(Number(query.get("after") ?? 0), now()) });
            case "GET /v1/cache":
                return sendJson(response, 200, { entries: cache.list() });
            case "POST /v1/cache/export":
                return exportPrefix(received);
            case "POST /v1/cache/import":
                return importPrefix(received);
            case "GET /v1/orders":
                return sendJson(response, 200, orders.state());
            case "POST /v1/orders":
                return giveOrder(received);
        }
        throw new HttpError(404, "there is no such path");
    }

    const standin = await listen(options.port ?? 0, async received => {
        if (received.path[0] === "control") {
            return control(received);
        }
        await hung?.promise;
        return route(received);
    });
    return {
        ...standin,
        counts: () => counter.counts(),
        resetCounts: () => counter.reset(),
        load,
        held: () => cache.list(),
        orders: () => orders.state(),
        slow: (factor, ms) => pace.slow(factor, ms),
        hang,
        async [Symbol.asyncDispose]() {
            pace[Symbol.dispose]();
            await standin[Symbol.asyncDispose]();
        },
    };
}

const slowRequest = z.object({ factor: z.number().positive(), ms: z.number().nonnegative() });
const hangRequest = z.object({ on: z.boolean().default(true) });

function batchOptions(options: EngineOptions) {
    return {
        batch: options.batch ?? 32,
        stepMs: options.stepMs ?? 12,
        sequenceMs: options.sequenceMs ?? 0.5,
        prefillRate: options.prefillRate ?? 8000,
        prefillChunk: options.prefillChunk ?? 256,
        preempt: options.preempt ?? false,
    };
}

/** The call that a request asks for, and whether it continues from a text that is not the answer's. */
function sequenceOf(request: ChatRequest, seed: number): { sequence: Sequence; foreign: boolean; } {
    const last = request.messages.at(-1)!;
    const continues = request.continue_final_message && last.role === "assistant";
    const messages = continues ? request.messages.slice(0, -1) : request.messages;
    const partial = continues ? textOf(last) : "";
    const prompt = createPrompt(messages);
    const answer = createAnswer(hashPrompt(seed, request.cache_salt, prompt.segments), messages);
    const sequence: Sequence = {
        key: request.cache_salt,
        model: request.model,
        priority: request.priority,
        prompt,
        answer,
        maxTokens: request.max_tokens,
        position: Math.min(partial.length, answer.length),
        generated: 0,
        prefill: 0,
        cancelled: false,
        pending: "",
    };
    return { sequence, foreign: answer.slice(0, partial.length) !== partial };
}

function headerOf(received: Received, name: string): string | undefined {
    const value = received.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function createGate(): { promise: Promise<void>; resolve: () => void; } {
    let resolve = () => {};
    const promise = new Promise<void>(open => {
        resolve = open;
    });
    return { promise, resolve };
}
