import { createRandom, systemClock } from "@tamarackgauge/core";
import type { LoadReport } from "@tamarackgauge/core";
import { z } from "zod";
import { HttpError, listen, parseBody, sendJson } from "../listener.ts";
import type { Received, Standin } from "../listener.ts";
import { exportKey, importKey, listCache, releaseKey } from "./cache-handlers.ts";
import { createPrefixCache } from "./cache.ts";
import type { CacheEntry } from "./cache.ts";
import { chatRequest, createSequence } from "./chat.ts";
import { createEngineCounter } from "./counts.ts";
import type { EngineCounts } from "./counts.ts";
import { createEventLog } from "./events.ts";
import { createGate } from "./gate.ts";
import { createOrders, order } from "./orders.ts";
import type { OrderState } from "./orders.ts";
import { createJsonReply, createStreamReply } from "./reply.ts";
import { createRunner } from "./runner.ts";
import { engineSettings } from "./settings.ts";
import type { EngineOptions } from "./settings.ts";

/** The stand-in of a model engine. */
export interface Engine extends Standin {
    counts(): EngineCounts;
    resetCounts(): void;
    /** The current load, without the lag of reports. */
    load(): LoadReport;
    cacheEntries(): CacheEntry[];
    orders(): OrderState;
    /** Makes steps `factor` times as long for `ms` milliseconds; the scale does not apply to `ms`. */
    slow(factor: number, ms: number): void;
    /** While it hangs, an engine generates nothing and answers only requests to `/control`. */
    hang(on: boolean): void;
}

const slowRequest = z.object({ factor: z.number().positive(), ms: z.number().nonnegative() });
const hangRequest = z.object({ on: z.boolean().default(true) });

/** Starts an engine on a loopback port; rejects when an option is not valid or the port is taken. */
export async function createEngine(options: EngineOptions = {}): Promise<Engine> {
    const settings = engineSettings.parse(options);
    const { name, scale, seed } = settings;
    const now = () => systemClock.monotonic();
    const counter = createEngineCounter();
    const events = createEventLog(settings.eventDelayMs / scale, settings.eventDropRate, createRandom(seed));
    const cache = createPrefixCache(settings.cacheTokens, (kind, program, tokens) => {
        events.add({ kind, program, tokens }, now());
    });
    const runner = createRunner(settings, cache, counter);
    const orders = createOrders(settings.models, settings.fenced, settings.loadMs / scale);
    const gate = createGate();
    let answerCount = 0;

    function chat(received: Received): void {
        const { response, headers } = received;
        if (response.destroyed) {
            return;
        }
        const request = parseBody(received, chatRequest);
        if (!orders.serves(request.model)) {
            throw new HttpError(404, `the model ${request.model} is not loaded`);
        }
        const { sequence, foreign } = createSequence(request, seed);
        counter.requestReceived(sequence.key, headers["idempotency-key"]?.toString(), foreign);
        answerCount += 1;
        const createReply = request.stream ? createStreamReply : createJsonReply;
        runner.run(sequence, createReply(response, `${name}-${answerCount}`, request.model), response);
    }

    function handleOrder(received: Received): void {
        const accepted = orders.execute(parseBody(received, order));
        counter.orderHandled(accepted ? "ordersDone" : "ordersRefused");
        if (!accepted) {
            throw new HttpError(409, `the fencing token is older than ${orders.state().fence}`);
        }
        sendJson(received.response, 200, orders.state());
    }

    function listEvents({ query, response }: Received): void {
        sendJson(response, 200, { events: events.after(Number(query.get("after") ?? 0), now()) });
    }

    function hang(on: boolean): void {
        if (on) {
            gate.close();
        }
        else {
            gate.open();
        }
        runner.hang(on);
    }

    function control(received: Received): void {
        switch (`${received.method} ${received.path[1]}`) {
            case "GET counts":
                return sendJson(received.response, 200, counter.counts());
            case "DELETE counts":
                counter.reset();
                break;
            case "POST slow": {
                const { factor, ms } = parseBody(received, slowRequest);
                runner.slow(factor, ms);
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
        const { method, path, response } = received;
        if (method === "DELETE" && path[0] === "v1" && path[1] === "cache") {
            return releaseKey(cache, received);
        }
        switch (`${method} /${path.join("/")}`) {
            case "POST /v1/chat/completions":
                return chat(received);
            case "GET /v1/load":
                return sendJson(response, 200, runner.report());
            case "GET /v1/events":
                return listEvents(received);
            case "GET /v1/cache":
                return listCache(cache, received);
            case "POST /v1/cache/export":
                return exportKey(cache, received);
            case "POST /v1/cache/import":
                return importKey(cache, settings.importRate * scale, received);
            case "GET /v1/orders":
                return sendJson(response, 200, orders.state());
            case "POST /v1/orders":
                return handleOrder(received);
        }
        throw new HttpError(404, "there is no such path");
    }

    const standin = await listen(settings.port, async received => {
        if (received.path[0] === "control") {
            return control(received);
        }
        await gate.whenOpen();
        return route(received);
    });
    return {
        ...standin,
        counts: () => counter.counts(),
        resetCounts: () => counter.reset(),
        load: () => runner.load(),
        cacheEntries: () => cache.list(),
        orders: () => orders.state(),
        slow: (factor, ms) => runner.slow(factor, ms),
        hang,
        async [Symbol.asyncDispose]() {
            runner[Symbol.dispose]();
            await standin[Symbol.asyncDispose]();
        },
    };
}
